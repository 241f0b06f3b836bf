use super::*;

/// One of the `claims-NN` streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimStream(u8);

impl ClaimStream {
    const COUNT: u8 = 8;
    const PREFIX: &str = "claims-";

    /// Returns all streams.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..Self::COUNT).map(Self)
    }

    pub(super) const fn of_hash(hash: u128) -> Self {
        Self((hash % Self::COUNT as u128) as u8)
    }

    /// Returns the stream of a name, if it is one of these.
    #[must_use]
    pub fn of_id(id: &StreamId) -> Option<Self> {
        let number = id.as_str().strip_prefix(Self::PREFIX)?.parse().ok()?;
        (number < Self::COUNT).then_some(Self(number))
    }

    /// Returns the name of the stream.
    ///
    /// # Panics
    ///
    /// Never: the name is valid.
    #[must_use]
    pub fn id(self) -> StreamId {
        format!("{}{:02}", Self::PREFIX, self.0).parse().expect("the stream name is valid")
    }
}
