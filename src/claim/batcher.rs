use super::*;

/// Collects the claims and releases for one stream, appends them in batches and reads the stream
/// back.
///
/// Correctness does not depend on a single batcher for a stream: the order of records on the log
/// decides between the claims of two.
#[derive(Clone, Debug)]
pub struct ClaimBatcher {
    fold: ClaimFold,
    started: bool,
    read_pending: bool,
    read_at: Millis,
    queue: Vec<ClaimEntry>,
    pending_append: Option<PendingAppend>,
    lost_appends: u32,
    append_at: Millis,
    requesters: BTreeMap<(EntryKind, ClaimName), VmId>,
    last_asked: Millis,
}

#[derive(Clone, Debug)]
struct PendingAppend {
    entries: Vec<ClaimEntry>,
    record: Bytes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EntryKind {
    Claim,
    Release,
}

impl EntryKind {
    const fn of(entry: &ClaimEntry) -> Self {
        match entry {
            ClaimEntry::Claim { .. } => Self::Claim,
            ClaimEntry::Release { .. } => Self::Release,
        }
    }
}

/// An action that the batcher asks its caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimBatcherAction {
    /// Appends a record to the stream.
    Append(Bytes),
    /// Reads the stream from an offset.
    Read(Offset),
    /// Sends the verdict on a claim or release to an entry VM.
    SendVerdict(VmId, ClaimName, ClaimVerdict),
}

impl ClaimBatcher {
    /// The least time between two appends to the stream.
    pub const APPEND_INTERVAL_MS: u64 = 33;
    const MAX_BATCH_ENTRIES: usize = 512;
    const MAX_QUEUED_ENTRIES: usize = 20_000;
    const LOST_APPEND_RETRY_MS: u64 = 100;
    const ERROR_PAUSE_MS: u64 = 500;
    const MAX_LOST_APPENDS: u32 = 5;
    const IDLE_MS: u64 = 60_000;

    /// Returns a batcher that has neither read records nor received entries.
    #[must_use]
    pub fn new() -> Self {
        Self {
            fold: ClaimFold::default(),
            started: false,
            read_pending: false,
            read_at: Millis(0),
            queue: Vec::new(),
            pending_append: None,
            lost_appends: 0,
            append_at: Millis(0),
            requesters: BTreeMap::new(),
            last_asked: Millis(0),
        }
    }

    /// Returns the holders of keys according to the records read so far.
    #[must_use]
    pub const fn fold(&self) -> &ClaimFold {
        &self.fold
    }

    /// Starts reading the stream. Reading stops when nothing has been asked for a minute.
    pub const fn start(&mut self, now: Millis) {
        self.started = true;
        self.last_asked = now;
    }

