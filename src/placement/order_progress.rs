use super::*;

/// The last order that was sent to a server, until its effect is seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderProgress {
    /// The id of the order.
    pub id: OrderId,
    /// The versions that the order asks for.
    pub versions: BTreeSet<VersionId>,
    /// When these versions were first asked for.
    pub asked: Millis,
    /// When the order was last sent.
    pub sent: Millis,
    /// Whether the order was confirmed.
    pub state: OrderState,
}

/// Whether an order was confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderState {
    /// The order was sent and its answer is awaited.
    Sent,
    /// The engine confirmed the order.
    Accepted,
    /// The order was refused, or its answer was lost; it is to be sent again.
    Unconfirmed {
        /// When the order may be sent again.
        again: Millis,
    },
}

impl OrderProgress {
    /// The maximum time by which a load report may lag behind the state of the server.
    pub const REPORT_LAG_MS: u64 = 5_000;
    /// The time without an answer after which an order is sent again.
    const ANSWER_MS: u64 = 15_000;
    /// The time after which a confirmed order whose effect is not seen is sent again.
    const EFFECT_MS: u64 = 30_000;

    /// Returns whether the order is to be sent again, given the versions that the server reports as
    /// loaded.
    #[must_use]
    pub fn is_due(&self, now: Millis, loaded: &BTreeSet<VersionId>) -> bool {
        let age = now.since(self.sent).0;
        match self.state {
            OrderState::Sent => age >= Self::ANSWER_MS,
            OrderState::Accepted => *loaded != self.versions && age >= Self::EFFECT_MS,
            OrderState::Unconfirmed { again } => now >= again,
        }
    }

    /// Returns whether the load report that was just read shows the effect of the order.
    ///
    /// If the order is not confirmed, the report counts only once it must be more recent than the
    /// order.
    #[must_use]
    pub fn is_done(&self, now: Millis, loaded: &BTreeSet<VersionId>) -> bool {
        let reported = now.since(self.asked).0 >= Self::REPORT_LAG_MS;
        *loaded == self.versions && (self.state == OrderState::Accepted || reported)
    }
}
