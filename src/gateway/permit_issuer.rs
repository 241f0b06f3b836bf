use super::*;

/// Issues the permits for one server that has a limit.
///
/// The bucket starts empty, so that an issuer that replaces another one does not add to the permits
/// that the other has just issued.
#[derive(Clone, Debug)]
pub(super) struct PermitIssuer {
    bucket: TokenBucket,
    /// The backlog of each VM at which requests wait, and when the VM reported it.
    backlogs: BTreeMap<VmId, (Millis, f32)>,
}

impl PermitIssuer {
    /// The permits that can be saved up, as the refill of this time, but at least one.
    const BURST_S: f64 = 0.2;
    /// How long a VM's backlog counts.
    const BACKLOG_EXPIRY_MS: u64 = 1_000;

    pub(super) const fn new(now: Millis) -> Self {
        Self { bucket: TokenBucket::new(now, 0.0), backlogs: BTreeMap::new() }
    }

    /// Returns the number of permits for a VM, at most what it asks for. Permits for requests that
    /// may arrive later are issued only while no other VM has waiting requests.
    pub(super) fn issue(
        &mut self,
        now: Millis,
        rate: RequestsPerSecond,
        vm: &VmId,
        demand: &PermitDemand,
    ) -> u32 {
        self.bucket.refill(now, rate.0, 1.0);
        self.bucket.add(0.0, (rate.0 * Self::BURST_S).max(1.0));
        self.backlogs.retain(|_, (at, _)| now.since(*at).0 < Self::BACKLOG_EXPIRY_MS);
        let others_wait = self.backlogs.keys().any(|other| other != vm);
        let wanted = demand.permits(!others_wait);
        let issued = (0..wanted).take_while(|_| self.bucket.try_spend(1.0)).count() as u32;
        self.backlogs.remove(vm);
        let left = demand.backlog - issued as f32;
        if demand.waiting > issued && left > 0.0 {
            self.backlogs.insert(vm.clone(), (now, left));
        }
        issued
    }

    /// Returns the time until all requests that wait for permits can have got them.
    pub(super) fn wait(&self, rate: RequestsPerSecond) -> Millis {
        let backlog: f32 = self.backlogs.values().map(|(_, backlog)| *backlog).sum();
        let mut bucket = self.bucket;
        // There is no permit before the bucket holds a whole one.
        bucket.spend(f64::from(backlog).max(1.0));
        bucket.time_until_available(rate.0)
    }
}
