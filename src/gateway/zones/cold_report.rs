use super::*;

/// A cold server as an entry VM knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdReport {
    /// The server.
    pub start: ServerStart,
    /// How long it is to be counted as cold.
    pub left: Millis,
    /// How long ago the newest request was sent that it has answered; none if that is unknown.
    pub answered: Option<Millis>,
}
