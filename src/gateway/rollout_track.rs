//! State of one rollout of a pool's software, as known to this entry VM.
//!
//! A rollout starts with a canary stage: in the first part of the operator's time, the new version
//! gets a small share of the sessions. The share is constant in that stage, so that no session
//! switches back and forth between versions. If the evidence of all VMs is in favour of the new
//! version, the share then grows to all sessions, and once the old servers are idle the rollout is
//! completed. If the evidence is against the version, it is withdrawn at once, on this VM and,
//! through the store, on all others.

use super::*;

/// The side of a rollout on which a request runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSide {
    /// Servers that run the new version.
    New,
    /// Servers that run any other version.
    Old,
}

/// State of one rollout on this VM.
#[derive(Clone, Debug)]
pub struct RolloutTrack {
    /// The operator's order.
    pub order: RolloutOrder,
    /// When this VM learned of the order.
    pub learned: Millis,
    /// When sessions that this VM does not know may start to run on the new version.
    pub opens: Millis,
    /// The newest state that this VM knows or has decided on.
    pub state: RolloutState,
    /// Whether the store has a record of `state`.
    pub is_recorded: bool,
    /// Answers of the new version that this VM has counted.
    new_answers: AnswerCounts,
    /// Answers of the new version in the last evidence record of this VM and its followers.
    reported: AnswerCounts,
    /// Latencies that this VM has measured in the current stage.
    latencies: VersionLatencies,
    /// When the latencies may next be sent to other VMs.
    next_latency_report: Millis,
    /// Evidence of the VMs that get their records from this one.
    followers: BTreeMap<(VmId, Incarnation), VersionEvidence>,
    /// Evidence of all other VMs.
    other_vms: BTreeMap<(VmId, Incarnation), VersionEvidence>,
    /// Answers of the old version that this VM has counted.
    old_answers: AnswerCounts,
    /// Number of increases of the share that the store has records of.
    stage: u8,
    /// When the share was last increased, or the rollout learned of.
    raised: Millis,
    /// When the latencies of all VMs were last compared, and the result.
    pace: (Millis, LatencyComparison),
}

/// Evidence reported by another VM.
#[derive(Clone, Debug, Default)]
struct VersionEvidence {
    tally: AnswerCounts,
    old: AnswerCounts,
    times: VersionLatencies,
}

impl VersionEvidence {
    fn update(&mut self, record: &EvidenceRecord) {
        self.tally = AnswerCounts { good: record.good, bad: record.bad };
        self.old = record.old;
        let newer = record.times.as_ref().filter(|times| times.stage >= self.times.stage);
        if let Some(times) = newer {
            self.times.clone_from(times);
        }
    }
}

impl RolloutTrack {
    /// Fraction of the permitted exposure that the canary stage uses. The rest is reserved for the
    /// first increase of the share and for VMs that learn late of a withdrawal.
    const CANARY_RATIO: f64 = 0.75;
    /// How long the canary stage waits before it takes sessions that this VM does not know. VMs
    /// exchange the sessions in progress every 100 ms, over up to three hops, and learn of the
    /// order in about the same time.
    pub const SETTLE_MS: u64 = 1_000;
    /// Fractions of the rollout's duration from which the share is increased, and the share from
    /// then on. The first increase lies after the middle of the duration, before which sessions may
    /// not change their version.
    const STAGES: [(f64, f64); 3] = [(0.56, 0.3), (0.62, 0.5), (0.70, 1.0)];
    /// Minimum time between two increases, as a fraction of the duration, so that no two increases
    /// are based on the same answers.
    const MIN_STAGE_FRACTION: f64 = 0.05;
    /// Minimum length of a stage, as a fraction of the duration, before a version that has not
    /// proved sound is withdrawn.
    const PROOF_FRACTION: f64 = 0.25;
    /// Number of stages, from the first on, in which the latencies of the versions are compared.
    const COMPARED_STAGES: u8 = 3;
    /// Minimum time between two comparisons of the latencies.
    const COMPARE_INTERVAL_MS: u64 = 100;
    /// Minimum time between two reports of latencies to other VMs; a report has some hundred bytes.
    const LATENCY_REPORT_INTERVAL_MS: u64 = 400;
    /// How long the old servers must have had no new work before completion, as a fraction of the
    /// duration.
    const IDLE_FRACTION: f64 = 0.12;
    /// Fraction of the duration after which the rollout may be completed: the longest streams that
    /// started on the old version have ended by then.
    const COMPLETION_FRACTION: f64 = 0.84;
    /// Minimum number of bad answers for a withdrawal by error rate.
    const MIN_BAD_ANSWERS: u32 = 5;
    /// A version is withdrawn if its share of bad answers exceeds this value plus twice the share
    /// of the old version.
    const BAD_SHARE_LIMIT: f64 = 0.15;
    /// Answers, one of them bad, that are added to those counted for the old version: a few good
    /// answers alone say little about its error rate.
    const OLD_PRIOR: AnswerCounts = AnswerCounts { good: 9, bad: 1 };
    /// Good answers are reported again once they have grown by this factor since the last report.
    const REPORT_GROWTH: u32 = 3;
    /// An answer counts as bad if its first event takes more than this multiple of the expected
    /// time. The limit is the same for both versions: a bad version is several times slower, and so
    /// is an overloaded pool as a whole.
    const SLOW_FACTOR: u64 = 4;
    /// Added to the expected time, so that small absolute delays do not make an answer slow.
    const SLOW_ALLOWANCE_MS: u64 = 75;

