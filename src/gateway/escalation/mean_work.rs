/// The moving average of the work that this VM's prompts need at the large model of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeanWork {
    mean_ms: Option<f64>,
}

impl MeanWork {
    /// The weight of a new sample.
    const SAMPLE_WEIGHT: f64 = 0.05;

    /// Adds a prompt that takes so long to process.
    pub fn record(&mut self, work_ms: f64) {
        let mean_ms = self.mean_ms.get_or_insert(work_ms);
        *mean_ms += (work_ms - *mean_ms) * Self::SAMPLE_WEIGHT;
    }

    /// Returns the work of a prompt as a multiple of the mean; 1 before the first sample.
    #[must_use]
    pub fn ratio(&self, work_ms: f64) -> f64 {
        self.mean_ms.filter(|mean_ms| *mean_ms > 0.0).map_or(1.0, |mean_ms| work_ms / mean_ms)
    }
}
