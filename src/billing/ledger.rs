use super::*;

/// The bills of an entry VM until they are on the log, and the copies that it keeps for peers.
#[derive(Clone, Debug, Default)]
pub struct BillLedger {
    own: BTreeMap<RequestNumber, OwnBill>,
    unsent: BTreeSet<RequestNumber>,
    outbox: VecDeque<RequestNumber>,
    adopted: VecDeque<BillRecord>,
    flight: Option<BillFlight>,
    copies: BTreeMap<PeerName, BTreeMap<RequestNumber, BillRecord>>,
    own_bytes: u64,
    copy_bytes: u64,
    pace: AppendPace,
    review_at: Millis,
}

#[derive(Clone, Debug)]
struct OwnBill {
    record: BillRecord,
    keepers: Vec<VmId>,
    kept: bool,
    sent: Millis,
    phase: BillPhase,
}

/// Whether the request of a bill is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BillPhase {
    Running,
    Ended,
}

#[derive(Clone, Debug)]
struct BillFlight {
    own: Vec<(RequestNumber, BillPhase)>,
    adopted: Vec<BillRecord>,
}

/// What a ledger wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum BillAction {
    /// Send a message to an entry VM.
    Send(VmId, BillMessage),
    /// Append a record to the `bills` stream.
    Append(Bytes),
}

impl BillLedger {
    /// The memory for this VM's own bills, past which no billable work is taken.
    pub const OWN_LIMIT_BYTES: u64 = 48 << 20;
    /// The memory for copies of peers' bills, past which none is taken.
    pub const COPY_LIMIT_BYTES: u64 = 96 << 20;
    /// The least time between two appends.
    pub const APPEND_INTERVAL_MS: u64 = 500;
    /// The time between two appends, for each entry VM.
    pub const APPEND_INTERVAL_PER_VM_MS: u64 = 25;
    const RETRY_MS: u64 = 500;
    const RESEND_MS: u64 = 1_000;
    const REVIEW_MS: u64 = 30_000;
    const BATCH_BILLS: usize = 2_000;

    /// Returns the name of the stream of bills.
    ///
    /// # Panics
    ///
    /// Never: the name is valid.
    #[must_use]
    pub fn stream() -> StreamId {
        "bills".parse().expect("the stream name is valid")
    }

