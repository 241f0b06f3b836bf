//! One roll-out of a pool's software, as this entry VM sees it.
//!
//! The version that is brought in gets a small share of the sessions in the first part of the time
//! that the operator gave. That share is constant, so that no session changes its version back and
//! forth. If the evidence of all VMs speaks for the version, the share then rises to the whole,
//! and once the old servers are idle the roll-out is completed. If it speaks against it, the
//! version is withdrawn at once, here and, through the store, everywhere.

use super::*;

/// Which servers of a pool a request may run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSide {
    /// Those with the version that is brought in.
    New,
    /// The others.
    Old,
}

/// A roll-out.
#[derive(Clone, Debug)]
pub struct RolloutTrack {
    /// The order.
    pub order: RolloutOrder,
    /// When this VM learned of it.
    pub learned: Millis,
    /// From when sessions that are not known may run on the new version.
    pub opens: Millis,
    /// How far it is, as far as this VM knows.
    pub state: RolloutState,
    /// Whether the store has a record of the state.
    pub is_recorded: bool,
    own: AnswerTally,
    reported: AnswerTally,
    /// How long answers took in this stage, as this VM has seen it.
    times: SideTimes,
    /// When other VMs may be told of these times again.
    times_next: Millis,
    /// What the VMs have seen for which this one reads the store.
    followers: BTreeMap<(VmId, Incarnation), VersionEvidence>,
    others: BTreeMap<(VmId, Incarnation), VersionEvidence>,
    old: AnswerTally,
    /// How many times the share has been raised, by the store's records.
    stage: u8,
    raised: Millis,
    /// How the times of all VMs compare, and when they were last compared.
    pace: (Millis, PaceVerdict),
}

/// What another VM has seen.
#[derive(Clone, Debug, Default)]
struct VersionEvidence {
    tally: AnswerTally,
    old: AnswerTally,
    times: SideTimes,
}

impl VersionEvidence {
    fn take(&mut self, record: &EvidenceRecord) {
        self.tally = AnswerTally { good: record.good, bad: record.bad };
        self.old = record.old;
        let newer = record.times.as_ref().filter(|times| times.stage >= self.times.stage);
        if let Some(times) = newer {
            self.times.clone_from(times);
        }
    }
}

impl RolloutTrack {
    /// The part of the permitted exposure that is used before the version has proved itself; the
    /// rest is for the rise of the share and for VMs that hear of a withdrawal late.
    const TRIAL_PART: f64 = 0.75;
    /// How long a trial waits before it takes sessions that are not known: VMs tell each other every
    /// 100 ms of those under way, over three hops, and learn of the order within about as long.
    pub const SETTLE_MS: u64 = 1_000;
    /// The parts of the roll-out's time from which the share is raised, and its values. The first
    /// rise lies behind the middle, before which sessions may not change their version.
    const STAGES: [(f64, f64); 3] = [(0.56, 0.3), (0.62, 0.5), (0.70, 1.0)];
    /// The least part of the time between two rises: no more than one may rest on the same answers.
    const STAGE_PART: f64 = 0.05;
    /// The part of the time that a stage has at least to show that the version is sound.
    const PROOF_PART: f64 = 0.25;
    /// The stages in which the versions are compared by the times of their answers.
    const COMPARED_STAGES: u8 = 3;
    /// The pause between two comparisons.
    const COMPARE_PAUSE_MS: u64 = 100;
    /// The pause before other VMs are told of times again: they are some hundred bytes.
    const TIMES_PAUSE_MS: u64 = 400;
    /// The part of the time for which the old servers have had no new work before it is completed.
    const IDLE_PART: f64 = 0.12;
    /// The part of the time after which the roll-out is completed: the longest streams that
    /// started on the old version have ended by then.
    const COMPLETE_AT: f64 = 0.84;
    /// The bad answers from which a version may be withdrawn.
    const LEAST_BAD: u32 = 5;
    /// The share of bad answers from which a version is withdrawn, beyond twice the old one's.
    const BAD_SHARE: f64 = 0.15;
    /// The answers, one of them bad, that the old version is taken to have had before it was
    /// watched: a few good ones say little of its share.
    const OLD_PRIOR: AnswerTally = AnswerTally { good: 9, bad: 1 };
    /// The multiple of the good answers told last from which they are told again.
    const REPORT_GROWTH: u32 = 3;
    /// The multiple of the expected time to a first event from which an answer counts as bad, on
    /// either side: a bad version is several times slower, and so is an overloaded pool as a whole.
    const SLOW_PACE: u64 = 4;
    /// Added to an expectation, so that small ones do not make an answer slow.
    const SLOW_FLOOR_MS: u64 = 75;

