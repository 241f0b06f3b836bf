use super::*;

/// One of the `claims-NN` streams, over which keys are partitioned by their hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimStream(u8);

impl ClaimStream {
    const STREAM_COUNT: u8 = 8;
    const PREFIX: &str = "claims-";

    /// Returns all streams, by number.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..Self::STREAM_COUNT).map(Self)
    }

    pub(super) const fn of_hash(hash: u128) -> Self {
        Self((hash % Self::STREAM_COUNT as u128) as u8)
    }

    /// Returns the claims stream with an id, or none if the id is not of a claims stream.
    #[must_use]
    pub fn of_id(id: &StreamId) -> Option<Self> {
        let number = id.as_str().strip_prefix(Self::PREFIX)?.parse().ok()?;
        (number < Self::STREAM_COUNT).then_some(Self(number))
    }

    /// Returns the id of the stream on the log.
    ///
    /// # Panics
    ///
    /// Never: the name is valid.
    #[must_use]
    pub fn id(self) -> StreamId {
        format!("{}{:02}", Self::PREFIX, self.0).parse().expect("the stream name is valid")
    }
}
