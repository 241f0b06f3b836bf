use super::*;
use sha2::Digest;

/// The value of the `Idempotency-Key` header of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdempotencyKey {
    /// A ticket that an entry VM issued.
    Ticket(Ticket),
    /// A UUID of version 7 that the caller generated.
    Own(uuid::Uuid),
}

impl FromStr for IdempotencyKey {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        if text.starts_with(Ticket::PREFIX) {
            return text.parse().map(Self::Ticket);
        }
        let invalid = || TicketError::Key { text: text.into() };
        let uuid = uuid::Uuid::parse_str(text).map_err(|_| invalid())?;
        if uuid.get_version_num() == 7 { Ok(Self::Own(uuid)) } else { Err(invalid()) }
    }
}

/// A key that a caller of a team generated. Keys are ordered by the time at which they were
/// generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The time in the UUID, in milliseconds since 1970.
    pub time: Millis,
    hash: u128,
}

impl ClaimKey {
    /// Combines a caller's UUID with its team, so that teams cannot collide with each other's keys.
    #[must_use]
    pub fn new(team: &TeamId, key: uuid::Uuid) -> Self {
        const TIME_SHIFT_BITS: u32 = 80;
        let mut digest = sha2::Sha256::new();
        digest.update(key.as_bytes());
        digest.update(team.as_str().as_bytes());
        let mut first = [0; 16];
        first.copy_from_slice(&digest.finalize()[..16]);
        let time = Millis((key.as_u128() >> TIME_SHIFT_BITS) as u64);
        Self { time, hash: u128::from_be_bytes(first) }
    }

    /// Returns the stream on which the key is claimed, which follows from its hash.
    #[must_use]
    pub const fn stream(self) -> ClaimStream {
        ClaimStream::of_hash(self.hash)
    }
}

impl Display for ClaimKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}-{:032x}", self.time.0, self.hash)
    }
}
