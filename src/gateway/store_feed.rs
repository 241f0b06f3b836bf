//! Reading one stream of the store and following its changes.

use super::*;

/// A read of the store to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedRead {
    /// One page of the newest record of each key.
    Newest {
        /// The stream.
        stream: StoreStream,
        /// The last key of the page before; none for the first page.
        after: Option<SmolStr>,
    },
    /// The records from an offset on, as a long poll.
    From {
        /// The stream.
        stream: StoreStream,
        /// The first offset.
        from: Offset,
        /// How long the store may wait for a new record before it answers.
        wait: Millis,
    },
}

/// The result of a read of the store.
#[derive(Clone, Debug)]
pub enum FeedAnswer {
    /// The newest records.
    Newest(Result<NewestPage, StoreError>),
    /// Records from an offset on.
    From(Result<StorePage, StoreError>),
}

/// The progress of a feed after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedProgress {
    /// All records that the stream had when the read was sent are known.
    CaughtUp {
        /// When the read was sent.
        sent: Millis,
    },
    /// There are more records.
    Behind,
    /// The read failed.
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum FeedStage {
    /// Reads the newest record of each key. `follow` is the offset to continue from and when the
    /// first page was requested, so that changes during the paging are read afterwards.
    Newest { after: Option<SmolStr>, follow: Option<(Offset, Millis)> },
    /// Reads the records from an offset on.
    Following { from: Offset },
}

/// Schedules the reads of a stream: first the newest record of each key, then each record in order.
/// Starts over when the records to read next have been deleted from the store.
#[derive(Clone, Debug)]
pub struct StoreFeed {
    stream: StoreStream,
    stage: FeedStage,
    /// The wait of a long poll; zero for a stream that is read at intervals.
    wait: Millis,
    /// The time between two reads once all records are known.
    pause: Millis,
    sent: Option<Millis>,
    /// The wait of the read under way.
    sent_wait: Millis,
    /// True if the next read must not wait for new records, so that this VM learns quickly whether
    /// the store is reachable.
    skips_wait: bool,
    next: Millis,
    failures: u32,
    is_paused: bool,
}

impl StoreFeed {
    /// How much longer than its wait a read may take before its answer is overdue. A store that is
    /// 60 times as slow as usual answers in a quarter of a second.
    const OVERDUE_MARGIN_MS: u64 = 400;
    /// The mean backoff after the first failure; doubles with each further one.
    const MIN_BACKOFF_MS: u64 = 100;
    /// The longest backoff, less than half of the shortest bound (2 s) that depends on a feed.
    const MAX_BACKOFF_MS: u64 = 800;

    /// Returns a feed whose first read is due at once.
    #[must_use]
    pub const fn new(stream: StoreStream, wait: Millis, pause: Millis) -> Self {
        let stage = if stream.is_keyed() {
            FeedStage::Newest { after: None, follow: None }
        } else {
            FeedStage::Following { from: Offset(0) }
        };
        Self {
            stream,
            stage,
            wait,
            pause,
            sent: None,
            sent_wait: Millis(0),
            skips_wait: false,
            next: Millis(0),
            failures: 0,
            is_paused: false,
        }
    }

    /// Returns the time of the next read; none while one is under way or the feed is paused.
    #[must_use]
    pub const fn next(&self) -> Option<Millis> {
        if self.sent.is_some() || self.is_paused { None } else { Some(self.next) }
    }

    /// Returns whether a read is under way.
    #[must_use]
    pub const fn is_reading(&self) -> bool {
        self.sent.is_some()
    }

    /// Returns whether the answer to the read under way is overdue.
    #[must_use]
    pub fn is_overdue(&self, now: Millis) -> bool {
        let due = self.sent.map(|sent| sent + self.sent_wait + Millis(Self::OVERDUE_MARGIN_MS));
        due.is_some_and(|due| now > due)
    }

    /// Returns whether the newest records of all keys have been read, so that only changes remain.
    #[must_use]
    pub const fn is_following(&self) -> bool {
        matches!(self.stage, FeedStage::Following { .. })
    }

    /// Returns the offset after the last known record; none before the newest records have been
    /// read.
    #[must_use]
    pub const fn end(&self) -> Option<Offset> {
        match self.stage {
            FeedStage::Following { from } => Some(from),
            FeedStage::Newest { .. } => None,
        }
    }

    /// Returns whether the next page is the first one of the newest records of all keys.
    #[must_use]
    pub const fn starts_list(&self) -> bool {
        matches!(self.stage, FeedStage::Newest { follow: None, .. })
    }

