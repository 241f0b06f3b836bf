use super::*;

/// How long prompts wait for the engines of a pool, as a multiple of the shortest objective of its
/// routes.
///
/// It is the mean time to process what all VMs have sent to each server and is not processed yet.
/// Loads are exchanged several times a second, so that all VMs see a crest, and its end, within
/// that time, also those that have sent no prompt to a large model for a while.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct PoolPressure(f64);

impl PoolPressure {
    /// Returns the pressure on servers with these backlogs, in milliseconds.
    #[must_use]
    pub fn of(backlogs: impl Iterator<Item = f64>, objective: Millis) -> Self {
        let (servers, sum) =
            backlogs.fold((0_u32, 0.0), |(servers, sum), backlog| (servers + 1, sum + backlog));
        Self(sum / f64::from(servers.max(1)) / objective.0.max(1) as f64)
    }

    /// Returns the multiple of the objective.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}
