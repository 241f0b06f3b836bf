use super::*;

/// The state of a backend server as known to this entry VM.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// The identifier of the server on the membership list.
    pub id: ServerId,
    /// The address to connect to; a change of address clears the last failure.
    pub address: SocketAddr,
    /// The data centre in which the server runs.
    pub data_centre: DataCentreId,
    /// The pool to which the server belongs.
    pub pool: PoolId,
    /// Whether the server accepts new requests or is leaving.
    pub member: MemberState,
    /// The number of this entry VM's short requests running on the server.
    pub short: u32,
    /// The number of this entry VM's long requests running on the server.
    pub long: u32,
    /// The number of requests that other entry VMs report as running on the server.
    pub peer_requests: u32,
    /// The most recent load report, if any has arrived.
    pub load: Option<LoadReport>,
    /// When the last load report arrived.
    pub reported: Millis,
    /// The recent maximum of requests from all entry VMs, decaying by one per call of
    /// [`ServerTable::age`]. Load reports lag behind, so they are compared with this maximum.
    pub recent_max_load: u32,
    /// A moving average of the logarithm of the ratio of the server's latencies to the pool's
    /// median.
    pub log_latency_ratio: f64,
    /// When a latency ratio was last observed.
    pub latency_observed_at: Millis,
    /// When the next probe is due; set while the server is ejected for being slow and receives only
    /// probes.
    pub next_probe: Option<Millis>,
    /// The last failure, if no request has succeeded since.
    pub last_failure: Option<ServerFailure>,
    /// The load and the number of long requests under which the server is indexed in its pool, if
    /// it is in rotation.
    pub(super) indexed: Option<(u32, u32)>,
    pub(super) counted_long: u32,
    pub(super) tie_breaker: u32,
}

impl ServerState {
    const REPORT_HALF_LIFE_MS: f64 = 1_000.0;
    const RATIO_STEP: f64 = 0.3;

    pub(super) fn new(member: &ServerMember, tie_breaker: u32) -> Self {
        Self {
            id: member.id.clone(),
            address: member.address,
            data_centre: member.data_centre.clone(),
            pool: member.pool.clone(),
            member: member.state,
            short: 0,
            long: 0,
            peer_requests: 0,
            load: None,
            reported: Millis(0),
            recent_max_load: 0,
            log_latency_ratio: 0.0,
            latency_observed_at: Millis(0),
            next_probe: None,
            last_failure: None,
            indexed: None,
            counted_long: 0,
            tie_breaker,
        }
    }

    /// Returns the number of this entry VM's requests running on the server.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.short + self.long
    }

    pub(super) fn add(&mut self, class: SizeClass) {
        match class {
            SizeClass::Short => self.short += 1,
            SizeClass::Long => self.long += 1,
        }
    }

    pub(super) fn remove(&mut self, class: SizeClass) {
        match class {
            SizeClass::Short => self.short = self.short.saturating_sub(1),
            SizeClass::Long => self.long = self.long.saturating_sub(1),
        }
    }

    /// Returns the expected number of requests on the server: those of this VM, those that peers
    /// report, and the excess that the load report shows beyond them. The excess loses weight with
    /// the age of the report, and up to `engine_queue` of it does not count, as the server may hold
    /// that many requests in its own queue.
    #[must_use]
    pub fn expected_load(&self, now: Millis, engine_queue: u32) -> u32 {
        let known = self.in_flight() + self.peer_requests;
        let Some(load) = &self.load else { return known };
        let excess = (load.running + load.waiting).saturating_sub(self.recent_max_load.max(known));
        let age = now.since(self.reported).0 as f64;
        let weight = (-age / Self::REPORT_HALF_LIFE_MS).exp2();
        let excess = (f64::from(excess) * weight).round() as u32;
        known + excess.saturating_sub(engine_queue)
    }

    /// Records the ratio of one of the server's latencies to the pool's median.
    pub(super) fn observe_latency_ratio(&mut self, now: Millis, ratio: f64) {
        let sample = ratio.clamp(0.1, 100.0).ln();
        self.log_latency_ratio += Self::RATIO_STEP * (sample - self.log_latency_ratio);
        self.latency_observed_at = now;
    }

    /// Returns whether the server is in regular rotation: live, not ejected as slow, and not
    /// backing off after a failure.
    pub(crate) fn is_in_rotation(&self, now: Millis) -> bool {
        self.member == MemberState::Live
            && self.next_probe.is_none()
            && self.last_failure.is_none_or(|last_failure| now >= last_failure.until)
    }
}

/// The last failure of a server and the backoff that follows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerFailure {
    /// The kind of the last failure.
    pub fault: AttemptFault,
    /// The number of consecutive failures.
    pub times: u32,
    /// When the backoff ends and the server may be tried again.
    pub until: Millis,
}
