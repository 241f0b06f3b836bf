use super::*;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The settings file cannot be read or is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A document cannot be read or parsed.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// A configuration document fails validation.
    #[error("{file}: {cause}")]
    Configuration {
        /// The path of the document.
        file: SmolStr,
        /// The first rule that the document violates.
        cause: ConfigurationError,
    },
    /// The entry VM cannot start.
    #[error(transparent)]
    Vm(#[from] VmError),
    /// A publication was rejected, with the reason.
    #[error("The configuration was not accepted: {0}.")]
    Publication(SmolStr),
    /// The entry VMs of the demo are not ready within the given time.
    #[error("The entry VMs are not ready after {0}.")]
    NotReady(Millis),
    /// A read from the platform failed.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// A publication may or may not have been accepted.
    #[error("The outcome is unknown. {0}")]
    UnknownOutcome(SmolStr),
    /// An accepted revision is not in force at some entry VMs within the waiting time.
    #[error("Revision {revision} is accepted, but these entry VMs lag: {vms}.")]
    Lagging {
        /// The accepted revision.
        revision: Revision,
        /// The VMs without the revision, separated by commas.
        vms: SmolStr,
    },
    /// An entry VM did not answer an operator's call, or answered with an error.
    #[error("The entry VM at {address} gave no answer: {cause}.")]
    Operator {
        /// The address of its listener for operators.
        address: SocketAddr,
        /// What went wrong, as a clause for the message.
        cause: SmolStr,
    },
    /// An argument is not a valid `IP:PORT`.
    #[error("The address {0:?} cannot be read; write it as IP:PORT.")]
    Address(SmolStr),
    /// An argument is not a valid identifier.
    #[error(transparent)]
    Name(IdError),
    /// The operators' secret cannot be used.
    #[error("The secret in {file} cannot be used: {cause}.")]
    Secret {
        /// The path of the secret file.
        file: SmolStr,
        /// What is wrong with the file, as a clause for the message.
        cause: SmolStr,
    },
    /// A system call failed.
    #[error("The system refused: {0}.")]
    System(#[from] std::io::Error),
}

impl CommandError {
    /// Returns the exit code: 1 if the command failed, 2 for invalid input, 3 if a publication has
    /// an unknown outcome or is not in force everywhere yet.
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
