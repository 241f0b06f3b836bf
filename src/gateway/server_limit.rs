use super::*;

/// The request limit of a backend server, as far as this VM knows.
///
/// Answers on different connections may overtake each other. A limit is therefore raised or lifted
/// only by the answer to a request that was sent after the newest answer with the current limit had
/// arrived. A lower limit takes effect at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLimit {
    /// The requests per second that the server accepts from all VMs together; none if it has no
    /// limit.
    rate: Option<RequestsPerSecond>,
    /// When the newest answer with this statement arrived, at whichever VM; none if no answer said
    /// anything.
    stated: Option<Millis>,
    /// When this VM learned of the last change; none if there was no change.
    changed: Option<Millis>,
}

impl ServerLimit {
    /// The lowest rate at which requests are sent. A limit of zero would otherwise never end, as no
    /// answer could lift it.
    const MIN_RATE: RequestsPerSecond = RequestsPerSecond(0.1);
    /// Inaccuracy of the age in another VM's report, which lacks the time on the network.
    const REPORT_SKEW_MS: u64 = 300;
    /// How long a change is reported to other VMs: several polls, some of which may be lost.
    const REPORT_TIME_MS: u64 = 1_500;

    /// Returns the rate at which all VMs together may send; none if the server has no limit.
    #[must_use]
    pub const fn rate(&self) -> Option<RequestsPerSecond> {
        self.rate
    }

    /// Applies what the server says in the answer to a request that was sent at `sent`. Returns
    /// whether the limit changed.
    pub fn apply_statement(
        &mut self,
        now: Millis,
        sent: Millis,
        statement: LimitStatement,
    ) -> bool {
        let rate = match statement {
            LimitStatement::Unreadable => return false,
            LimitStatement::Absent => None,
            LimitStatement::Named(rate) => Some(rate),
        };
        let rate = rate.map(|rate| if rate < Self::MIN_RATE { Self::MIN_RATE } else { rate });
        let is_newer = self.stated.is_none_or(|stated| sent > stated);
        if is_newer || !Self::is_laxer(rate, self.rate) { self.set(now, now, rate) } else { false }
    }

    /// Applies another VM's report, whose statement is as old as `age`. Returns whether the limit
    /// changed.
    pub fn apply_report(
        &mut self,
        now: Millis,
        rate: Option<RequestsPerSecond>,
        age: Millis,
    ) -> bool {
        if rate.is_some_and(|rate| !(Self::MIN_RATE.0..f64::INFINITY).contains(&rate.0)) {
            return false;
        }
        let stated = now.since(age);
        let is_laxer = Self::is_laxer(rate, self.rate);
        let skew = if is_laxer { Millis(Self::REPORT_SKEW_MS) } else { Millis(0) };
        let is_newer = self.stated.is_none_or(|known| stated.since(skew) > known);
        if is_newer { self.set(now, stated, rate) } else { false }
    }

    /// Returns the age of the statement.
    #[must_use]
    pub fn age(&self, now: Millis) -> Millis {
        self.stated.map(|stated| now.since(stated)).unwrap_or_default()
    }

    /// Returns whether the limit changed so recently that other VMs may not know it yet.
    #[must_use]
    pub fn is_news(&self, now: Millis) -> bool {
        self.changed.is_some_and(|changed| now.since(changed).0 < Self::REPORT_TIME_MS)
    }

    fn set(&mut self, now: Millis, stated: Millis, rate: Option<RequestsPerSecond>) -> bool {
        self.stated = Some(stated);
        if self.rate == rate {
            return false;
        }
        self.rate = rate;
        self.changed = Some(now);
        true
    }

    fn is_laxer(rate: Option<RequestsPerSecond>, than: Option<RequestsPerSecond>) -> bool {
        match (rate, than) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(rate), Some(than)) => rate > than,
        }
    }
}
