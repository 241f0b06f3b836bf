use super::*;

/// The right to run one request once, through the incarnation of an entry VM that issued it.
///
/// Its textual form is `gt1_VM_INCARNATION_NUMBER_ISSUED_MAC`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The incarnation of the entry VM that issued the ticket.
    pub issuer: PeerName,
    /// The number of the ticket, unique at its issuer.
    pub number: TicketNumber,
    /// When the ticket was issued, by the issuer's monotonic clock.
    pub issued: Millis,
    mac: [u8; Self::MAC_BYTES],
}

impl Ticket {
    /// The prefix by which tickets are told from other idempotency keys.
    pub const PREFIX: &str = "gt1_";
    /// How long after its issue a ticket may be used.
    pub const VALID_MS: u64 = 30 * 60 * 1_000;
    const MAC_BYTES: usize = KeyRing::SIGNATURE_BYTES;
    const PURPOSE: &str = "guavapass ticket";

    /// Issues a ticket to a team. Returns none if there is no secret to sign it with.
    #[must_use]
    pub fn issue(
        keys: &KeyRing,
        issuer: PeerName,
        number: TicketNumber,
        now: Millis,
        team: &TeamId,
    ) -> Option<Self> {
        let mut ticket = Self { issuer, number, issued: now, mac: [0; Self::MAC_BYTES] };
        ticket.mac = keys.sign(Self::PURPOSE, ticket.signed(team).as_bytes())?;
        Some(ticket)
    }

    /// Returns whether the ticket was issued to the team and signed with one of the secrets.
    #[must_use]
    pub fn is_genuine(&self, keys: &KeyRing, team: &TeamId) -> bool {
        keys.verify(Self::PURPOSE, self.signed(team).as_bytes(), &self.mac)
    }

    /// Returns whether the ticket has expired; `now` is the time of the issuer's monotonic clock.
    #[must_use]
    pub fn has_expired(&self, now: Millis) -> bool {
        now > self.issued + Millis(Self::VALID_MS)
    }

    fn signed(&self, team: &TeamId) -> String {
        format!("{}/{team}", self.body())
    }

    fn body(&self) -> String {
        let PeerName { vm, incarnation } = &self.issuer;
        format!("{}{vm}_{incarnation}_{}_{}", Self::PREFIX, self.number, self.issued.0)
    }
}

impl Display for Ticket {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}_{}", self.body(), hex::encode(self.mac))
    }
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let damaged = || TicketError::Damaged { text: text.into() };
        let parse = || -> Option<Self> {
            let mut parts = text.strip_prefix(Self::PREFIX)?.rsplitn(5, '_');
            let mut mac = [0; Self::MAC_BYTES];
            hex::decode_to_slice(parts.next()?, &mut mac).ok()?;
            let issued = Millis(parts.next()?.parse().ok()?);
            let number = parts.next()?.parse().ok()?;
            let incarnation = parts.next()?.parse().ok()?;
            let vm = parts.next()?.parse().ok()?;
            Some(Self { issuer: PeerName { vm, incarnation }, number, issued, mac })
        };
        parse().ok_or_else(damaged)
    }
}
