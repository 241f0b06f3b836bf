use super::*;

/// What a backend server has said of its load in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// The requests that it runs.
    pub running: u32,
    /// The requests that wait in its queue.
    pub waiting: u32,
    /// The requests that it runs at the same time at most.
    pub slots: u32,
    /// How long work takes on it now, in percent of its usual time.
    pub slowdown: u32,
}

impl LoadSample {
    /// The slowdown of a server that says nothing of it.
    pub const USUAL_SLOWDOWN: u32 = 100;
}

/// A load sample, and when it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatedLoad {
    /// The sample.
    pub sample: LoadSample,
    /// When it arrived.
    pub at: Millis,
    /// The requests of this VM that were at the server then.
    pub own: u32,
}
