use super::*;

/// The load that a backend server reported in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// The number of requests that it is running.
    pub running: u32,
    /// The number of requests in its queue.
    pub waiting: u32,
    /// The maximum number of requests that it runs at the same time.
    pub slots: u32,
    /// How long work takes on it at present, in percent of its usual time.
    pub slowdown: u32,
}

impl LoadSample {
    /// The slowdown of a server that reports none.
    pub const USUAL_SLOWDOWN: u32 = 100;
}

/// A load sample with its context.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatedLoad {
    /// The sample.
    pub sample: LoadSample,
    /// When the sample arrived.
    pub at: Millis,
    /// The requests of this VM that were under way at the server then.
    pub own: u32,
}