    /// Creates the state of a rollout that this VM has just learned of.
    #[must_use]
    pub fn new(now: Millis, order: RolloutOrder) -> Self {
        Self {
            order,
            learned: now,
            opens: now,
            state: RolloutState::Running,
            is_recorded: false,
            new_answers: AnswerCounts { good: 0, bad: 0 },
            reported: AnswerCounts { good: 0, bad: 0 },
            latencies: VersionLatencies::default(),
            next_latency_report: now,
            followers: BTreeMap::new(),
            other_vms: BTreeMap::new(),
            old_answers: AnswerCounts { good: 0, bad: 0 },
            stage: 0,
            raised: now,
            pace: (now, LatencyComparison::default()),
        }
    }

    /// Returns the fraction of the rollout's duration that has passed; above 1 once the time is
    /// over.
    #[must_use]
    pub fn progress(&self, now: Millis) -> f64 {
        now.since(self.learned).0 as f64 / self.order.duration.0.max(1) as f64
    }

    /// Returns the share of the sessions that run on the new version, from 0 to 1. `servers` is the
    /// number of old servers in the pool.
    #[must_use]
    pub fn share(&self, bounds: &GatewayBounds, servers: usize) -> f64 {
        match self.state {
            RolloutState::Completed => return 1.0,
            RolloutState::Withdrawn => return 0.0,
            RolloutState::Running => {}
        }
        match usize::from(self.stage).checked_sub(1) {
            None => bounds.exposure_share.get() * Self::CANARY_RATIO / Self::pool_divisor(servers),
            Some(raised) => Self::STAGES[raised.min(Self::STAGES.len() - 1)].1,
        }
    }

    /// Returns whether the rollout is in the canary stage, in which no session may change to the
    /// new version.
    #[must_use]
    pub fn is_canary(&self) -> bool {
        self.state == RolloutState::Running && self.stage == 0
    }

    /// Returns the divisor of the canary share for a pool of this size. A large pool has many
    /// requests, so that a few per second are enough evidence. The divisor grows in powers of two,
    /// so that VMs whose counts of the servers differ slightly agree on it.
    fn pool_divisor(servers: usize) -> f64 {
        const SMALL_POOL: usize = 16;
        let steps = (servers / SMALL_POOL).checked_ilog2().unwrap_or(0);
        f64::from(1_u32 << steps)
    }

