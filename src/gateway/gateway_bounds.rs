use super::*;

/// The bounds that the operators of a deployment have set.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GatewayBounds {
    /// The time after which no request with a key that was taken away may run.
    pub key_removal_ms: Millis,
    /// The time after which a leaving server may get no new work.
    pub drain_ms: Millis,
    /// The time from the order to end until the process is killed.
    pub shutdown_ms: Millis,
    /// The share of second sends among the requests of a pool, over all entry VMs.
    pub resend_share: Share,
    /// The second sends in a window that need no requests, over all entry VMs.
    pub resend_extra: u32,
    /// The window over which second sends are counted.
    pub resend_window_ms: Millis,
    /// The time within which requests with the same session belong together, in seconds.
    pub session_s: f64,
    /// The share of a pool's requests that a version may get while it is brought in.
    pub exposure_share: Share,
    /// The longest time for which a server may ask to get nothing.
    pub longest_backoff_ms: Millis,
}

impl Default for GatewayBounds {
    /// Returns the bounds of a deployment that names none.
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
        }
    }
}
