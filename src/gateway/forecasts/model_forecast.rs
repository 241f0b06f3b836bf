use super::*;

/// What this VM has learned about the answers of one model in one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelForecast {
    /// The error of forecasts of the first event.
    pub first: ForecastError,
    /// The error of forecasts of the end.
    pub end: ForecastError,
    /// The time per token.
    pub pace: StreamPace,
}
