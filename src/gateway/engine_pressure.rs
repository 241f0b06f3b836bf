use super::*;

/// The moving average of the time to the first event of a pool's larger models, divided by the
/// objective of the route.
///
/// Limits escalation when more prompts are escalated than the engines can process, where each
/// further one delays those behind it. As the pressure rises, escalation must gain more per prompt
/// token that the larger model has to process, so that prompts that are cached and the least
/// confident answers go first.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EnginePressure {
    level: f64,
}

impl EnginePressure {
    /// The weight of the newest sample: about the last six count.
    const SAMPLE_WEIGHT: f64 = 0.15;
    /// The upper limit of a sample, as a multiple of the objective.
    const MAX_FRACTION: f64 = 2.0;

    /// Adds the time that a first event took as a sample.
    pub fn record(&mut self, took: Millis, objective: Millis) {
        self.level += (Self::part(took, objective) - self.level) * Self::SAMPLE_WEIGHT;
    }

    /// Returns the larger of the moving average and `awaited`, the mean wait of the requests whose
    /// first event has not arrived yet, as a fraction of the objective.
    #[must_use]
    pub fn level(&self, awaited: f64) -> f64 {
        self.level.max(awaited)
    }

    /// Returns a wait as a fraction of the objective, limited to [`Self::MAX_FRACTION`].
    #[must_use]
    pub fn part(took: Millis, objective: Millis) -> f64 {
        (took.0 as f64 / objective.0.max(1) as f64).min(Self::MAX_FRACTION)
    }
}
