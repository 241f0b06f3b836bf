use super::*;

/// The bills of an entry VM that are not on the log yet, and its copies of peers' bills.
///
/// A few peers, the replicas of a bill, hold copies of it while it is open. If this VM ends without
/// closing a bill, a replica appends its copy to the log instead.
#[derive(Clone, Debug, Default)]
pub struct BillLedger {
    own: BTreeMap<RequestNumber, OwnBill>,
    unconfirmed: BTreeSet<RequestNumber>,
    append_queue: VecDeque<RequestNumber>,
    adopted: VecDeque<BillRecord>,
    pending_append: Option<PendingAppend>,
    copies: BTreeMap<PeerName, BTreeMap<RequestNumber, BillRecord>>,
    own_bytes: u64,
    copy_bytes: u64,
    schedule: AppendSchedule,
    next_copy_report: Millis,
}

#[derive(Clone, Debug)]
struct OwnBill {
    record: BillRecord,
    replicas: Vec<VmId>,
    replicated: bool,
    sent_at: Millis,
    phase: BillPhase,
}

/// Whether the request of a bill is still running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BillPhase {
    Running,
    Ended,
}

#[derive(Clone, Debug)]
struct PendingAppend {
    own: Vec<(RequestNumber, BillPhase)>,
    adopted: Vec<BillRecord>,
}

/// An action that the ledger asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum BillAction {
    /// Sends a message to an entry VM.
    Send(VmId, BillMessage),
    /// Appends a record to the `bills` stream.
    Append(Bytes),
}

impl BillLedger {
    /// The memory for this VM's own bills; once it is used up, new billable requests are refused.
    pub const OWN_LIMIT_BYTES: u64 = 48 << 20;
    /// The memory for copies of peers' bills; once it is used up, no further copies are accepted.
    pub const COPY_LIMIT_BYTES: u64 = 96 << 20;
    /// The time between two appends unless many bills wait.
    pub const APPEND_INTERVAL_MS: u64 = 500;
    /// The least time between two appends for each entry VM, so that the total rate of appends does
    /// not grow with the number of VMs.
    pub const APPEND_INTERVAL_PER_VM_MS: u64 = 25;
    const APPEND_RETRY_MS: u64 = 500;
    const COPY_RESEND_MS: u64 = 1_000;
    const COPY_REPORT_INTERVAL_MS: u64 = 30_000;
    const MAX_BATCH_BILLS: usize = 2_000;

    /// Returns the stream that holds the bills.
    ///
    /// # Panics
    ///
    /// Never: the name is valid.
    #[must_use]
    pub fn stream() -> StreamId {
        "bills".parse().expect("the stream name is valid")
    }

