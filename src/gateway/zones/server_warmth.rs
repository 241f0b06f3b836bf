use super::*;

/// Whether a server is cold as far as this VM knows: it has started or been idle so recently that it
/// bears only a few requests.
///
/// A server that could not be reached may have restarted meanwhile, so it counts as cold from its
/// first answer on, until the longest warm-up is over.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerWarmth {
    /// The rate at which all VMs together may send to it while it is cold, and how long it is; none
    /// if its pool has no such bound.
    start: Option<(RequestsPerSecond, Millis)>,
    /// When it could not be reached; none once it has answered a later request.
    unreached: Option<Millis>,
    /// When the newest request was sent that it answered, at whichever VM, as far as known.
    answered: Option<Millis>,
    /// The latest end of its warm-up.
    until: Millis,
    is_cold: bool,
    /// Other VMs are told until this time that it is cold.
    told_until: Millis,
}

impl ServerWarmth {
    /// Inaccuracy of the age in another VM's report, which lacks the time on the network.
    const REPORT_SKEW_MS: u64 = 300;
    /// How long other VMs are told: several polls, some of which may be lost.
    const REPORT_TIME_MS: u64 = 1_500;
    /// The longest warm-up that a server may state, as a multiple of the operators' figure.
    const MAX_DURATIONS: u64 = 4;

    /// Sets the permitted rate and the usual duration of a warm-up.
    pub const fn set_start(&mut self, start: Option<(RequestsPerSecond, Millis)>) {
        self.start = start;
    }

    /// Returns the rate at which all VMs together may send; none if the server is not cold or has
    /// no such bound.
    #[must_use]
    pub fn rate(&self) -> Option<RequestsPerSecond> {
        self.start.filter(|_| self.is_cold).map(|(rate, _)| rate)
    }

    /// Records that it is cold for a time.
    pub fn set_cold(&mut self, now: Millis, left: Millis) {
        let Some((_, duration)) = self.start else { return };
        let left = left.min(Millis(duration.0 * Self::MAX_DURATIONS));
        self.until = self.until.max(now + left);
    }

    /// Records that it is cold for as long as a server can be that starts now.
    pub fn set_started(&mut self, now: Millis) {
        if let Some((_, duration)) = self.start {
            self.until = self.until.max(now + duration);
        }
    }

    /// Records what it states in an answer: its warm-up goes on for a time, of which other VMs are
    /// told.
    pub fn set_stated(&mut self, now: Millis, left: Millis) {
        let is_news = now + left > self.until + Millis(Self::REPORT_TIME_MS) || !self.is_cold;
        self.set_cold(now, left);
        if is_news {
            self.told_until = now + Millis(Self::REPORT_TIME_MS);
        }
    }

    /// Records that it could not be reached. Returns whether its pool has such a bound.
    pub const fn record_unreached(&mut self, now: Millis) -> bool {
        if self.start.is_some() {
            self.unreached = Some(now);
        }
        self.start.is_some()
    }

    /// Returns whether it could not be reached, so that its next answer matters.
    #[must_use]
    pub const fn is_unreached(&self) -> bool {
        self.unreached.is_some()
    }

    /// Records that it answered a request that was sent at `sent`.
    pub fn record_answer(&mut self, now: Millis, sent: Millis) {
        if self.start.is_none() {
            return;
        }
        self.answered = self.answered.max(Some(sent));
        if self.unreached.is_some_and(|unreached| sent > unreached) {
            self.unreached = None;
            self.set_started(now);
            self.told_until = now + Millis(Self::REPORT_TIME_MS);
        }
    }

    /// Applies another VM's report: how long it is cold, and how long ago the newest request was
    /// sent that it answered. Returns whether it can be reached again as far as this VM knows.
    pub fn apply_report(&mut self, now: Millis, left: Millis, answered: Option<Millis>) -> bool {
        self.set_cold(now, left);
        let Some(age) = answered.filter(|_| self.start.is_some()) else { return false };
        let answered = now.since(age + Millis(Self::REPORT_SKEW_MS));
        self.answered = self.answered.max(Some(answered));
        let is_back = self.unreached.is_some_and(|unreached| answered > unreached);
        if is_back {
            self.unreached = None;
        }
        is_back
    }

    /// Brings up to date whether it is cold. Returns whether that changed.
    pub fn advance(&mut self, now: Millis) -> bool {
        let is_cold = self.start.is_some() && now < self.until;
        std::mem::replace(&mut self.is_cold, is_cold) != is_cold
    }

    /// Returns how long it is cold.
    #[must_use]
    pub fn left(&self, now: Millis) -> Millis {
        self.until.since(now)
    }

    /// Returns how long ago the newest request was sent that it answered.
    #[must_use]
    pub fn answered_age(&self, now: Millis) -> Option<Millis> {
        self.answered.map(|answered| now.since(answered))
    }

    /// Returns whether other VMs may not know yet what it has stated.
    #[must_use]
    pub fn is_news(&self, now: Millis) -> bool {
        self.is_cold && now < self.told_until
    }
}
