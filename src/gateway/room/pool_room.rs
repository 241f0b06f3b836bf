use super::*;

/// The room that a pool has for a request, as forecast.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolRoom {
    /// The requests at the pool's servers, those of other VMs included, per place of theirs.
    pub taken: f64,
    /// The time to the first event, or to the answer of a plain service, at the best server.
    pub expected: Millis,
    /// The time left until the request's objective.
    pub objective_left: Millis,
    /// The time left until its deadline.
    pub time_left: Millis,
    /// How long it has waited at this VM.
    pub waited: Millis,
}

/// What is done with a request that a server could get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomDecision {
    /// It is sent.
    Send,
    /// It waits at this VM, where the decision can be revised.
    Wait(Millis),
    /// It is refused, as it can meet neither its objective nor its deadline.
    Refuse,
}

impl PoolRoom {
    /// The share of the places below which a pool has room, whatever the forecast says.
    const FREE_SHARE: f64 = 0.5;
    /// A forecast must exceed the deadline by this factor for a refusal: forecasts of loaded engines
    /// were twice as long as the answers took.
    const FORECAST_MARGIN: u64 = 2;
    /// The share of the time until the deadline that a request may wait.
    const WAIT_SHARE: u64 = 4;
    /// The range of one wait.
    const WAIT_MS: (f64, f64) = (20.0, 250.0);

    /// Decides on a request. `draw`, from 0 to 1, spreads the decisions of VMs that see the same
    /// loads, so that they do not all hold back or all send.
    #[must_use]
    pub fn decide(&self, bid: Bid, draw: f64) -> RoomDecision {
        if self.taken < Self::FREE_SHARE || self.expected <= self.objective_left {
            return RoomDecision::Send;
        }
        if self.expected.0 > self.time_left.0 * Self::FORECAST_MARGIN {
            return RoomDecision::Refuse;
        }
        let spread = 0.75 + draw / 2.0;
        let excess_ms = self.expected.since(self.objective_left).0 as f64;
        let shortage = excess_ms / self.expected.0.max(1) as f64;
        let pause = (excess_ms / 2.0).clamp(Self::WAIT_MS.0, Self::WAIT_MS.1) * spread;
        let pause = Millis(pause as u64);
        let may_wait = (self.waited.0 + pause.0) * Self::WAIT_SHARE <= self.time_left.0;
        if bid.value() >= Bid::lowest_sent((shortage * spread).min(1.0)) || !may_wait {
            return RoomDecision::Send;
        }
        RoomDecision::Wait(pause)
    }
}
