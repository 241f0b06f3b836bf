use super::*;

/// Appends the claims of one stream in batches and reads the stream back.
///
/// It decides nothing: two gatherers of the same stream are ordered by the log.
#[derive(Clone, Debug)]
pub struct ClaimGatherer {
    fold: ClaimFold,
    started: bool,
    reading: bool,
    read_at: Millis,
    queue: Vec<ClaimEntry>,
    flight: Option<AppendFlight>,
    lost: u32,
    append_at: Millis,
    askers: BTreeMap<(EntryKind, ClaimName), VmId>,
    asked: Millis,
}

#[derive(Clone, Debug)]
struct AppendFlight {
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

/// What a gatherer wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GathererAction {
    /// Append a record to the stream.
    Append(Bytes),
    /// Read the stream from an offset.
    Read(Offset),
    /// Tell an entry VM what the stream says.
    Tell(VmId, ClaimName, ClaimVerdict),
}

impl ClaimGatherer {
    /// The least time between two appends.
    pub const APPEND_INTERVAL_MS: u64 = 33;
    const BATCH_ENTRIES: usize = 512;
    const QUEUE_ENTRIES: usize = 20_000;
    const RETRY_MS: u64 = 100;
    const DOWN_PAUSE_MS: u64 = 500;
    const MAX_LOST: u32 = 5;
    const IDLE_MS: u64 = 60_000;