    /// Returns whether no entry waits for an append or a verdict.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.requesters.is_empty() && self.queue.is_empty() && self.pending_append.is_none()
    }

    /// Handles an entry of an entry VM: it is answered at once if the verdict is known already, and
    /// queued for an append otherwise. If the queue is full, the verdict is [`ClaimVerdict::Down`].
    pub fn submit(
        &mut self,
        now: Millis,
        from: &VmId,
        entry: ClaimEntry,
    ) -> Vec<ClaimBatcherAction> {
        self.start(now);
        if let Some(verdict) = self.fold.verdict(&entry) {
            return vec![ClaimBatcherAction::SendVerdict(
                from.clone(),
                entry.name().clone(),
                verdict,
            )];
        }
        if self.queue.len() >= Self::MAX_QUEUED_ENTRIES {
            let name = entry.name().clone();
            return vec![ClaimBatcherAction::SendVerdict(from.clone(), name, ClaimVerdict::Down)];
        }
        let request_key = (EntryKind::of(&entry), entry.name().clone());
        if self.requesters.insert(request_key, from.clone()).is_none() {
            self.queue.push(entry);
        }
        Vec::new()
    }

    /// Returns the read and the append that are due. `unix` is the wall clock time.
    pub fn due_actions(&mut self, now: Millis, unix: Millis) -> Vec<ClaimBatcherAction> {
        let mut actions = Vec::new();
        if self.is_idle() && now.since(self.last_asked) > Millis(Self::IDLE_MS) {
            self.started = false;
        }
        if self.started && !self.read_pending && self.read_at <= now {
            self.read_pending = true;
            actions.push(ClaimBatcherAction::Read(self.fold.next()));
        }
        if self.append_at <= now && self.pending_append.is_none() && !self.queue.is_empty() {
            let count = self.queue.len().min(Self::MAX_BATCH_ENTRIES);
            let entries: Vec<ClaimEntry> = self.queue.drain(..count).collect();
            let batch = ClaimBatch { stamp: unix, entries };
            let Ok(record) = rmp_serde::to_vec(&batch).map(Bytes::from) else { return actions };
            self.append_at = now + Millis(Self::APPEND_INTERVAL_MS);
            self.pending_append =
                Some(PendingAppend { entries: batch.entries, record: record.clone() });
            actions.push(ClaimBatcherAction::Append(record));
        }
        actions
    }

    /// Handles the result of the pending append. After a lost answer, the entries are appended
    /// again; after too many of these or another error, the waiting claims are answered with
    /// [`ClaimVerdict::Down`].
    pub fn on_appended(
        &mut self,
        now: Millis,
        result: &Result<Offset, PlatformError>,
    ) -> Vec<ClaimBatcherAction> {
        let Some(pending_append) = self.pending_append.take() else { return Vec::new() };
        match result {
            Ok(offset) => {
                self.lost_appends = 0;
                if *offset != self.fold.next() {
                    return Vec::new();
                }
                self.fold_record(&LogRecord { offset: *offset, record: pending_append.record })
            }
            Err(PlatformError::Lost { .. } | PlatformError::Malformed { .. })
                if self.lost_appends < Self::MAX_LOST_APPENDS =>
            {
                self.lost_appends += 1;
                self.append_at = now + Millis(Self::LOST_APPEND_RETRY_MS);
                self.requeue(pending_append.entries);
                Vec::new()
            }
            Err(error) => {
                tracing::warn!(%error, "failed to append claims");
                self.lost_appends = 0;
                self.append_at = now + Millis(Self::ERROR_PAUSE_MS);
                self.requeue(pending_append.entries);
                self.fail_claims()
            }
        }
    }

    /// Handles the result of the pending read.
    pub fn on_read(
        &mut self,
        now: Millis,
        unix: Millis,
        result: &Result<LogPage, PlatformError>,
    ) -> Vec<ClaimBatcherAction> {
        self.read_pending = false;
        self.read_at = now;
        match result {
            Ok(page) => {
                if page.oldest > self.fold.next() {
                    self.reset_fold(ClaimFold::starting_at(page.oldest));
                } else if page.next < self.fold.next() && page.records.is_empty() {
                    tracing::warn!(next = %page.next, "the claims stream lost records; keys generated before now are no longer accepted");
                    self.reset_fold(ClaimFold::restored(page.oldest, unix));
                }
                page.records.iter().flat_map(|record| self.fold_record(record)).collect()
            }
            Err(PlatformError::Trimmed { oldest }) => {
                self.reset_fold(ClaimFold::starting_at(*oldest));
                Vec::new()
            }
            Err(error) => {
                tracing::warn!(%error, "failed to read the claims stream; retrying");
                self.read_at = now + Millis(Self::ERROR_PAUSE_MS);
                Vec::new()
            }
        }
    }

    /// Replaces the fold after a gap in the stream, and drops the claims that wait; their claimants
    /// ask again. Queued releases stay.
    fn reset_fold(&mut self, fold: ClaimFold) {
        self.fold = fold;
        self.requesters.clear();
        let queue = std::mem::take(&mut self.queue);
        let is_release = |entry: &ClaimEntry| EntryKind::of(entry) == EntryKind::Release;
        self.queue = queue.into_iter().filter(is_release).collect();
    }

    fn fold_record(&mut self, record: &LogRecord) -> Vec<ClaimBatcherAction> {
        if record.offset > self.fold.next() {
            self.reset_fold(ClaimFold::starting_at(record.offset));
        }
        let entries = self.fold.fold(record);
        entries.iter().filter_map(|entry| self.take_verdict(entry)).collect()
    }

    fn take_verdict(&mut self, entry: &ClaimEntry) -> Option<ClaimBatcherAction> {
        let request_key = (EntryKind::of(entry), entry.name().clone());
        if !self.requesters.contains_key(&request_key) {
            return None;
        }
        let verdict = self.fold.verdict(entry)?;
        let vm = self.requesters.remove(&request_key)?;
        Some(ClaimBatcherAction::SendVerdict(vm, request_key.1, verdict))
    }

    fn requeue(&mut self, mut entries: Vec<ClaimEntry>) {
        entries.append(&mut self.queue);
        self.queue = entries;
    }

    /// Drops the queued claims and answers their claimants with [`ClaimVerdict::Down`]. Queued
    /// releases stay.
    fn fail_claims(&mut self) -> Vec<ClaimBatcherAction> {
        let queue = std::mem::take(&mut self.queue);
        let (claims, releases): (Vec<_>, Vec<_>) =
            queue.into_iter().partition(|entry| matches!(entry, ClaimEntry::Claim { .. }));
        self.queue = releases;
        let request_key = |entry: ClaimEntry| (EntryKind::Claim, entry.name().clone());
        let requesters: Vec<_> = claims.into_iter().map(request_key).collect();
        requesters
            .into_iter()
            .filter_map(|request_key| {
                let vm = self.requesters.remove(&request_key)?;
                Some(ClaimBatcherAction::SendVerdict(vm, request_key.1, ClaimVerdict::Down))
            })
            .collect()
    }
}

impl Default for ClaimBatcher {
    fn default() -> Self {
        Self::new()
    }
}
