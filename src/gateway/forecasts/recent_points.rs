/// The weighted moments of recent points, to fit a line to them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct RecentPoints {
    weight: f64,
    x: f64,
    y: f64,
    x_squared: f64,
    product: f64,
}

impl RecentPoints {
    /// Adds a point. The weight of the earlier ones is multiplied by `decay`.
    pub(super) fn record(&mut self, x: f64, y: f64, decay: f64) {
        let add = |sum: &mut f64, sample: f64| *sum = *sum * decay + sample;
        add(&mut self.weight, 1.0);
        add(&mut self.x, x);
        add(&mut self.y, y);
        add(&mut self.x_squared, x * x);
        add(&mut self.product, x * y);
    }

    pub(super) const fn weight(&self) -> f64 {
        self.weight
    }

    pub(super) fn is_empty(&self) -> bool {
        self.weight <= 0.0
    }

    pub(super) fn mean_x(&self) -> f64 {
        self.x / self.weight
    }

    pub(super) fn mean_y(&self) -> f64 {
        self.y / self.weight
    }

    pub(super) fn variance_x(&self) -> f64 {
        self.x_squared / self.weight - self.mean_x() * self.mean_x()
    }

    pub(super) fn covariance(&self) -> f64 {
        self.product / self.weight - self.mean_x() * self.mean_y()
    }
}
