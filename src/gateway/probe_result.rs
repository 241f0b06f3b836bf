/// What came of an attempt to connect to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server accepts connections, or has too many.
    Listens,
    /// Nothing listens at its address.
    Refused,
    /// There was no answer in time.
    Silent,
}