    /// Returns a roll-out that this VM has just learned of.
    #[must_use]
    pub fn new(now: Millis, order: RolloutOrder) -> Self {
        Self {
            order,
            learned: now,
            opens: now,
            state: RolloutState::Running,
            is_recorded: false,
            own: AnswerTally { good: 0, bad: 0 },
            reported: AnswerTally { good: 0, bad: 0 },
            times: SideTimes::default(),
            times_next: now,
            followers: BTreeMap::new(),
            others: BTreeMap::new(),
            old: AnswerTally { good: 0, bad: 0 },
            stage: 0,
            raised: now,
            pace: (now, PaceVerdict::default()),
        }
    }

    /// Returns the part of the roll-out's time that has passed.
    #[must_use]
    pub fn progress(&self, now: Millis) -> f64 {
        now.since(self.learned).0 as f64 / self.order.duration.0.max(1) as f64
    }

    /// Returns the share of the sessions that run on the new version.
    #[must_use]
    pub fn share(&self, bounds: &GatewayBounds, servers: usize) -> f64 {
        match self.state {
            RolloutState::Completed => return 1.0,
            RolloutState::Withdrawn => return 0.0,
            RolloutState::Running => {}
        }
        match usize::from(self.stage).checked_sub(1) {
            None => bounds.exposure_share.get() * Self::TRIAL_PART / Self::trial_divisor(servers),
            Some(raised) => Self::STAGES[raised.min(Self::STAGES.len() - 1)].1,
        }
    }

    /// Returns whether sessions may not change to the new version yet.
    #[must_use]
    pub fn is_on_trial(&self) -> bool {
        self.state == RolloutState::Running && self.stage == 0
    }

    /// Returns by how much the trial of a large pool is smaller: its requests are many, and a few a
    /// second tell enough. In steps of two, so that VMs that count a few servers more or less agree.
    fn trial_divisor(servers: usize) -> f64 {
        const SMALL_POOL: usize = 16;
        let steps = (servers / SMALL_POOL).checked_ilog2().unwrap_or(0);
        f64::from(1_u32 << steps)
    }

