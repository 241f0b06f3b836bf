//! Following one stream of the store.

use super::*;

/// A read of the store that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedRead {
    /// The newest record of each key, going on after a key.
    Newest {
        /// The stream.
        stream: StoreStream,
        /// The key to go on after.
        after: Option<SmolStr>,
    },
    /// The records from an offset on.
    From {
        /// The stream.
        stream: StoreStream,
        /// The first offset.
        from: Offset,
        /// How long the store may wait for a record.
        wait: Millis,
    },
}

/// What a read of the store returned.
#[derive(Clone, Debug)]
pub enum FeedAnswer {
    /// The newest records.
    Newest(Result<NewestPage, StoreError>),
    /// Records from an offset on.
    From(Result<StorePage, StoreError>),
}

/// How far an answer has brought a feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedStep {
    /// All records that the stream had when the read was sent are known.
    Caught {
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
    /// Reads the newest record of each key; changes since the first page are read after that.
    Newest { after: Option<SmolStr>, follow: Option<(Offset, Millis)> },
    /// Follows the stream.
    Following { from: Offset },
}

/// Follows a stream: first the newest record of each key, then each record in order. Starts again
/// when the records it has to read next are no longer kept.
#[derive(Clone, Debug)]
pub struct StoreFeed {
    stream: StoreStream,
    stage: FeedStage,
    /// How long the store may wait for a record; zero for a stream that is polled.
    wait: Millis,
    /// The time between polls.
    pause: Millis,
    sent: Option<Millis>,
    /// How long the store may wait with the answer to the read under way.
    sent_wait: Millis,
    /// Whether the next read is to be answered at once: that the store is there has to be learned.
    is_pressing: bool,
    next: Millis,
    failures: u32,
    is_paused: bool,
}

impl StoreFeed {
    /// How much longer than the wait that it asked for a read may take before its answer counts as
    /// late: a store that is 60 times as slow as usual answers in a quarter of a second.
    const OVERDUE_MS: u64 = 400;
    /// The pause after the first failure; doubles with each further one.
    const FIRST_BACKOFF_MS: u64 = 100;
    /// The longest pause after a failure; half of the shortest bound (2 s) that depends on a feed.
    const LAST_BACKOFF_MS: u64 = 800;

    /// Returns a feed that starts at once.
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
            is_pressing: false,
            next: Millis(0),
            failures: 0,
            is_paused: false,
        }
    }

    /// Returns the time of the next read; none while one is under way.
    #[must_use]
    pub const fn next(&self) -> Option<Millis> {
        if self.sent.is_some() || self.is_paused { None } else { Some(self.next) }
    }

    /// Returns whether a read is under way.
    #[must_use]
    pub const fn is_reading(&self) -> bool {
        self.sent.is_some()
    }

    /// Returns whether the answer to the read under way is late.
    #[must_use]
    pub fn is_overdue(&self, now: Millis) -> bool {
        let due = self.sent.map(|sent| sent + self.sent_wait + Millis(Self::OVERDUE_MS));
        due.is_some_and(|due| now > due)
    }

    /// Returns whether the newest records of all keys have been read once.
    #[must_use]
    pub const fn is_following(&self) -> bool {
        matches!(self.stage, FeedStage::Following { .. })
    }

    /// Returns where the known part of the stream ends.
    #[must_use]
    pub const fn end(&self) -> Option<Offset> {
        match self.stage {
            FeedStage::Following { from } => Some(from),
            FeedStage::Newest { .. } => None,
        }
    }

    /// Returns the failures since the last answer.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Takes the stream to be served again, since another one is.
    pub const fn forget_failures(&mut self) {
        self.failures = 0;
    }

    /// Reads again as soon as possible.
    pub fn hurry(&mut self, now: Millis) {
        self.next = self.next.min(now);
    }

    /// Notes that all records up to an offset are known from elsewhere.
    pub fn skip_to(&mut self, end: Offset) {
        match &mut self.stage {
            FeedStage::Following { from } if from.0 >= end.0 => {}
            stage => *stage = FeedStage::Following { from: end },
        }
    }

    /// Reads no more.
    pub const fn pause(&mut self) {
        self.is_paused = true;
    }

    /// Reads again, at once if it has rested.
    pub fn resume(&mut self, now: Millis) {
        if self.is_paused {
            self.is_paused = false;
            self.is_pressing = true;
            self.next = now;
        }
    }

    /// Returns the read that is due, if any, and notes that it is sent.
    pub fn read(&mut self, now: Millis) -> Option<FeedRead> {
        if self.sent.is_some() || self.is_paused || now < self.next {
            return None;
        }
        self.sent = Some(now);
        let stream = self.stream;
        let is_pressing = std::mem::take(&mut self.is_pressing) || self.failures > 0;
        let wait = if is_pressing || !self.is_following() { Millis(0) } else { self.wait };
        self.sent_wait = wait;
        Some(match &self.stage {
            FeedStage::Newest { after, .. } => FeedRead::Newest { stream, after: after.clone() },
            FeedStage::Following { from } => FeedRead::From { stream, from: *from, wait },
        })
    }

    /// Takes in the answer to the read under way; `jitter` lies between 0 and 1.
    pub fn answered(&mut self, now: Millis, jitter: f64, answer: &FeedAnswer) -> FeedStep {
        let sent = self.sent.take().unwrap_or(now);
        match answer {
            FeedAnswer::Newest(Ok(page)) => self.take_newest(now, sent, page),
            FeedAnswer::From(Ok(page)) => self.take_page(now, sent, page),
            FeedAnswer::From(Err(StoreError::Trimmed { first })) => self.start_again(now, *first),
            FeedAnswer::Newest(Err(_)) | FeedAnswer::From(Err(_)) => self.fail(now, jitter),
        }
    }

    fn take_newest(&mut self, now: Millis, sent: Millis, page: &NewestPage) -> FeedStep {
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
            return FeedStep::Behind;
        }
        self.stage = FeedStage::Following { from };
        if self.wait == Millis(0) {
            self.next = now + self.pause;
        }
        FeedStep::Caught { sent: first_sent }
    }

    fn take_page(&mut self, now: Millis, sent: Millis, page: &StorePage) -> FeedStep {
        self.failures = 0;
        let known = self.end().unwrap_or_default();
        self.stage = FeedStage::Following { from: page.next.max(known) };
        let is_caught = page.next >= page.end;
        self.next = if is_caught { now + self.pause } else { now };
        if is_caught { FeedStep::Caught { sent } } else { FeedStep::Behind }
    }

    fn start_again(&mut self, now: Millis, first: Offset) -> FeedStep {
        self.stage = if self.stream.is_keyed() {
            FeedStage::Newest { after: None, follow: None }
        } else {
            FeedStage::Following { from: first }
        };
        self.next = now;
        FeedStep::Behind
    }

    fn fail(&mut self, now: Millis, jitter: f64) -> FeedStep {
        let doubled = Self::FIRST_BACKOFF_MS << self.failures.min(3);
        let backoff = doubled.min(Self::LAST_BACKOFF_MS) as f64 * (0.5 + jitter / 2.0);
        self.failures += 1;
        self.next = now + Millis(backoff as u64);
        FeedStep::Failed
    }
}
