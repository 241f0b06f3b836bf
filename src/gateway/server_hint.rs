use super::*;

/// What a backend server reports about itself in the headers of any answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerHint {
    /// Whether the server is shutting down and takes no new work.
    pub leaves: bool,
    /// How long this VM must send no requests to the server. `None` if it asked for no backoff.
    pub backoff: Option<Millis>,
    /// What the answer says about the server's request limit.
    pub limit: LimitStatement,
    /// How much longer the server is cold. `None` if the answer does not say.
    pub cold: Option<Millis>,
    /// Names of the headers whose values could not be parsed and are ignored.
    pub unreadable: Vec<&'static str>,
}

impl ServerHint {
    /// Returns whether the server reported nothing, not even an unreadable header.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        !self.leaves
            && self.backoff.is_none()
            && self.limit == LimitStatement::Absent
            && self.cold.is_none()
            && self.unreadable.is_empty()
    }
}

/// One start of a backend server, as entry VMs identify it to each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerStart {
    /// Id of the server.
    pub server: ServerId,
    /// When it started, by its own clock. `None` if the server list does not contain that.
    pub born: Option<Millis>,
}
