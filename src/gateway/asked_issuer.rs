use super::*;

/// The state of this VM's requests for permits to one issuer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AskedIssuer {
    /// When this VM last asked; none if it never did.
    asked: Option<Millis>,
    is_pending: bool,
    /// The number of VMs that ask the issuer.
    askers: u32,
}

impl AskedIssuer {
    /// The least time between two requests for permits to an issuer, by all VMs together.
    pub(super) const SHARED_INTERVAL_MS: f64 = 10.0;
    /// The least and the longest time between two requests of one VM.
    const MIN_INTERVAL_MS: f64 = 20.0;
    const MAX_INTERVAL_MS: f64 = 10_000.0;
    /// The number of times that an issuer is asked for each permit that it can issue, by all VMs
    /// together while none has waiting requests, and by each VM that has some.
    const ASKS_PER_PERMIT: f64 = 4.0;

    /// Returns when this VM may ask again, if the issuer issues permits at `rate`.
    pub(super) fn next(&self, rate: RequestsPerSecond, has_waiting: bool) -> Millis {
        let Some(asked) = self.asked else { return Millis(0) };
        let askers = f64::from(self.askers.max(1));
        let supply = 1_000.0 / (Self::ASKS_PER_PERMIT * rate.0);
        let supply = if has_waiting { supply } else { supply * askers };
        let interval = supply.max(askers * Self::SHARED_INTERVAL_MS);
        asked + Millis(interval.clamp(Self::MIN_INTERVAL_MS, Self::MAX_INTERVAL_MS) as u64)
    }

    pub(super) const fn is_pending(&self) -> bool {
        self.is_pending
    }

    pub(super) const fn start(&mut self, now: Millis) {
        self.asked = Some(now);
        self.is_pending = true;
    }

    /// Records the issuer's answer; `askers` is zero if it did not answer.
    pub(super) const fn end(&mut self, askers: u32) {
        self.is_pending = false;
        self.askers = askers;
    }
}
