/// What happens with the next part of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PassVerdict {
    /// It is held for the caller.
    Hold,
    /// The server waits until the caller has taken more.
    Wait,
    /// The caller loses its stream.
    Lose,
    /// There is no memory for it, through no fault of its caller.
    OutOfMemory,
}
