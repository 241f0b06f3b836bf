use super::*;

/// The reason why a caller loses its answer before the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// Its server has waited for it for too long.
    ServerWaits,
    /// All bodies together need the memory that is held for it.
    Memory,
    /// It has taken nothing for too long.
    Idle,
}

impl LossCause {
    /// Returns the name in log lines and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ServerWaits => "server-waits",
            Self::Memory => "memory",
            Self::Idle => "idle",
        }
    }
}

impl Display for LossCause {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
