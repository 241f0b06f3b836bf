use super::*;

/// How long larger models keep callers of a pool waiting, relative to what callers accept.
///
/// Answers load patterns in which more prompts are escalated than the engines can read: each one
/// more makes those behind it late. As the pressure rises, a larger model has to be worth more for
/// the reading that it takes, so that cached prompts and the most doubtful answers go first.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EnginePressure {
    level: f64,
}

impl EnginePressure {
    /// The weight of the newest first event: about the last six count.
    const WEIGHT: f64 = 0.15;
    /// The highest part of the objective that one first event counts for.
    const HIGHEST: f64 = 2.0;

    /// Notes how long a first event took.
    pub fn note(&mut self, took: Millis, objective: Millis) {
        self.level += (Self::part(took, objective) - self.level) * Self::WEIGHT;
    }

    /// Returns the level, given the mean wait of the first events that are still awaited.
    #[must_use]
    pub fn level(&self, awaited: f64) -> f64 {
        self.level.max(awaited)
    }

    /// Returns a wait as a part of what callers accept.
    #[must_use]
    pub fn part(took: Millis, objective: Millis) -> f64 {
        (took.0 as f64 / objective.0.max(1) as f64).min(Self::HIGHEST)
    }
}
