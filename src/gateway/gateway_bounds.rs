use super::*;

/// The limits that the operators of a deployment have set.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewayBounds {
    /// The time after the removal of a key from which on no request with it may be accepted.
    pub key_removal_ms: Millis,
    /// The time after a server announces that it is leaving from which on it must get no new
    /// requests.
    pub drain_ms: Millis,
    /// The time from the shutdown signal until the process is killed.
    pub shutdown_ms: Millis,
    /// The permitted number of retries as a share of a pool's requests, over all entry VMs.
    pub resend_share: Share,
    /// The retries in a window that are permitted in addition to the share, over all entry VMs.
    pub resend_extra: u32,
    /// The sliding window over which retries are counted.
    pub resend_window_ms: Millis,
    /// The time after a session's last request at which the session ends, in seconds.
    pub session_s: f64,
    /// The largest share of a pool's requests that a version may get during its roll-out.
    pub exposure_share: Share,
    /// The longest backoff that a server may ask for.
    pub longest_backoff_ms: Millis,
    /// The time after an order to evacuate a data centre from which on its servers must get no
    /// requests.
    pub evacuate_ms: Millis,
    /// The requests that a cold server may get in any one second, as a multiple of the pool's rate.
    pub cold_over: f64,
    /// The requests in such a second that are permitted in addition, over all entry VMs.
    pub cold_slack: f64,
}

impl Default for GatewayBounds {
    /// Returns the limits of a deployment that sets none.
    fn default() -> Self {
        Self {
            key_removal_ms: Millis(5_000),
            drain_ms: Millis(2_000),
            shutdown_ms: Millis(8_000),
            resend_share: Share::new(0.2).unwrap_or(Share::ZERO),
            resend_extra: 10,
            resend_window_ms: Millis(10_000),
            session_s: 10.0,
            exposure_share: Share::new(0.1).unwrap_or(Share::ZERO),
            longest_backoff_ms: Millis(30_000),
            evacuate_ms: Millis(5_000),
            cold_over: 1.5,
            cold_slack: 5.0,
        }
    }
}
