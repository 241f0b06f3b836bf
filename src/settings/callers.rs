use super::*;

/// The settings of the listener for callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The number of threads that handle callers' connections, from 1 to 256; 2 if absent.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// The maximum size of a request body; 4 MiB if absent.
    #[serde(default = "default_body_limit")]
    pub body_limit_bytes: ByteSize,
    /// The maximum size of an answer that is not streamed; 16 MiB if absent.
    #[serde(default = "default_answer_limit")]
    pub answer_limit_bytes: ByteSize,
    /// The time limit for receiving a request body; 10 s if absent.
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
    /// Returns the default settings with this address.
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
