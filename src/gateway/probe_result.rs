/// The result of an attempt to connect to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server accepts connections, or rejected this one because it has too many.
    Listens,
    /// The connection was refused: nothing listens at the address.
    Refused,
    /// The attempt timed out.
    Silent,
}
