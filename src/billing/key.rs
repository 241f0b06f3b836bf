use super::*;

/// Identifies a bill. Requests that are resent with the same ticket or idempotency key share one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BillKey(SmolStr);

impl BillKey {
    /// Returns the key of a request without an idempotency key.
    #[must_use]
    pub fn of_request(request: &RequestId) -> Self {
        Self(SmolStr::new(format!("request:{request}")))
    }

    /// Returns the key of a request whose idempotency key is a ticket.
    #[must_use]
    pub fn of_ticket(issuer: &PeerName, number: TicketNumber) -> Self {
        Self(SmolStr::new(format!("ticket:{issuer}.{number}")))
    }

    /// Returns the key of a request whose idempotency key the caller generated.
    #[must_use]
    pub fn of_claim(key: ClaimKey) -> Self {
        Self(SmolStr::new(format!("key:{key}")))
    }

    /// Returns the textual form, which starts with the kind of the key.
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
