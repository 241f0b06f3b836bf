/// A running estimate of a quantile on a logarithmic scale.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuantileEstimate {
    quantile: f64,
    log: f64,
    samples: u32,
}

impl QuantileEstimate {
    const STEP: f64 = 0.05;
    const WARM_UP_SAMPLES: u32 = 50;

    /// Returns an estimate of a quantile that starts from a guess.
    #[must_use]
    pub fn new(quantile: f64, guess: f64) -> Self {
        Self { quantile, log: guess.max(1e-6).ln(), samples: 0 }
    }

    /// Takes in a sample.
    pub fn observe(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let warm = f64::from(Self::WARM_UP_SAMPLES) / f64::from(self.samples);
        let step = Self::STEP * warm.clamp(1.0, 10.0);
        let above = sample.max(1e-6).ln() > self.log;
        self.log += if above { step * self.quantile } else { -step * (1.0 - self.quantile) };
    }

    /// Returns the estimate.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.log.exp()
    }

    /// Returns the number of samples.
    #[must_use]
    pub const fn samples(&self) -> u32 {
        self.samples
    }
}
