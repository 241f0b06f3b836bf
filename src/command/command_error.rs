use super::*;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A document cannot be read.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// A configuration is not acceptable.
    #[error("{file}: {cause}")]
    Configuration {
        /// The file.
        file: SmolStr,
        /// The cause.
        cause: ConfigurationError,
    },
    /// The entry VM cannot start.
    #[error(transparent)]
    Vm(#[from] VmError),
    /// A publication was not accepted.
    #[error("The configuration was not accepted: {0}.")]
    Publication(SmolStr),
    /// The entry VMs are not ready in time.
    #[error("The entry VMs are not ready after {0}.")]
    NotReady(Millis),
    /// The platform cannot be read.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The operating system refused something.
    #[error("The system refused: {0}.")]
    System(#[from] std::io::Error),
}

impl CommandError {
    /// Returns the exit code: 2 for wrong input, 1 for failed work.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) | Self::Document(_) | Self::Configuration { .. } => 2,
            Self::Vm(_)
            | Self::Platform(_)
            | Self::Publication(_)
            | Self::NotReady(_)
            | Self::System(_) => 1,
        }
    }
}
