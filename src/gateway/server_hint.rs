use super::*;

/// What a backend server says of itself in the head of an answer, whatever it was asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerHint {
    /// Whether it is about to end and takes no new work.
    pub leaves: bool,
    /// For how long it wants nothing from this VM.
    pub backoff: Option<Millis>,
    /// The headers whose values could not be read, and which say nothing.
    pub unreadable: Vec<&'static str>,
}

impl ServerHint {
    /// Returns whether nothing was said.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        !self.leaves && self.backoff.is_none() && self.unreadable.is_empty()
    }
}

/// One start of a backend server, as entry VMs tell each other of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerStart {
    /// The server.
    pub server: ServerId,
    /// When it started, by its own clock.
    pub born: Option<Millis>,
}