    /// Returns whether new billable work must be refused.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.own_bytes >= Self::OWN_LIMIT_BYTES
    }

    /// Returns the memory for own bills and for copies.
    #[must_use]
    pub const fn size(&self) -> (ByteSize, ByteSize) {
        (ByteSize(self.own_bytes), ByteSize(self.copy_bytes))
    }

    /// Returns the number of own and adopted bills that are not on the log yet.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.own.len() + self.adopted.len() + self.flight.as_ref().map_or(0, |f| f.adopted.len())
    }

    /// Returns whether a stop now would lose a bill: one that is neither on the log nor at a peer.
    #[must_use]
    pub fn has_unkept(&self) -> bool {
        !self.adopted.is_empty()
            || self.flight.as_ref().is_some_and(|flight| !flight.adopted.is_empty())
            || self.own.values().any(|bill| !bill.kept)
    }

    /// Returns the request's bill.
    #[must_use]
    pub fn get(&self, request: RequestNumber) -> Option<&BillRecord> {
        self.own.get(&request).map(|bill| &bill.record)
    }

    /// Returns whether a copy of a bill that this VM keeps says that its request ran.
    #[must_use]
    pub fn has_final(&self, key: &BillKey) -> bool {
        let copies = self.copies.values().flat_map(BTreeMap::values);
        let own = self.own.values().map(|bill| &bill.record);
        copies
            .chain(own)
            .any(|bill| bill.key == *key && matches!(bill.stage, BillStage::Final { .. }))
    }

    /// Opens a bill; its keepers get copies at the next pump.
    pub fn open(&mut self, record: BillRecord, keepers: Vec<VmId>) {
        let request = record.request.number;
        self.own_bytes += record.size().0;
        let (sent, phase) = (Millis(0), BillPhase::Running);
        self.own.insert(request, OwnBill { record, keepers, kept: false, sent, phase });
        self.unsent.insert(request);
    }

    /// Closes a bill, or lists it as it is if its end is not known.
    pub fn close(&mut self, request: RequestNumber, stage: BillStage) {
        let Some(bill) = self.own.get_mut(&request) else { return };
        self.own_bytes -= bill.record.size().0;
        if matches!(stage, BillStage::Open { .. }) {
            self.unsent.remove(&request);
        } else {
            bill.kept = false;
            self.unsent.insert(request);
        }
        bill.record.stage = stage;
        bill.phase = BillPhase::Ended;
        bill.sent = Millis(0);
        self.own_bytes += bill.record.size().0;
        self.outbox.push_back(request);
    }

    /// Has an open bill appended at once, because no peer keeps it.
    pub fn list(&mut self, request: RequestNumber) {
        self.outbox.push_back(request);
        self.hurry();
    }

    /// Returns the messages and the append that are due.
    pub fn pump(&mut self, now: Millis, vms: usize) -> Vec<BillAction> {
        let mut actions = self.send_copies(now);
        let waiting = self.outbox.len() + self.adopted.len();
        if self.flight.is_none() && self.pace.is_due(now, waiting) {
            actions.extend(self.append(now, vms));
        }
        if now >= self.review_at {
            self.review_at = now + Millis(Self::REVIEW_MS);
            actions.extend(self.review());
        }
        actions
    }

    /// Lets the next append go at once.
    pub const fn hurry(&mut self) {
        self.pace = AppendPace::between(Millis(0), Millis(0));
    }

    /// Sends open bills to all keepers, and closes them at the first one; what stays without an
    /// answer is sent whole to all.
    fn send_copies(&mut self, now: Millis) -> Vec<BillAction> {
        let mut whole: BTreeMap<VmId, Vec<BillRecord>> = BTreeMap::new();
        let mut closes: BTreeMap<VmId, Vec<(RequestNumber, BillStage)>> = BTreeMap::new();
        for request in self.unsent.clone() {
            let Some(bill) = self.own.get_mut(&request) else { continue };
            let first = bill.sent == Millis(0);
            if !first && now.since(bill.sent) < Millis(Self::RESEND_MS) {
                continue;
            }
            bill.sent = now;
            match bill.keepers.first() {
                None => {
                    self.unsent.remove(&request);
                }
                Some(keeper) if first && bill.record.is_closed() => {
                    let stage = bill.record.stage.clone();
                    closes.entry(keeper.clone()).or_default().push((request, stage));
                }
                Some(_) => {
                    for keeper in &bill.keepers {
                        whole.entry(keeper.clone()).or_default().push(bill.record.clone());
                    }
                }
            }
        }
        let keep = |(keeper, bills)| BillAction::Send(keeper, BillMessage::Keep(bills));
        let close = |(keeper, bills)| BillAction::Send(keeper, BillMessage::Close(bills));
        whole.into_iter().map(keep).chain(closes.into_iter().map(close)).collect()
    }

    fn append(&mut self, now: Millis, vms: usize) -> Option<BillAction> {
        let count = self.outbox.len().min(Self::BATCH_BILLS);
        let phase = |request: RequestNumber| Some((request, self.own.get(&request)?.phase));
        let own: Vec<(RequestNumber, BillPhase)> =
            self.outbox.drain(..count).filter_map(phase).collect();
        let room = Self::BATCH_BILLS - own.len();
        let adopted: Vec<BillRecord> = self.adopted.drain(..self.adopted.len().min(room)).collect();
        if own.is_empty() && adopted.is_empty() {
            return None;
        }
        let records = own.iter().filter_map(|(request, _)| self.get(*request));
        let batch: Vec<&BillRecord> = records.chain(&adopted).collect();
        let record = rmp_serde::to_vec(&batch).ok()?;
        let soonest = Self::APPEND_INTERVAL_PER_VM_MS * vms as u64;
        let latest = soonest.max(Self::APPEND_INTERVAL_MS);
        self.pace = AppendPace::between(now + Millis(soonest), now + Millis(latest));
        self.flight = Some(BillFlight { own, adopted });
        Some(BillAction::Append(record.into()))
    }

    /// Takes in the answer to the append under way.
    pub fn on_appended(
        &mut self,
        now: Millis,
        result: &Result<Offset, PlatformError>,
    ) -> Vec<BillAction> {
        let Some(flight) = self.flight.take() else { return Vec::new() };
        if let Err(error) = result {
            tracing::warn!(%error, waiting = self.own.len(), "bills not appended");
            let retry = now + Millis(Self::RETRY_MS);
            self.pace = AppendPace::between(retry, retry);
            for (request, _) in flight.own.into_iter().rev() {
                self.outbox.push_front(request);
            }
            for bill in flight.adopted.into_iter().rev() {
                self.adopted.push_front(bill);
            }
            return Vec::new();
        }
        let mut settled: BTreeMap<VmId, Vec<RequestNumber>> = BTreeMap::new();
        for (request, phase) in flight.own {
            if phase == BillPhase::Running {
                self.on_listed(request);
                continue;
            }
            let Some(bill) = self.own.remove(&request) else { continue };
            self.unsent.remove(&request);
            self.own_bytes -= bill.record.size().0;
            for keeper in bill.keepers {
                settled.entry(keeper).or_default().push(request);
            }
        }
        for bill in flight.adopted {
            self.own_bytes -= bill.size().0;
        }
        let send = |(keeper, bills)| BillAction::Send(keeper, BillMessage::Settled(bills));
        settled.into_iter().map(send).collect()
    }

    /// Notes that the open bill is on the log.
    fn on_listed(&mut self, request: RequestNumber) {
        if let Some(bill) = self.own.get_mut(&request)
            && bill.phase == BillPhase::Running
        {
            bill.kept = true;
        }
    }

    /// Takes in a message of a peer.
    pub fn on_message(&mut self, from: &PeerName, message: &BillMessage) -> Option<BillAction> {
        match message {
            BillMessage::Keep(records) => Some(self.keep(from, records)),
            BillMessage::Close(bills) => Some(self.close_copies(from, bills)),
            BillMessage::Kept { open, closed } => {
                self.on_kept(open, false);
                self.on_kept(closed, true);
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

    fn keep(&mut self, from: &PeerName, records: &[BillRecord]) -> BillAction {
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

    fn on_kept(&mut self, requests: &[RequestNumber], closed: bool) {
        for request in requests {
            let Some(bill) = self.own.get_mut(request) else { continue };
            if bill.record.is_closed() == closed {
                bill.kept = true;
                self.unsent.remove(request);
            }
        }
    }

    /// Returns whether a peer keeps the request's bill.
    #[must_use]
    pub fn is_kept(&self, request: RequestNumber) -> bool {
        self.own.get(&request).is_some_and(|bill| bill.kept)
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

    /// Tells origins which copies are still held here.
    fn review(&self) -> Vec<BillAction> {
        let holding = |(origin, copies): (&PeerName, &BTreeMap<RequestNumber, BillRecord>)| {
            let requests = copies.keys().copied().collect();
            BillAction::Send(origin.vm.clone(), BillMessage::Holding(requests))
        };
        self.copies.iter().map(holding).collect()
    }

    /// Gives bills whose keepers are out of reach to others.
    pub fn replace_keepers(&mut self, reach: &BTreeSet<VmId>, fresh: &[VmId]) {
        for (request, bill) in &mut self.own {
            let in_reach = bill.keepers.iter().all(|keeper| reach.contains(keeper));
            let same = bill.keepers.iter().all(|keeper| fresh.contains(keeper));
            if (in_reach && !bill.keepers.is_empty()) || (same && bill.keepers.len() == fresh.len())
            {
                continue;
            }
            bill.keepers = fresh.to_vec();
            bill.kept = false;
            bill.sent = Millis(0);
            self.unsent.insert(*request);
        }
    }

    /// Takes over the copies of origins that have vanished.
    pub fn adopt(&mut self, vanished: impl Fn(&PeerName) -> bool) {
        let origins: Vec<PeerName> =
            self.copies.keys().filter(|origin| vanished(origin)).cloned().collect();
        for origin in origins {
            let copies = self.copies.remove(&origin).unwrap_or_default();
            tracing::info!(%origin, bills = copies.len(), "bills adopted");
            for record in copies.into_values() {
                self.copy_bytes -= record.size().0;
                self.own_bytes += record.size().0;
                self.adopted.push_back(record);
            }
        }
    }
}
