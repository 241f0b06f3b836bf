use super::*;

/// A backend server as this entry VM sees it.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// The server.
    pub id: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its pool.
    pub pool: PoolId,
    /// Whether it takes new work.
    pub member: MemberState,
    /// The short requests of this entry VM that run on it.
    pub short: u32,
    /// The long requests of this entry VM that run on it.
    pub long: u32,
    /// The requests of other entry VMs that run on it, by their own word.
    pub peers: u32,
    /// The last load report.
    pub load: Option<LoadReport>,
    /// When the last load report arrived.
    pub reported: Millis,
    /// The most requests of this and other entry VMs of late, for comparison with late reports.
    pub recent_peak: u32,
    /// How its times compare with the pool's: a moving average of the logarithm of the ratio.
    pub log_pace: f64,
    /// When its pace was last observed.
    pub paced: Millis,
    /// Set while it gets no work but probes, for its pace: when the next probe is due.
    pub next_probe: Option<Millis>,
    /// What went wrong last, if nothing has gone right since.
    pub trouble: Option<ServerTrouble>,
    /// Its entry in the order of its pool, if it has one.
    pub(super) ranked: Option<(u32, u32)>,
    pub(super) counted_long: u32,
    pub(super) tie: u32,
}

impl ServerState {
    const REPORT_HALF_LIFE_MS: f64 = 1_000.0;
    const PACE_STEP: f64 = 0.3;

    pub(super) fn new(member: &ServerMember, tie: u32) -> Self {
        Self {
            id: member.id.clone(),
            address: member.address,
            data_centre: member.data_centre.clone(),
            pool: member.pool.clone(),
            member: member.state,
            short: 0,
            long: 0,
            peers: 0,
            load: None,
            reported: Millis(0),
            recent_peak: 0,
            log_pace: 0.0,
            paced: Millis(0),
            next_probe: None,
            trouble: None,
            ranked: None,
            counted_long: 0,
            tie,
        }
    }

    /// Returns the requests of this entry VM that run on the server.
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

    /// Returns the expected load: own requests, those that peers tell of, and what the load
    /// report shows beyond them, which counts for less the older it is. So many of those in the
    /// report only may wait in the server's own queue.
    #[must_use]
    pub fn expected_load(&self, now: Millis, engine_queue: u32) -> u32 {
        let known = self.in_flight() + self.peers;
        let Some(load) = &self.load else { return known };
        let beyond = (load.running + load.waiting).saturating_sub(self.recent_peak.max(known));
        let age = now.since(self.reported).0 as f64;
        let weight = (-age / Self::REPORT_HALF_LIFE_MS).exp2();
        let beyond = (f64::from(beyond) * weight).round() as u32;
        known + beyond.saturating_sub(engine_queue)
    }

    /// Takes in the ratio of one of its times to the pool's usual one.
    pub(super) fn observe_pace(&mut self, now: Millis, ratio: f64) {
        let sample = ratio.clamp(0.1, 100.0).ln();
        self.log_pace += Self::PACE_STEP * (sample - self.log_pace);
        self.paced = now;
    }

    /// Returns whether the server is on the order of its pool: live, not in trouble, not slow.
    pub(crate) fn is_regular(&self, now: Millis) -> bool {
        self.member == MemberState::Live
            && self.next_probe.is_none()
            && self.trouble.is_none_or(|trouble| now >= trouble.until)
    }
}

/// A server's last trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerTrouble {
    /// What went wrong.
    pub fault: AttemptFault,
    /// How often in a row.
    pub times: u32,
    /// When the server may be tried again.
    pub until: Millis,
}
