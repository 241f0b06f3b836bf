use super::*;

/// What the operators say about servers of a pool that have just started: for a while they bear only
/// a few requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long a server stays cold after its start.
    pub duration: Millis,
    /// The requests per second that a cold server bears from all VMs together.
    pub rate: RequestsPerSecond,
}

impl ColdStart {
    /// The time over which the operators count requests, and the time for which a permit is valid,
    /// in seconds: requests within the one use the permits of both.
    const WINDOW_S: f64 = 1.5;
    /// What issuers issue together while the VMs are cut apart, as a multiple of the rate.
    const ALL_ISSUERS: f64 = 1.25;
    /// Requests in a window beyond the rate: a permit saved up at each of three issuers, and two of
    /// VMs that do not know yet.
    const RESERVE: f64 = 5.0;
    /// The least part of the permitted rate that is used.
    const MIN_PART: f64 = 0.25;

    /// The lowest rate at which permits are issued.
    const MIN_RATE: f64 = 0.1;

    /// Returns the rate at which permits are issued, such that no second has more requests than the
    /// operators allow.
    #[must_use]
    pub fn permit_rate(&self, bounds: &GatewayBounds) -> RequestsPerSecond {
        let allowed = self.rate.0 * bounds.cold_over + bounds.cold_slack;
        let per_second = Self::WINDOW_S * Self::ALL_ISSUERS;
        let with_reserve = (allowed - Self::RESERVE) / per_second;
        let least = allowed * Self::MIN_PART / per_second;
        RequestsPerSecond(with_reserve.max(least).min(self.rate.0).max(Self::MIN_RATE))
    }
}