    /// Returns whether new billable requests must be refused for lack of memory.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.own_bytes >= Self::OWN_LIMIT_BYTES
    }

    /// Returns the memory used by own bills and by copies of peers' bills.
    #[must_use]
    pub const fn memory_usage(&self) -> (ByteSize, ByteSize) {
        (ByteSize(self.own_bytes), ByteSize(self.copy_bytes))
    }

    /// Returns the number of own and adopted bills that are not settled on the log yet.
    #[must_use]
    pub fn unsettled_count(&self) -> usize {
        self.own.len()
            + self.adopted.len()
            + self.pending_append.as_ref().map_or(0, |append| append.adopted.len())
    }

    /// Returns whether there is a bill that is neither on the log nor replicated to a peer, so that
    /// it would be lost if this VM stopped now.
    #[must_use]
    pub fn has_unreplicated(&self) -> bool {
        !self.adopted.is_empty()
            || self
                .pending_append
                .as_ref()
                .is_some_and(|pending_append| !pending_append.adopted.is_empty())
            || self.own.values().any(|bill| !bill.replicated)
    }

    /// Returns the bill of a request of this VM, unless it is settled.
    #[must_use]
    pub fn get(&self, request: RequestNumber) -> Option<&BillRecord> {
        self.own.get(&request).map(|bill| &bill.record)
    }

    /// Returns whether an own bill or a copy with this key is final, which means that a server ran
    /// its request.
    #[must_use]
    pub fn has_final_bill(&self, key: &BillKey) -> bool {
        let copies = self.copies.values().flat_map(BTreeMap::values);
        let own = self.own.values().map(|bill| &bill.record);
        copies
            .chain(own)
            .any(|bill| bill.key == *key && matches!(bill.stage, BillStage::Final { .. }))
    }

    /// Opens a bill. Its replicas are sent copies at the next [`Self::due_actions`].
    pub fn open(&mut self, record: BillRecord, replicas: Vec<VmId>) {
        let request = record.request.number;
        self.own_bytes += record.size().0;
        let (sent_at, phase) = (Millis(0), BillPhase::Running);
        self.own.insert(request, OwnBill { record, replicas, replicated: false, sent_at, phase });
        self.unconfirmed.insert(request);
    }

    /// Records the last stage of a bill and queues it for the log. An open stage means that the
    /// outcome is unknown; the bill is then appended as open.
    pub fn close(&mut self, request: RequestNumber, stage: BillStage) {
        let Some(bill) = self.own.get_mut(&request) else { return };
        self.own_bytes -= bill.record.size().0;
        if matches!(stage, BillStage::Open { .. }) {
            self.unconfirmed.remove(&request);
        } else {
            bill.replicated = false;
            self.unconfirmed.insert(request);
        }
        bill.record.stage = stage;
        bill.phase = BillPhase::Ended;
        bill.sent_at = Millis(0);
        self.own_bytes += bill.record.size().0;
        self.append_queue.push_back(request);
    }

    /// Appends an open bill as soon as possible, because no peer holds a copy of it.
    pub fn append_open(&mut self, request: RequestNumber) {
        self.append_queue.push_back(request);
        self.append_immediately();
    }

    /// Returns the messages and the append that are due. `vms` is the number of entry VMs.
    pub fn due_actions(&mut self, now: Millis, vms: usize) -> Vec<BillAction> {
        let mut actions = self.send_copies(now);
        let waiting = self.append_queue.len() + self.adopted.len();
        if self.pending_append.is_none() && self.schedule.is_due(now, waiting) {
            actions.extend(self.append(now, vms));
        }
        if now >= self.next_copy_report {
            self.next_copy_report = now + Millis(Self::COPY_REPORT_INTERVAL_MS);
            actions.extend(self.report_copies());
        }
        actions
    }

    /// Makes the next append due immediately.
    pub const fn append_immediately(&mut self) {
        self.schedule = AppendSchedule::between(Millis(0), Millis(0));
    }

    /// Returns the messages that send copies of bills to their replicas.
    ///
    /// An open bill is sent to all replicas. When it is closed, only the change of its stage is
    /// sent, and only to the first replica. If no confirmation arrives, the whole bill is sent to
    /// all replicas again.
    fn send_copies(&mut self, now: Millis) -> Vec<BillAction> {
        let mut whole: BTreeMap<VmId, Vec<BillRecord>> = BTreeMap::new();
        let mut closes: BTreeMap<VmId, Vec<(RequestNumber, BillStage)>> = BTreeMap::new();
        for request in self.unconfirmed.clone() {
            let Some(bill) = self.own.get_mut(&request) else { continue };
            let first = bill.sent_at == Millis(0);
            if !first && now.since(bill.sent_at) < Millis(Self::COPY_RESEND_MS) {
                continue;
            }
            bill.sent_at = now;
            match bill.replicas.first() {
                None => {
                    self.unconfirmed.remove(&request);
                }
                Some(replica) if first && bill.record.is_closed() => {
                    let stage = bill.record.stage.clone();
                    closes.entry(replica.clone()).or_default().push((request, stage));
                }
                Some(_) => {
                    for replica in &bill.replicas {
                        whole.entry(replica.clone()).or_default().push(bill.record.clone());
                    }
                }
            }
        }
        let send_whole = |(replica, bills)| BillAction::Send(replica, BillMessage::Keep(bills));
        let send_stage = |(replica, bills)| BillAction::Send(replica, BillMessage::Close(bills));
        whole.into_iter().map(send_whole).chain(closes.into_iter().map(send_stage)).collect()
    }

    fn append(&mut self, now: Millis, vms: usize) -> Option<BillAction> {
        let count = self.append_queue.len().min(Self::MAX_BATCH_BILLS);
        let phase = |request: RequestNumber| Some((request, self.own.get(&request)?.phase));
        let own: Vec<(RequestNumber, BillPhase)> =
            self.append_queue.drain(..count).filter_map(phase).collect();
        let room = Self::MAX_BATCH_BILLS - own.len();
        let adopted: Vec<BillRecord> = self.adopted.drain(..self.adopted.len().min(room)).collect();
        if own.is_empty() && adopted.is_empty() {
            return None;
        }
        let records = own.iter().filter_map(|(request, _)| self.get(*request));
        let batch: Vec<&BillRecord> = records.chain(&adopted).collect();
        let record = rmp_serde::to_vec(&batch).ok()?;
        let soonest = Self::APPEND_INTERVAL_PER_VM_MS * vms as u64;
        let latest = soonest.max(Self::APPEND_INTERVAL_MS);
        self.schedule = AppendSchedule::between(now + Millis(soonest), now + Millis(latest));
        self.pending_append = Some(PendingAppend { own, adopted });
        Some(BillAction::Append(record.into()))
    }

    /// Handles the result of the pending append, and tells the replicas which copies to drop.
    pub fn on_appended(
        &mut self,
        now: Millis,
        result: &Result<Offset, PlatformError>,
    ) -> Vec<BillAction> {
        let Some(pending_append) = self.pending_append.take() else { return Vec::new() };
        if let Err(error) = result {
            tracing::warn!(%error, waiting = self.own.len(), "failed to append bills; retrying");
            let retry = now + Millis(Self::APPEND_RETRY_MS);
            self.schedule = AppendSchedule::between(retry, retry);
            for (request, _) in pending_append.own.into_iter().rev() {
                self.append_queue.push_front(request);
            }
            for bill in pending_append.adopted.into_iter().rev() {
                self.adopted.push_front(bill);
            }
            return Vec::new();
        }
        let mut settled: BTreeMap<VmId, Vec<RequestNumber>> = BTreeMap::new();
        for (request, phase) in pending_append.own {
            if phase == BillPhase::Running {
                self.on_open_appended(request);
                continue;
            }
            let Some(bill) = self.own.remove(&request) else { continue };
            self.unconfirmed.remove(&request);
            self.own_bytes -= bill.record.size().0;
            for replica in bill.replicas {
                settled.entry(replica).or_default().push(request);
            }
        }
        for bill in pending_append.adopted {
            self.own_bytes -= bill.size().0;
        }
        let send = |(replica, bills)| BillAction::Send(replica, BillMessage::Settled(bills));
        settled.into_iter().map(send).collect()
    }

    /// Marks an open bill as safe from loss, because it is on the log.
    fn on_open_appended(&mut self, request: RequestNumber) {
        if let Some(bill) = self.own.get_mut(&request)
            && bill.phase == BillPhase::Running
        {
            bill.replicated = true;
        }
    }

    /// Handles a message of a peer and returns the reply, if there is one.
    pub fn on_message(&mut self, from: &PeerName, message: &BillMessage) -> Option<BillAction> {
        match message {
            BillMessage::Keep(records) => Some(self.store_copies(from, records)),
            BillMessage::Close(bills) => Some(self.close_copies(from, bills)),
            BillMessage::Kept { open, closed } => {
                self.on_replicated(open, false);
                self.on_replicated(closed, true);
                None
            }
            BillMessage::Settled(requests) => {
                self.drop_copies(from, requests);
                None
            }
            BillMessage::Holding(requests) => {
                let gone = requests.iter().filter(|request| !self.own.contains_key(request));
                let gone: Vec<RequestNumber> = gone.copied().collect();
                let reply =
                    || BillAction::Send(from.vm.clone(), BillMessage::Settled(gone.clone()));
                (!gone.is_empty()).then(reply)
            }
        }
    }

    fn store_copies(&mut self, from: &PeerName, records: &[BillRecord]) -> BillAction {
        let (mut open, mut closed) = (Vec::new(), Vec::new());
        for record in records {
            if self.copy_bytes >= Self::COPY_LIMIT_BYTES {
                break;
            }
            let request = record.request.number;
            let copies = self.copies.entry(from.clone()).or_default();
            let stale = copies.get(&request).is_some_and(BillRecord::is_closed);
            if !stale {
                let old = copies.insert(request, record.clone());
                self.copy_bytes += record.size().0;
                self.copy_bytes -= old.map_or(0, |old| old.size().0);
            }
            if record.is_closed() { closed.push(request) } else { open.push(request) }
        }
        let kept = BillMessage::Kept { open, closed };
        BillAction::Send(from.vm.clone(), kept)
    }

    fn close_copies(
        &mut self,
        from: &PeerName,
        bills: &[(RequestNumber, BillStage)],
    ) -> BillAction {
        let mut closed = Vec::new();
        for (request, stage) in bills {
            let copies = self.copies.get_mut(from);
            let Some(copy) = copies.and_then(|copies| copies.get_mut(request)) else { continue };
            self.copy_bytes -= copy.size().0;
            copy.stage = stage.clone();
            self.copy_bytes += copy.size().0;
            closed.push(*request);
        }
        let kept = BillMessage::Kept { open: Vec::new(), closed };
        BillAction::Send(from.vm.clone(), kept)
    }

    fn on_replicated(&mut self, requests: &[RequestNumber], closed: bool) {
        for request in requests {
            let Some(bill) = self.own.get_mut(request) else { continue };
            if bill.record.is_closed() == closed {
                bill.replicated = true;
                self.unconfirmed.remove(request);
            }
        }
    }

    /// Returns whether the current stage of a bill is safe from loss: a peer holds a copy, or the
    /// open bill is on the log.
    #[must_use]
    pub fn is_replicated(&self, request: RequestNumber) -> bool {
        self.own.get(&request).is_some_and(|bill| bill.replicated)
    }

    fn drop_copies(&mut self, from: &PeerName, requests: &[RequestNumber]) {
        let Some(copies) = self.copies.get_mut(from) else { return };
        for request in requests {
            let dropped = copies.remove(request);
            self.copy_bytes -= dropped.map_or(0, |record| record.size().0);
        }
        if copies.is_empty() {
            self.copies.remove(from);
        }
    }

    /// Returns messages that tell each origin which copies are held here, so that it can answer
    /// with those that are settled.
    fn report_copies(&self) -> Vec<BillAction> {
        let holding = |(origin, copies): (&PeerName, &BTreeMap<RequestNumber, BillRecord>)| {
            let requests = copies.keys().copied().collect();
            BillAction::Send(origin.vm.clone(), BillMessage::Holding(requests))
        };
        self.copies.iter().map(holding).collect()
    }

    /// Assigns the replicas `fresh` to bills that have no replicas or unreachable ones.
    pub fn replace_replicas(&mut self, reach: &BTreeSet<VmId>, fresh: &[VmId]) {
        for (request, bill) in &mut self.own {
            let in_reach = bill.replicas.iter().all(|replica| reach.contains(replica));
            let same = bill.replicas.iter().all(|replica| fresh.contains(replica));
            if (in_reach && !bill.replicas.is_empty())
                || (same && bill.replicas.len() == fresh.len())
            {
                continue;
            }
            bill.replicas = fresh.to_vec();
            bill.replicated = false;
            bill.sent_at = Millis(0);
            self.unconfirmed.insert(*request);
        }
    }

    /// Takes over the bills of vanished origins: their copies are queued for the log.
    pub fn adopt(&mut self, vanished: impl Fn(&PeerName) -> bool) {
        let origins: Vec<PeerName> =
            self.copies.keys().filter(|origin| vanished(origin)).cloned().collect();
        for origin in origins {
            let copies = self.copies.remove(&origin).unwrap_or_default();
            tracing::info!(%origin, bills = copies.len(), "adopted bills of a vanished entry VM");
            for record in copies.into_values() {
                self.copy_bytes -= record.size().0;
                self.own_bytes += record.size().0;
                self.adopted.push_back(record);
            }
        }
    }
}
