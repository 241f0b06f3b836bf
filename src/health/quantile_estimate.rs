/// A running estimate of a quantile by stochastic approximation on a logarithmic scale.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuantileEstimate {
    quantile: f64,
    log_value: f64,
    samples: u32,
}

impl QuantileEstimate {
    const LOG_STEP: f64 = 0.05;
    const WARM_UP_SAMPLES: u32 = 50;

    /// Creates an estimate of a quantile (0 to 1) that starts from an initial guess.
    #[must_use]
    pub fn new(quantile: f64, guess: f64) -> Self {
        Self { quantile, log_value: guess.max(1e-6).ln(), samples: 0 }
    }

    /// Moves the estimate towards a sample; the first samples move it further than later ones.
    pub fn observe(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let warm_up = f64::from(Self::WARM_UP_SAMPLES) / f64::from(self.samples);
        let step = Self::LOG_STEP * warm_up.clamp(1.0, 10.0);
        let above = sample.max(1e-6).ln() > self.log_value;
        self.log_value += if above { step * self.quantile } else { -step * (1.0 - self.quantile) };
    }

    /// Returns the current estimate, in the unit of the samples.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.log_value.exp()
    }

    /// Returns the number of samples observed so far.
    #[must_use]
    pub const fn samples(&self) -> u32 {
        self.samples
    }
}
