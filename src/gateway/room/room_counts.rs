/// How often requests found too little room, since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoomCounts {
    /// Decisions to let a request wait at this VM.
    pub waits: u64,
    /// Requests that were refused.
    pub refusals: u64,
}
