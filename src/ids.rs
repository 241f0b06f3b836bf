//! Identifiers of the things that guavapass routes for and to.
//!
//! Names that an operator writes are text identifiers; those that a process hands out are numbers.

use super::*;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
        #[serde(transparent)]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_name(text)?;
                Ok(Self(SmolStr::new(text)))
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = SmolStr::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl Display for $name {
            fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                text.parse().map(Self).map_err(|_| IdError::Number { text: text.into() })
            }
        }
    };
}

text_id!(
    /// A team that buys access.
    TeamId
);
text_id!(
    /// A subscriber inside a team.
    SubscriberId
);
text_id!(
    /// A model, without its version.
    ModelId
);
text_id!(
    /// A plain service beside the model engines.
    ServiceId
);
text_id!(
    /// A pool of backend servers that serve the same models or service.
    PoolId
);
text_id!(
    /// A backend server.
    ServerId
);
text_id!(
    /// An entry VM.
    VmId
);
text_id!(
    /// A data centre.
    DataCentreId
);
text_id!(
    /// A preset of the configuration.
    PresetId
);
text_id!(
    /// A stream of the platform's log.
    StreamId
);

number_id!(
    /// One start of an entry VM process; a replaced VM has a higher one.
    Incarnation
);
number_id!(
    /// The position of a record in a stream of the platform's log.
    Offset
);
number_id!(
    /// The revision of the configuration.
    Revision
);
number_id!(
    /// One try of a request at one backend server, unique within its request.
    AttemptId
);
number_id!(
    /// The count of a request within one incarnation of an entry VM.
    RequestNumber
);
number_id!(
    /// A call of an operator or a peer that waits for its answer.
    CallId
);
number_id!(
    /// An append to the platform's log that waits for its answer.
    AppendId
);
number_id!(
    /// The fencing number of an order to an engine.
    Fence
);
number_id!(
    /// An order to an engine that waits for its answer.
    OrderId
);

number_id!(
    /// One claim of a key, unique within an incarnation of its claimant.
    ClaimAttempt
);
number_id!(
    /// The count of a ticket within one incarnation of an entry VM.
    TicketNumber
);

/// A version of a model, written `model@version`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct VersionId {
    /// The model.
    pub model: ModelId,
    /// The name of the version within its model.
    pub version: SmolStr,
}

impl Display for VersionId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.model, self.version)
    }
}

impl FromStr for VersionId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let (model, version) =
            text.split_once('@').ok_or_else(|| IdError::Version { text: text.into() })?;
        check_name(version)?;
        Ok(Self { model: model.parse()?, version: SmolStr::new(version) })
    }
}

impl Serialize for VersionId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for VersionId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = SmolStr::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// A request, unique over all entry VMs: `vm.incarnation.number`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    /// The entry VM that received it.
    pub vm: VmId,
    /// The incarnation of that VM.
    pub incarnation: Incarnation,
    /// The count of requests in that incarnation.
    pub number: RequestNumber,
}

impl Display for RequestId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}", self.vm, self.incarnation, self.number)
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let wrong = || IdError::Request { text: text.into() };
        let (rest, number) = text.rsplit_once('.').ok_or_else(wrong)?;
        let (vm, incarnation) = rest.rsplit_once('.').ok_or_else(wrong)?;
        Ok(Self {
            vm: vm.parse()?,
            incarnation: incarnation.parse()?,
            number: number.parse().map_err(|_| wrong())?,
        })
    }
}

impl Serialize for RequestId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = SmolStr::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

const MAX_NAME_LENGTH: usize = 64;

fn check_name(text: &str) -> Result<(), IdError> {
    if text.is_empty() || text.len() > MAX_NAME_LENGTH {
        return Err(IdError::Length { text: text.into() });
    }
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if text.bytes().all(allowed) { Ok(()) } else { Err(IdError::Character { text: text.into() }) }
}

/// Why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The name is empty or too long.
    #[error("The name {text:?} must have 1 to 64 characters.")]
    Length {
        /// The text that was read.
        text: SmolStr,
    },
    /// The name has a character that is not allowed.
    #[error("The name {text:?} may only have letters, digits, '-', '_', '.' and ':'.")]
    Character {
        /// The text that was read.
        text: SmolStr,
    },
    /// The text is not a number.
    #[error("The identifier {text:?} must be a whole number.")]
    Number {
        /// The text that was read.
        text: SmolStr,
    },
    /// The text is not `model@version`.
    #[error("The version {text:?} must be written model@version.")]
    Version {
        /// The text that was read.
        text: SmolStr,
    },
    /// The text is not a request id.
    #[error("The request id {text:?} must be written vm.incarnation.number.")]
    Request {
        /// The text that was read.
        text: SmolStr,
    },
}