    /// Returns whether the rollout has ended and the store has a record of the result.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        self.state.is_final() && self.is_recorded
    }

    /// Applies a stage from a record in the store. A stage that is not higher than the current one
    /// is ignored.
    pub fn raise(&mut self, now: Millis, stage: u8) {
        if stage > self.stage {
            self.stage = stage;
            self.raised = now;
            self.latencies = VersionLatencies::of_stage(stage);
            self.next_latency_report = now;
            self.pace = (now, LatencyComparison::default());
        }
    }

    /// Returns the next stage if it is due and the comparison of latencies allows it.
    #[must_use]
    pub fn due_stage(&self, now: Millis) -> Option<u8> {
        let (from, _) = Self::STAGES.get(usize::from(self.stage))?;
        let is_running = self.state == RolloutState::Running;
        let is_proven = !self.is_compared() || self.pace.1.is_sound();
        let is_due = self.progress(now) >= *from
            && self.fraction_since_raise(now) >= Self::MIN_STAGE_FRACTION;
        (is_running && is_proven && is_due).then_some(self.stage + 1)
    }

    /// Returns whether latencies are compared in the current stage. They are as long as the new
    /// version has at most half of the load, so that it cannot be slower merely because it has more
    /// work.
    const fn is_compared(&self) -> bool {
        self.stage < Self::COMPARED_STAGES
    }

    /// Returns whether the latency of an answer is to be recorded now.
    #[must_use]
    pub const fn counts_times(&self) -> bool {
        matches!(self.state, RolloutState::Running) && self.is_compared()
    }

    /// Adds the latency of an answer that this VM has passed on.
    pub fn count_time(&mut self, side: VersionSide, kind: WorkKind, took: Millis) {
        self.latencies.add(side, kind, took);
    }

    /// Returns the fraction of the old version's answers of the same kind that were faster. `None`
    /// if there are too few answers to compare with.
    #[must_use]
    pub fn rank(&self, kind: WorkKind, took: Millis) -> Option<f64> {
        self.total_latencies().old.rank(kind, took)
    }

    /// Compares the latencies of all VMs, at most once per `COMPARE_INTERVAL_MS`, and
    /// returns the newest result.
    pub fn compare(&mut self, now: Millis) -> LatencyComparison {
        let (at, verdict) = self.pace;
        if !self.counts_times() || now.since(at).0 < Self::COMPARE_INTERVAL_MS {
            return verdict;
        }
        let verdict = self.total_latencies().verdict();
        self.pace = (now, verdict);
        verdict
    }

    /// Returns the result of the last comparison of latencies.
    #[must_use]
    pub const fn pace(&self) -> LatencyComparison {
        self.pace.1
    }

    /// Returns the latencies of the current stage summed over all VMs that have reported them.
    fn total_latencies(&self) -> VersionLatencies {
        let mut sum = self.latencies.clone();
        for evidence in self.followers.values().chain(self.other_vms.values()) {
            sum.add_all(&evidence.times);
        }
        sum
    }

    /// Returns the side on which a session's requests run. It depends only on the session, the
    /// share and the number of servers, so that all VMs agree.
    #[must_use]
    pub fn side(&self, bounds: &GatewayBounds, servers: usize, session: u64) -> VersionSide {
        let is_new = Self::position(session) < self.share(bounds, servers);
        if is_new { VersionSide::New } else { VersionSide::Old }
    }

    /// Returns whether the canary stage of any pool, whatever its size, may take this session.
    #[must_use]
    pub fn may_join_canary(bounds: &GatewayBounds, session: u64) -> bool {
        Self::position(session) < bounds.exposure_share.get() * Self::CANARY_RATIO
    }

    /// Maps a session's hash to a position from 0 to 1.
    fn position(session: u64) -> f64 {
        const STEPS: u64 = 10_000;
        (session % STEPS) as f64 / STEPS as f64
    }

    /// Returns whether the first event of an answer came so late that the answer counts as bad.
    #[must_use]
    pub const fn is_slow(first_event: Millis, expected: Millis) -> bool {
        first_event.0 > (expected.0 + Self::SLOW_ALLOWANCE_MS) * Self::SLOW_FACTOR
    }

    /// Counts an answer that this VM has seen.
    pub fn count(&mut self, side: VersionSide, is_bad: bool) {
        match side {
            VersionSide::New => self.new_answers.count(is_bad),
            VersionSide::Old => self.old_answers.count(is_bad),
        }
    }

    /// Stores the evidence of another VM that does not get its records from this one.
    pub fn update_evidence(&mut self, evidence: &EvidenceRecord) {
        if evidence.target != self.order.target {
            return;
        }
        let key = (evidence.vm.clone(), evidence.incarnation);
        self.followers.remove(&key);
        self.other_vms.entry(key).or_default().update(evidence);
    }

    /// Stores the evidence of a VM that gets its records from this one.
    pub fn update_follower_evidence(&mut self, evidence: &EvidenceRecord) {
        if evidence.target == self.order.target {
            let key = (evidence.vm.clone(), evidence.incarnation);
            self.other_vms.remove(&key);
            self.followers.entry(key).or_default().update(evidence);
        }
    }

    /// Returns the evidence of this VM and its followers. `None` if there is none, or if the
    /// rollout is over.
    #[must_use]
    pub fn own_evidence(&mut self, now: Millis, identity: &VmIdentity) -> Option<EvidenceRecord> {
        let (tally, times) = (self.answers_with_followers(), self.due_latencies(now));
        let has_any = !self.is_over() && (tally != AnswerCounts::default() || times.is_some());
        has_any.then(|| EvidenceRecord { times, ..self.evidence(identity, tally) })
    }

    /// Returns the latencies measured by this VM and its followers if the next report of them is
    /// due.
    fn due_latencies(&mut self, now: Millis) -> Option<VersionLatencies> {
        if !self.counts_times() || now < self.next_latency_report {
            return None;
        }
        self.next_latency_report = now + Millis(Self::LATENCY_REPORT_INTERVAL_MS);
        let times = self.latencies_with_followers();
        (!times.is_empty()).then_some(times)
    }

    fn latencies_with_followers(&self) -> VersionLatencies {
        let mut sum = self.latencies.clone();
        self.followers.values().for_each(|evidence| sum.add_all(&evidence.times));
        sum
    }

    /// Returns the answers of the new version counted by this VM and its followers.
    fn answers_with_followers(&self) -> AnswerCounts {
        self.followers.values().fold(self.new_answers, |sum, evidence| sum + evidence.tally)
    }

    fn evidence(&self, identity: &VmIdentity, tally: AnswerCounts) -> EvidenceRecord {
        EvidenceRecord {
            vm: identity.vm.clone(),
            incarnation: identity.incarnation,
            pool: self.order.pool.clone(),
            target: self.order.target.clone(),
            good: tally.good,
            bad: tally.bad,
            old: self.followers.values().fold(self.old_answers, |sum, evidence| sum + evidence.old),
            times: None,
        }
    }

    /// Returns the answers of the old version summed over all VMs that have reported them.
    fn total_old_answers(&self) -> AnswerCounts {
        let all = self.followers.values().chain(self.other_vms.values());
        all.fold(self.old_answers, |sum, evidence| sum + evidence.old)
    }

    /// Returns the answers of the new version summed over all VMs that have reported them.
    #[must_use]
    pub fn sum(&self) -> AnswerCounts {
        self.other_vms
            .values()
            .fold(self.answers_with_followers(), |sum, evidence| sum + evidence.tally)
    }

    /// Returns whether the new version has too many bad answers or is slower than the old one.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        let sum = self.sum();
        let allowed =
            Self::BAD_SHARE_LIMIT + 2.0 * (self.total_old_answers() + Self::OLD_PRIOR).bad_share();
        let fails = sum.bad >= Self::MIN_BAD_ANSWERS && sum.bad_share() > allowed.min(0.5);
        fails || self.pace.1.is_slow()
    }

    /// Returns whether the operator's time is over and the latencies have not shown that the new
    /// version is sound.
    #[must_use]
    pub fn is_unproven(&self, now: Millis) -> bool {
        let has_had_time =
            self.progress(now) >= 1.0 && self.fraction_since_raise(now) >= Self::PROOF_FRACTION;
        self.counts_times() && has_had_time && !self.pace.1.is_sound()
    }

    /// Returns the time since the share was last increased, as a fraction of the rollout's
    /// duration.
    fn fraction_since_raise(&self, now: Millis) -> f64 {
        now.since(self.raised).0 as f64 / self.order.duration.0.max(1) as f64
    }

    /// Returns whether the rollout can be completed: all sessions have been on the new version for
    /// long enough and the minimum time has passed.
    #[must_use]
    pub fn is_due(&self, now: Millis) -> bool {
        let is_raised = usize::from(self.stage) == Self::STAGES.len();
        let is_idle = is_raised && self.fraction_since_raise(now) >= Self::IDLE_FRACTION;
        self.state == RolloutState::Running
            && is_idle
            && self.progress(now) >= Self::COMPLETION_FRACTION
    }

    /// Returns the evidence to append to the store, if there are new bad answers or many more good
    /// ones. Good answers are reported too, as the number of bad answers means little without the
    /// total.
    pub fn report(&mut self, identity: &VmIdentity) -> Option<EvidenceRecord> {
        let tally = self.answers_with_followers();
        let has_grown = tally.good >= Self::REPORT_GROWTH * self.reported.good.max(1);
        if tally.bad <= self.reported.bad && !has_grown {
            return None;
        }
        self.reported = tally;
        let times = Some(self.latencies_with_followers()).filter(|times| !times.is_empty());
        Some(EvidenceRecord { times, ..self.evidence(identity, tally) })
    }

    /// Returns the record of the current state for the store.
    #[must_use]
    pub fn record(&self) -> RolloutRecord {
        RolloutRecord {
            pool: self.order.pool.clone(),
            target: self.order.target.clone(),
            state: self.state,
            stage: self.stage,
        }
    }
}
