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
    /// It is not known what became of a publication.
    #[error("The outcome is unknown. {0}")]
    UnknownOutcome(SmolStr),
    /// Some entry VMs do not have a revision in force in time.
    #[error("Revision {revision} is accepted, but these entry VMs lag: {vms}.")]
    Lagging {
        /// The revision.
        revision: Revision,
        /// The VMs.
        vms: SmolStr,
    },
    /// An entry VM did not answer an operator's call.
    #[error("The entry VM at {address} gave no answer: {cause}.")]
    Operator {
        /// The address of its listener for operators.
        address: SocketAddr,
        /// The cause.
        cause: SmolStr,
    },
    /// A text is not an address.
    #[error("The address {0:?} cannot be read; write it as IP:PORT.")]
    Address(SmolStr),
    /// A text is not a name.
    #[error(transparent)]
    Name(IdError),
    /// The operators' secret cannot be used.
    #[error("The secret in {file} cannot be used: {cause}.")]
    Secret {
        /// The file.
        file: SmolStr,
        /// The cause.
        cause: SmolStr,
    },
    /// The operating system refused something.
    #[error("The system refused: {0}.")]
    System(#[from] std::io::Error),
}

impl CommandError {
    /// Returns the exit code: 2 for wrong input, 1 for failed work, 3 for work that may yet be done.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_)
            | Self::Document(_)
            | Self::Configuration { .. }
            | Self::Address(_)
            | Self::Name(_)
            | Self::Secret { .. } => 2,
            Self::UnknownOutcome(_) | Self::Lagging { .. } => 3,
            Self::Vm(_)
            | Self::Platform(_)
            | Self::Publication(_)
            | Self::NotReady(_)
            | Self::Operator { .. }
            | Self::System(_) => 1,
        }
    }
}