    /// Returns the number of failed reads since the last successful one.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Resets the failure count when another stream has been read successfully.
    pub const fn reset_failures(&mut self) {
        self.failures = 0;
    }

    /// Makes the next read due now.
    pub fn hurry(&mut self, now: Millis) {
        self.next = self.next.min(now);
    }

    /// Skips the records before an offset because they are known from another VM. Never goes back.
    pub fn skip_to(&mut self, end: Offset) {
        match &mut self.stage {
            FeedStage::Following { from } if from.0 >= end.0 => {}
            stage => *stage = FeedStage::Following { from: end },
        }
    }

    /// Stops reading until [`Self::resume`].
    pub const fn pause(&mut self) {
        self.is_paused = true;
    }

    /// Resumes reading; a feed that was paused reads at once.
    pub fn resume(&mut self, now: Millis) {
        if self.is_paused {
            self.is_paused = false;
            self.skips_wait = true;
            self.next = now;
        }
    }

    /// Returns the read that is due, if any, and records it as under way.
    pub fn read(&mut self, now: Millis) -> Option<FeedRead> {
        if self.sent.is_some() || self.is_paused || now < self.next {
            return None;
        }
        self.sent = Some(now);
        let stream = self.stream;
        let skips_wait = std::mem::take(&mut self.skips_wait) || self.failures > 0;
        let wait = if skips_wait || !self.is_following() { Millis(0) } else { self.wait };
        self.sent_wait = wait;
        Some(match &self.stage {
            FeedStage::Newest { after, .. } => FeedRead::Newest { stream, after: after.clone() },
            FeedStage::Following { from } => FeedRead::From { stream, from: *from, wait },
        })
    }

    /// Processes the answer to the read under way and schedules the next one. `jitter` is a random
    /// number from 0 to 1 that spreads the backoff.
    pub fn answered(&mut self, now: Millis, jitter: f64, answer: &FeedAnswer) -> FeedProgress {
        let sent = self.sent.take().unwrap_or(now);
        match answer {
            FeedAnswer::Newest(Ok(page)) => self.process_newest(now, sent, page),
            FeedAnswer::From(Ok(page)) => self.process_page(now, sent, page),
            FeedAnswer::From(Err(StoreError::Trimmed { first })) => self.restart(now, *first),
            FeedAnswer::Newest(Err(_)) | FeedAnswer::From(Err(_)) => self.back_off(now, jitter),
        }
    }

    fn process_newest(&mut self, now: Millis, sent: Millis, page: &NewestPage) -> FeedProgress {
        self.failures = 0;
        let known = match &self.stage {
            FeedStage::Newest { follow, .. } => *follow,
            FeedStage::Following { .. } => None,
        };
        let (from, first_sent) = known.unwrap_or((page.end, sent));
        self.next = now;
        if let Some(after) = &page.more_after {
            let follow = Some((from, first_sent));
            self.stage = FeedStage::Newest { after: Some(after.clone()), follow };
            return FeedProgress::Behind;
        }
        self.stage = FeedStage::Following { from };
        if self.wait == Millis(0) {
            self.next = now + self.pause;
        }
        FeedProgress::CaughtUp { sent: first_sent }
    }

    fn process_page(&mut self, now: Millis, sent: Millis, page: &StorePage) -> FeedProgress {
        self.failures = 0;
        let known = self.end().unwrap_or_default();
        self.stage = FeedStage::Following { from: page.next.max(known) };
        let is_caught_up = page.next >= page.end;
        self.next = if is_caught_up { now + self.pause } else { now };
        if is_caught_up { FeedProgress::CaughtUp { sent } } else { FeedProgress::Behind }
    }

    fn restart(&mut self, now: Millis, first: Offset) -> FeedProgress {
        self.stage = if self.stream.is_keyed() {
            FeedStage::Newest { after: None, follow: None }
        } else {
            FeedStage::Following { from: first }
        };
        self.next = now;
        FeedProgress::Behind
    }

    fn back_off(&mut self, now: Millis, jitter: f64) -> FeedProgress {
        let doubled = Self::MIN_BACKOFF_MS << self.failures.min(3);
        let backoff = doubled.min(Self::MAX_BACKOFF_MS) as f64 * (0.5 + jitter / 2.0);
        self.failures += 1;
        self.next = now + Millis(backoff as u64);
        FeedProgress::Failed
    }
}
