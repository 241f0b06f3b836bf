use super::*;

/// The last order that was sent to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderProgress {
    /// The order.
    pub id: OrderId,
    /// The versions that it asks for.
    pub versions: BTreeSet<VersionId>,
    /// When these versions were first asked for.
    pub asked: Millis,
    /// When it was last sent.
    pub sent: Millis,
    /// What became of it.
    pub state: OrderState,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderState {
    /// Its answer is awaited.
    Sent,
    /// The engine confirmed it.
    Accepted,
    /// It was refused, or its answer was lost; it is to be sent again.
    Unconfirmed {
        /// When it may be sent again.
        again: Millis,
    },
}

impl OrderProgress {
    /// The time for which a load report may lag behind what it reports.
    pub const REPORT_LAG_MS: u64 = 5_000;
    /// The time without an answer after which an order is sent again.
    const ANSWER_MS: u64 = 15_000;
    /// The time after which a confirmed order whose effect is not seen is sent again.
    const EFFECT_MS: u64 = 30_000;

    /// Returns whether the order is to be sent again, given what the server has loaded.
    #[must_use]
    pub fn is_due(&self, now: Millis, loaded: &BTreeSet<VersionId>) -> bool {
        let age = now.since(self.sent).0;
        match self.state {
            OrderState::Sent => age >= Self::ANSWER_MS,
            OrderState::Accepted => *loaded != self.versions && age >= Self::EFFECT_MS,
            OrderState::Unconfirmed { again } => now >= again,
        }
    }

    /// Returns whether a report that was read now shows the effect of the order.
    ///
    /// An order whose answers are lost counts as done once a report must be younger than it.
    #[must_use]
    pub fn is_done(&self, now: Millis, loaded: &BTreeSet<VersionId>) -> bool {
        let reported = now.since(self.asked).0 >= Self::REPORT_LAG_MS;
        *loaded == self.versions && (self.state == OrderState::Accepted || reported)
    }
}
