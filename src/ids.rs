//! Typed identifiers.
//!
//! Names that an operator chooses are text identifiers; identifiers that a process assigns are
//! numbers.

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
    /// The name of a team, the unit of access rights, limits and billing.
    TeamId
);
text_id!(
    /// The name of a subscriber within a team.
    SubscriberId
);
text_id!(
    /// The name of a model, without its version.
    ModelId
);
text_id!(
    /// The name of a plain service, which is not a language model.
    ServiceId
);
text_id!(
    /// The name of a pool of backend servers that serve the same models or service.
    PoolId
);
text_id!(
    /// The name of a backend server.
    ServerId
);
text_id!(
    /// The name of an entry VM on the membership list.
    VmId
);
text_id!(
    /// The name of a data centre.
    DataCentreId
);
text_id!(
    /// The name of a preset of the configuration.
    PresetId
);
text_id!(
    /// The name of a stream of the platform's log.
    StreamId
);

number_id!(
    /// One run of an entry VM process; a replacement VM of the same name has a higher incarnation.
    Incarnation
);
number_id!(
    /// The position of a record in a stream of the platform's log.
    Offset
);
number_id!(
    /// The revision number of the configuration.
    Revision
);
number_id!(
    /// One attempt of a request on one backend server, unique within the request.
    AttemptId
);
number_id!(
    /// The sequence number of a request within one incarnation of an entry VM.
    RequestNumber
);
number_id!(
    /// A pending call of an operator or a peer.
    CallId
);
number_id!(
    /// A pending append to the platform's log.
    AppendId
);
number_id!(
    /// The fencing token of an order to an engine; engines may reject orders with a lower one.
    Fence
);
number_id!(
    /// A pending order to an engine.
    OrderId
);

number_id!(
    /// One attempt to claim a key, unique within an incarnation of the claiming VM.
    ClaimAttempt
);
number_id!(
    /// The sequence number of a ticket within one incarnation of an entry VM.
    TicketNumber
);

/// A version of a model, written `model@version`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct VersionId {
    /// The model to which the version belongs.
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

/// Identifies a request across all entry VMs, written `vm.incarnation.number`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId {
    /// The entry VM that received the request.
    pub vm: VmId,
    /// The incarnation of that VM when it received the request.
    pub incarnation: Incarnation,
    /// The sequence number of the request within that incarnation.
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
        let invalid = || IdError::Request { text: text.into() };
        let (rest, number) = text.rsplit_once('.').ok_or_else(invalid)?;
        let (vm, incarnation) = rest.rsplit_once('.').ok_or_else(invalid)?;
        Ok(Self {
            vm: vm.parse()?,
            incarnation: incarnation.parse()?,
            number: number.parse().map_err(|_| invalid())?,
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

/// The reason why a text is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The name is empty or longer than 64 bytes.
    #[error("The name {text:?} must have 1 to 64 characters.")]
    Length {
        /// The text that could not be parsed.
        text: SmolStr,
    },
    /// The name contains a character that is not allowed.
    #[error("The name {text:?} may only have letters, digits, '-', '_', '.' and ':'.")]
    Character {
        /// The text that could not be parsed.
        text: SmolStr,
    },
    /// The text is not an unsigned whole number.
    #[error("The identifier {text:?} must be a whole number.")]
    Number {
        /// The text that could not be parsed.
        text: SmolStr,
    },
    /// The text does not have the form `model@version`.
    #[error("The version {text:?} must be written model@version.")]
    Version {
        /// The text that could not be parsed.
        text: SmolStr,
    },
    /// The text does not have the form `vm.incarnation.number`.
    #[error("The request id {text:?} must be written vm.incarnation.number.")]
    Request {
        /// The text that could not be parsed.
        text: SmolStr,
    },
}