    /// Returns whether nothing more happens: the store has a record of how it ended.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        self.state.is_final() && self.is_recorded
    }

    /// Takes in a stage that the store has a record of.
    pub fn raise(&mut self, now: Millis, stage: u8) {
        if stage > self.stage {
            self.stage = stage;
            self.raised = now;
            self.times = SideTimes::of_stage(stage);
            self.times_next = now;
            self.pace = (now, PaceVerdict::default());
        }
    }

    /// Returns the next stage, if its time has come and the answers speak for the version.
    #[must_use]
    pub fn due_stage(&self, now: Millis) -> Option<u8> {
        let (from, _) = Self::STAGES.get(usize::from(self.stage))?;
        let is_running = self.state == RolloutState::Running;
        let is_proven = !self.is_compared() || self.pace.1.is_sound();
        let is_due = self.progress(now) >= *from && self.rested(now) >= Self::STAGE_PART;
        (is_running && is_proven && is_due).then_some(self.stage + 1)
    }

    /// Returns whether the versions are compared by how long their answers take: as long as the new
    /// one has at most half of the work, so that it is not slower for having more to do.
    const fn is_compared(&self) -> bool {
        self.stage < Self::COMPARED_STAGES
    }

    /// Returns whether an answer's time is to be counted.
    #[must_use]
    pub const fn counts_times(&self) -> bool {
        matches!(self.state, RolloutState::Running) && self.is_compared()
    }

    /// Counts how long an answer took.
    pub fn count_time(&mut self, side: VersionSide, kind: WorkKind, took: Millis) {
        self.times.add(side, kind, took);
    }

    /// Returns the part of the old version's answers of a kind that took less time.
    #[must_use]
    pub fn rank(&self, kind: WorkKind, took: Millis) -> Option<f64> {
        self.sum_times().old.rank(kind, took)
    }

    /// Compares the times of all VMs anew, if that was not done lately.
    pub fn compare(&mut self, now: Millis) -> PaceVerdict {
        let (at, verdict) = self.pace;
        if !self.counts_times() || now.since(at).0 < Self::COMPARE_PAUSE_MS {
            return verdict;
        }
        let verdict = self.sum_times().verdict();
        self.pace = (now, verdict);
        verdict
    }

    /// Returns how the versions compared last.
    #[must_use]
    pub const fn pace(&self) -> PaceVerdict {
        self.pace.1
    }

    /// Returns how long answers took in this stage, as far as is known of all VMs.
    fn sum_times(&self) -> SideTimes {
        let mut sum = self.times.clone();
        for evidence in self.followers.values().chain(self.others.values()) {
            sum.add_all(&evidence.times);
        }
        sum
    }

    /// Returns the side on which a session's requests run; the same on every VM.
    #[must_use]
    pub fn side(&self, bounds: &GatewayBounds, servers: usize, session: u64) -> VersionSide {
        let is_new = Self::place(session) < self.share(bounds, servers);
        if is_new { VersionSide::New } else { VersionSide::Old }
    }

    /// Returns whether a session is among those of which a trial of any pool takes some.
    #[must_use]
    pub fn may_try(bounds: &GatewayBounds, session: u64) -> bool {
        Self::place(session) < bounds.exposure_share.get() * Self::TRIAL_PART
    }

    /// Returns a session's place between 0 and 1.
    fn place(session: u64) -> f64 {
        const STEPS: u64 = 10_000;
        (session % STEPS) as f64 / STEPS as f64
    }

    /// Returns whether the first event of an answer came too late.
    #[must_use]
    pub const fn is_slow(first_event: Millis, expected: Millis) -> bool {
        first_event.0 > (expected.0 + Self::SLOW_FLOOR_MS) * Self::SLOW_PACE
    }

    /// Counts an answer.
    pub fn count(&mut self, side: VersionSide, is_bad: bool) {
        match side {
            VersionSide::New => self.own.count(is_bad),
            VersionSide::Old => self.old.count(is_bad),
        }
    }

    /// Takes in what another VM has seen.
    pub fn take(&mut self, evidence: &EvidenceRecord) {
        if evidence.target != self.order.target {
            return;
        }
        let key = (evidence.vm.clone(), evidence.incarnation);
        self.followers.remove(&key);
        self.others.entry(key).or_default().take(evidence);
    }

    /// Takes in what a VM has seen for which this one reads the store.
    pub fn take_follower(&mut self, evidence: &EvidenceRecord) {
        if evidence.target == self.order.target {
            let key = (evidence.vm.clone(), evidence.incarnation);
            self.others.remove(&key);
            self.followers.entry(key).or_default().take(evidence);
        }
    }

    /// Returns what this VM and its followers have seen, if that is anything.
    #[must_use]
    pub fn own_evidence(&mut self, now: Millis, identity: &VmIdentity) -> Option<EvidenceRecord> {
        let (gathered, times) = (self.gathered(), self.due_times(now));
        let has_any = !self.is_over() && (gathered != AnswerTally::default() || times.is_some());
        has_any.then(|| EvidenceRecord { times, ..self.evidence(identity, gathered) })
    }

    /// Returns the times of this VM's answers and its followers', if others are to be told now.
    fn due_times(&mut self, now: Millis) -> Option<SideTimes> {
        if !self.counts_times() || now < self.times_next {
            return None;
        }
        self.times_next = now + Millis(Self::TIMES_PAUSE_MS);
        let times = self.gathered_times();
        (!times.is_empty()).then_some(times)
    }

    fn gathered_times(&self) -> SideTimes {
        let mut sum = self.times.clone();
        self.followers.values().for_each(|evidence| sum.add_all(&evidence.times));
        sum
    }

    /// Returns what this VM and its followers have seen.
    fn gathered(&self) -> AnswerTally {
        self.followers.values().fold(self.own, |sum, evidence| sum + evidence.tally)
    }

    fn evidence(&self, identity: &VmIdentity, tally: AnswerTally) -> EvidenceRecord {
        EvidenceRecord {
            vm: identity.vm.clone(),
            incarnation: identity.incarnation,
            pool: self.order.pool.clone(),
            target: self.order.target.clone(),
            good: tally.good,
            bad: tally.bad,
            old: self.followers.values().fold(self.old, |sum, evidence| sum + evidence.old),
            times: None,
        }
    }

    /// Returns what all VMs have seen of the old version, as far as is known.
    fn sum_old(&self) -> AnswerTally {
        let all = self.followers.values().chain(self.others.values());
        all.fold(self.old, |sum, evidence| sum + evidence.old)
    }

    /// Returns what all VMs have seen, as far as is known.
    #[must_use]
    pub fn sum(&self) -> AnswerTally {
        self.others.values().fold(self.gathered(), |sum, evidence| sum + evidence.tally)
    }

    /// Returns whether the evidence speaks against the version.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        let sum = self.sum();
        let allowed = Self::BAD_SHARE + 2.0 * (self.sum_old() + Self::OLD_PRIOR).bad_share();
        let fails = sum.bad >= Self::LEAST_BAD && sum.bad_share() > allowed.min(0.5);
        fails || self.pace.1.is_slow()
    }

    /// Returns whether the operator's time is over and nothing has shown that the version is sound.
    #[must_use]
    pub fn is_unproven(&self, now: Millis) -> bool {
        let had_time = self.progress(now) >= 1.0 && self.rested(now) >= Self::PROOF_PART;
        self.counts_times() && had_time && !self.pace.1.is_sound()
    }

    /// Returns the part of the roll-out's time that has passed since its share was last raised.
    fn rested(&self, now: Millis) -> f64 {
        now.since(self.raised).0 as f64 / self.order.duration.0.max(1) as f64
    }

    /// Returns whether the version has replaced the old one for long enough.
    #[must_use]
    pub fn is_due(&self, now: Millis) -> bool {
        let is_raised = usize::from(self.stage) == Self::STAGES.len();
        let is_idle = is_raised && self.rested(now) >= Self::IDLE_PART;
        self.state == RolloutState::Running && is_idle && self.progress(now) >= Self::COMPLETE_AT
    }

    /// Returns the evidence to tell the other VMs, if there are new bad answers or many more good
    /// ones: bad answers mean little to those who do not know how many were good.
    pub fn report(&mut self, identity: &VmIdentity) -> Option<EvidenceRecord> {
        let gathered = self.gathered();
        let has_grown = gathered.good >= Self::REPORT_GROWTH * self.reported.good.max(1);
        if gathered.bad <= self.reported.bad && !has_grown {
            return None;
        }
        self.reported = gathered;
        let times = Some(self.gathered_times()).filter(|times| !times.is_empty());
        Some(EvidenceRecord { times, ..self.evidence(identity, gathered) })
    }

    /// Returns the state's record for the store.
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
