use super::*;

/// What a bill is keyed by: a resend with the same ticket or key is the same bill.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BillKey(SmolStr);

impl BillKey {
    /// Returns the key of a request that came without a key.
    #[must_use]
    pub fn of_request(request: &RequestId) -> Self {
        Self(SmolStr::new(format!("request:{request}")))
    }

    /// Returns the key of a request with a ticket.
    #[must_use]
    pub fn of_ticket(issuer: &PeerName, number: TicketNumber) -> Self {
        Self(SmolStr::new(format!("ticket:{issuer}.{number}")))
    }

    /// Returns the key of a request with a caller's own key.
    #[must_use]
    pub fn of_claim(key: ClaimKey) -> Self {
        Self(SmolStr::new(format!("key:{key}")))
    }

    /// Returns the key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for BillKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
