/// The learned ratio of a backend server's times to those of its pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSpeed {
    samples: u32,
    /// The moving average of the logarithm of the ratio.
    mean: f64,
}

impl ServerSpeed {
    /// The weight of a new sample once there are many.
    const MIN_SAMPLE_WEIGHT: f64 = 0.05;
    /// The number of samples that the pool's speed counts for.
    const PRIOR_SAMPLES: u32 = 4;
    /// The range of a sample, as no server differs more from its pool.
    const MAX_LOG_RATIO: f64 = 1.5;

    /// Adds a measured time and the one that the pool's servers are expected to take.
    pub fn record(&mut self, expected: f64, took: f64) {
        if expected <= 0.0 || took <= 0.0 {
            return;
        }
        let sample = (took / expected).ln().clamp(-Self::MAX_LOG_RATIO, Self::MAX_LOG_RATIO);
        self.samples = self.samples.saturating_add(1);
        let counted = f64::from(self.samples.saturating_add(Self::PRIOR_SAMPLES));
        let weight = (1.0 / counted).max(Self::MIN_SAMPLE_WEIGHT);
        self.mean += (sample - self.mean) * weight;
    }

    /// Returns the factor by which the server takes longer than its pool; 1 if it is not known.
    #[must_use]
    pub fn factor(&self) -> f64 {
        self.mean.exp()
    }
}
