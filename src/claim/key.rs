use super::*;
use sha2::Digest;

/// What the `Idempotency-Key` header of a request holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdempotencyKey {
    /// A ticket of an entry VM.
    Ticket(Ticket),
    /// A key of the caller's own.
    Own(uuid::Uuid),
}

impl FromStr for IdempotencyKey {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        if text.starts_with(Ticket::PREFIX) {
            return text.parse().map(Self::Ticket);
        }
        let wrong = || TicketError::Key { text: text.into() };
        let uuid = uuid::Uuid::parse_str(text).map_err(|_| wrong())?;
        if uuid.get_version_num() == 7 { Ok(Self::Own(uuid)) } else { Err(wrong()) }
    }
}

/// A caller's own key within its team, ordered by the time in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The time in the key, since 1970.
    pub time: Millis,
    hash: u128,
}

impl ClaimKey {
    /// Returns the key of a team.
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

    /// Returns the stream on which the key is claimed.
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
