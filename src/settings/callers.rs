use super::*;

/// The listener for callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The threads that carry traffic.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// The largest body of a request.
    #[serde(default = "default_body_limit")]
    pub body_limit_bytes: ByteSize,
    /// The largest answer that is not streamed.
    #[serde(default = "default_answer_limit")]
    pub answer_limit_bytes: ByteSize,
    /// The longest time for a caller to send its body.
    #[serde(default = "default_body_timeout")]
    pub body_timeout_ms: Millis,
}

const fn default_threads() -> usize {
    2
}

const fn default_body_limit() -> ByteSize {
    ByteSize(4 << 20)
}

const fn default_answer_limit() -> ByteSize {
    ByteSize(16 << 20)
}

const fn default_body_timeout() -> Millis {
    Millis(10_000)
}

impl CallerSettings {
    /// Returns the defaults at an address.
    #[must_use]
    pub const fn at(listen: SocketAddr) -> Self {
        Self {
            listen,
            threads: default_threads(),
            body_limit_bytes: default_body_limit(),
            answer_limit_bytes: default_answer_limit(),
            body_timeout_ms: default_body_timeout(),
        }
    }
}
