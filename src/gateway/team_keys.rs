//! The API keys of the teams that a configuration names.
//!
//! A configuration that names no teams opens its routes to everybody. One that names teams does
//! not, also if no team has a key left.

use super::*;
use serde::{
    Deserializer, Serializer,
    de::{Error, MapAccess, SeqAccess, Visitor, value::MapAccessDeserializer},
};

/// Which callers a configuration admits to the routes that are not keyless.
///
/// Serialized as nil ([`Self::Open`]), as a map of holders by key, or as an empty list if there are
/// no keys. Earlier builds send an empty map for two of these; it is rejected, so that the receiver
/// reads the store instead.
#[derive(Clone, Debug, PartialEq)]
pub enum TeamKeys {
    /// The configuration names no teams: everybody.
    Open,
    /// The configuration names teams: the holders of these keys.
    Named(BTreeMap<SmolStr, KeyHolder>),
}

/// The holder of an API key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHolder {
    /// The team.
    pub team: TeamId,
    /// The rank of the team's requests, which overrides that of the route; 0 is the most urgent.
    pub rank: Option<u8>,
}

impl TeamKeys {
    /// Returns the number of keys; none if no key is needed.
    #[must_use]
    pub fn count(&self) -> Option<usize> {
        match self {
            Self::Open => None,
            Self::Named(keys) => Some(keys.len()),
        }
    }
}

impl Default for TeamKeys {
    /// Returns keys that admit nobody.
    fn default() -> Self {
        Self::Named(BTreeMap::new())
    }
}

impl Serialize for TeamKeys {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Open => serializer.serialize_unit(),
            Self::Named(keys) if keys.is_empty() => serializer.collect_seq([(); 0]),
            Self::Named(keys) => keys.serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for TeamKeys {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TeamKeysVisitor)
    }
}

struct TeamKeysVisitor;

impl<'de> Visitor<'de> for TeamKeysVisitor {
    type Value = TeamKeys;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("nil, an empty list, or a map of key holders that is not empty")
    }

    fn visit_unit<E: Error>(self) -> Result<TeamKeys, E> {
        Ok(TeamKeys::Open)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<TeamKeys, A::Error> {
        match list.next_element::<serde::de::IgnoredAny>()? {
            None => Ok(TeamKeys::Named(BTreeMap::new())),
            Some(_) => Err(A::Error::custom("the list of keys is not empty; send a map instead")),
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<TeamKeys, A::Error> {
        let keys = BTreeMap::deserialize(MapAccessDeserializer::new(map))?;
        if keys.is_empty() {
            let message =
                "an empty map of keys does not tell whether the configuration names teams";
            return Err(A::Error::custom(message));
        }
        Ok(TeamKeys::Named(keys))
    }
}