    /// Returns a gatherer that has read nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            fold: ClaimFold::default(),
            started: false,
            reading: false,
            read_at: Millis(0),
            queue: Vec::new(),
            flight: None,
            lost: 0,
            append_at: Millis(0),
            askers: BTreeMap::new(),
            asked: Millis(0),
        }
    }

    /// Returns the state of the stream as far as it was read.
    #[must_use]
    pub const fn fold(&self) -> &ClaimFold {
        &self.fold
    }

    /// Reads the stream from now on.
    pub const fn start(&mut self, now: Millis) {
        self.started = true;
        self.asked = now;
    }

    /// Returns whether nothing waits for an append or a verdict.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.askers.is_empty() && self.queue.is_empty() && self.flight.is_none()
    }

    /// Takes in an entry of an entry VM.
    pub fn ask(&mut self, now: Millis, from: &VmId, entry: ClaimEntry) -> Vec<GathererAction> {
        self.start(now);
        if let Some(verdict) = self.fold.verdict(&entry) {
            return vec![GathererAction::Tell(from.clone(), entry.name().clone(), verdict)];
        }
        if self.queue.len() >= Self::QUEUE_ENTRIES {
            let name = entry.name().clone();
            return vec![GathererAction::Tell(from.clone(), name, ClaimVerdict::Down)];
        }
        let asker = (EntryKind::of(&entry), entry.name().clone());
        if self.askers.insert(asker, from.clone()).is_none() {
            self.queue.push(entry);
        }
        Vec::new()
    }

    /// Returns what is due.
    pub fn pump(&mut self, now: Millis, unix: Millis) -> Vec<GathererAction> {
        let mut actions = Vec::new();
        if self.is_idle() && now.since(self.asked) > Millis(Self::IDLE_MS) {
            self.started = false;
        }
        if self.started && !self.reading && self.read_at <= now {
            self.reading = true;
            actions.push(GathererAction::Read(self.fold.next()));
        }
        if self.append_at <= now && self.flight.is_none() && !self.queue.is_empty() {
            let count = self.queue.len().min(Self::BATCH_ENTRIES);
            let entries: Vec<ClaimEntry> = self.queue.drain(..count).collect();
            let batch = ClaimBatch { stamp: unix, entries };
            let Ok(record) = rmp_serde::to_vec(&batch).map(Bytes::from) else { return actions };
            self.append_at = now + Millis(Self::APPEND_INTERVAL_MS);
            self.flight = Some(AppendFlight { entries: batch.entries, record: record.clone() });
            actions.push(GathererAction::Append(record));
        }
        actions
    }

    /// Takes in the answer to the append under way.
    pub fn on_appended(
        &mut self,
        now: Millis,
        result: &Result<Offset, PlatformError>,
    ) -> Vec<GathererAction> {
        let Some(flight) = self.flight.take() else { return Vec::new() };
        match result {
            Ok(offset) => {
                self.lost = 0;
                if *offset != self.fold.next() {
                    return Vec::new();
                }
                self.fold_record(&LogRecord { offset: *offset, record: flight.record })
            }
            Err(PlatformError::Lost { .. } | PlatformError::Malformed { .. })
                if self.lost < Self::MAX_LOST =>
            {
                self.lost += 1;
                self.append_at = now + Millis(Self::RETRY_MS);
                self.requeue(flight.entries);
                Vec::new()
            }
            Err(error) => {
                tracing::warn!(%error, "claims not appended");
                self.lost = 0;
                self.append_at = now + Millis(Self::DOWN_PAUSE_MS);
                self.requeue(flight.entries);
                self.give_up()
            }
        }
    }

    /// Takes in the answer to the read under way.
    pub fn on_read(
        &mut self,
        now: Millis,
        unix: Millis,
        result: &Result<LogPage, PlatformError>,
    ) -> Vec<GathererAction> {
        self.reading = false;
        self.read_at = now;
        match result {
            Ok(page) => {
                if page.oldest > self.fold.next() {
                    self.restart(ClaimFold::starting_at(page.oldest));
                } else if page.next < self.fold.next() && page.records.is_empty() {
                    tracing::warn!(next = %page.next, "the claims stream lost records");
                    self.restart(ClaimFold::restored(page.oldest, unix));
                }
                page.records.iter().flat_map(|record| self.fold_record(record)).collect()
            }
            Err(PlatformError::Trimmed { oldest }) => {
                self.restart(ClaimFold::starting_at(*oldest));
                Vec::new()
            }
            Err(error) => {
                tracing::warn!(%error, "claims not read");
                self.read_at = now + Millis(Self::DOWN_PAUSE_MS);
                Vec::new()
            }
        }
    }

    /// Forgets what was read before a gap; claimants ask again.
    fn restart(&mut self, fold: ClaimFold) {
        self.fold = fold;
        self.askers.clear();
        let queue = std::mem::take(&mut self.queue);
        let kind = |entry: &ClaimEntry| EntryKind::of(entry) == EntryKind::Release;
        self.queue = queue.into_iter().filter(kind).collect();
    }

    fn fold_record(&mut self, record: &LogRecord) -> Vec<GathererAction> {
        if record.offset > self.fold.next() {
            self.restart(ClaimFold::starting_at(record.offset));
        }
        let entries = self.fold.fold(record);
        entries.iter().filter_map(|entry| self.tell(entry)).collect()
    }

    fn tell(&mut self, entry: &ClaimEntry) -> Option<GathererAction> {
        let asker = (EntryKind::of(entry), entry.name().clone());
        if !self.askers.contains_key(&asker) {
            return None;
        }
        let verdict = self.fold.verdict(entry)?;
        let vm = self.askers.remove(&asker)?;
        Some(GathererAction::Tell(vm, asker.1, verdict))
    }

    fn requeue(&mut self, mut entries: Vec<ClaimEntry>) {
        entries.append(&mut self.queue);
        self.queue = entries;
    }

    /// Drops the claims that wait and tells their claimants; releases stay.
    fn give_up(&mut self) -> Vec<GathererAction> {
        let queue = std::mem::take(&mut self.queue);
        let (claims, releases): (Vec<_>, Vec<_>) =
            queue.into_iter().partition(|entry| matches!(entry, ClaimEntry::Claim { .. }));
        self.queue = releases;
        let asker = |entry: ClaimEntry| (EntryKind::Claim, entry.name().clone());
        let askers: Vec<_> = claims.into_iter().map(asker).collect();
        askers
            .into_iter()
            .filter_map(|asker| {
                let vm = self.askers.remove(&asker)?;
                Some(GathererAction::Tell(vm, asker.1, ClaimVerdict::Down))
            })
            .collect()
    }
}

impl Default for ClaimGatherer {
    fn default() -> Self {
        Self::new()
    }
}
