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
    /// How far it is, as far as this VM knows.
    pub state: RolloutState,
    /// Whether the store has a record of the state.
    pub is_recorded: bool,
    own: AnswerTally,
    reported: u32,
    /// What the VMs have seen for which this one reads the store.
    followers: BTreeMap<(VmId, Incarnation), AnswerTally>,
    others: BTreeMap<(VmId, Incarnation), AnswerTally>,
    old: AnswerTally,
    old_pace: f64,
}

impl RolloutTrack {
    /// The part of the permitted exposure that is used before the version has proved itself; the
    /// rest is for the rise of the share and for VMs that hear of a withdrawal late.
    const TRIAL_PART: f64 = 0.55;
    /// The parts of the roll-out's time from which the share has these values. The first rise lies
    /// behind the middle, before which sessions may not change their version.
    const STEPS: [(f64, f64); 3] = [(0.56, 0.3), (0.62, 0.6), (0.67, 1.0)];
    /// The part of the time after which the roll-out is completed: the longest streams that
    /// started on the old version have ended by then.
    const COMPLETE_AT: f64 = 0.84;
    /// The bad answers from which a version may be withdrawn.
    const LEAST_BAD: u32 = 4;
    /// The share of bad answers from which a version is withdrawn, beyond twice the old one's.
    const BAD_SHARE: f64 = 0.15;
    /// The multiple of the old version's pace from which an answer counts as bad.
    const SLOW_PACE: f64 = 3.5;
    /// The time to the first event below which no answer counts as slow.
    const SLOW_LEAST_MS: u64 = 300;
    /// The weight of the newest pace in its mean.
    const PACE_WEIGHT: f64 = 0.05;

    /// Returns a roll-out that this VM has just learned of.
    #[must_use]
    pub const fn new(now: Millis, order: RolloutOrder) -> Self {
        Self {
            order,
            learned: now,
            state: RolloutState::Running,
            is_recorded: false,
            own: AnswerTally { good: 0, bad: 0 },
            reported: 0,
            followers: BTreeMap::new(),
            others: BTreeMap::new(),
            old: AnswerTally { good: 0, bad: 0 },
            old_pace: 1.0,
        }
    }

    /// Returns the part of the roll-out's time that has passed.
    #[must_use]
    pub fn progress(&self, now: Millis) -> f64 {
        now.since(self.learned).0 as f64 / self.order.duration.0.max(1) as f64
    }

    /// Returns the share of the sessions that run on the new version.
    #[must_use]
    pub fn share(&self, now: Millis, bounds: &GatewayBounds) -> f64 {
        match self.state {
            RolloutState::Completed => return 1.0,
            RolloutState::Withdrawn => return 0.0,
            RolloutState::Running => {}
        }
        let progress = self.progress(now);
        let trial = bounds.exposure_share.get() * Self::TRIAL_PART;
        let steps = Self::STEPS.iter().rev();
        let step = steps.clone().find(|(from, _)| progress >= *from);
        step.map_or(trial, |(_, share)| *share)
    }

    /// Returns the side on which a session's requests run; the same on every VM.
    #[must_use]
    pub fn side(&self, now: Millis, bounds: &GatewayBounds, session: u64) -> VersionSide {
        const STEPS: u64 = 10_000;
        let place = (session % STEPS) as f64 / STEPS as f64;
        if place < self.share(now, bounds) { VersionSide::New } else { VersionSide::Old }
    }

    /// Returns whether an answer of the new version is slow against those of the old one.
    #[must_use]
    pub fn is_slow(&self, first_event: Millis, expected: Millis) -> bool {
        let pace = Self::pace(first_event, expected);
        first_event.0 > Self::SLOW_LEAST_MS && pace > self.old_pace * Self::SLOW_PACE
    }

    /// Notes how long the old version took to its first event.
    pub fn note_old_pace(&mut self, first_event: Millis, expected: Millis) {
        let pace = Self::pace(first_event, expected).min(Self::SLOW_PACE);
        self.old_pace += (pace - self.old_pace) * Self::PACE_WEIGHT;
    }

    fn pace(first_event: Millis, expected: Millis) -> f64 {
        /// Added to an expectation, so that the pace of tiny ones does not swing.
        const FLOOR_MS: f64 = 50.0;
        first_event.0 as f64 / (expected.0 as f64 + FLOOR_MS)
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
        let tally = AnswerTally { good: evidence.good, bad: evidence.bad };
        self.others.insert((evidence.vm.clone(), evidence.incarnation), tally);
    }

    /// Takes in what a VM has seen for which this one reads the store.
    pub fn take_follower(&mut self, evidence: &EvidenceRecord) {
        if evidence.target == self.order.target {
            let tally = AnswerTally { good: evidence.good, bad: evidence.bad };
            self.followers.insert((evidence.vm.clone(), evidence.incarnation), tally);
        }
    }

    /// Returns what this VM has seen, if it has seen anything bad.
    #[must_use]
    pub fn own_evidence(&self, identity: &VmIdentity) -> Option<EvidenceRecord> {
        let is_over = self.state.is_final() && self.is_recorded;
        let has_any = !is_over && self.own.bad > 0;
        has_any.then(|| self.evidence(identity, self.own))
    }

    /// Returns what this VM and its followers have seen.
    fn gathered(&self) -> AnswerTally {
        self.followers.values().fold(self.own, |sum, tally| sum + *tally)
    }

    fn evidence(&self, identity: &VmIdentity, tally: AnswerTally) -> EvidenceRecord {
        EvidenceRecord {
            vm: identity.vm.clone(),
            incarnation: identity.incarnation,
            pool: self.order.pool.clone(),
            target: self.order.target.clone(),
            good: tally.good,
            bad: tally.bad,
        }
    }

    /// Returns what all VMs have seen, as far as is known.
    #[must_use]
    pub fn sum(&self) -> AnswerTally {
        self.others.values().fold(self.gathered(), |sum, tally| sum + *tally)
    }

    /// Returns whether the evidence speaks against the version.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        let sum = self.sum();
        let allowed = Self::BAD_SHARE + 2.0 * self.old.bad_share();
        sum.bad >= Self::LEAST_BAD && sum.bad_share() > allowed.min(0.5)
    }

    /// Returns whether the version has replaced the old one for long enough.
    #[must_use]
    pub fn is_due(&self, now: Millis) -> bool {
        self.state == RolloutState::Running && self.progress(now) >= Self::COMPLETE_AT
    }

    /// Returns the evidence to tell the other VMs, if there are new bad answers.
    pub fn report(&mut self, identity: &VmIdentity) -> Option<EvidenceRecord> {
        let gathered = self.gathered();
        if gathered.bad <= self.reported {
            return None;
        }
        self.reported = gathered.bad;
        Some(self.evidence(identity, gathered))
    }

    /// Returns the state's record for the store.
    #[must_use]
    pub fn record(&self) -> RolloutRecord {
        RolloutRecord {
            pool: self.order.pool.clone(),
            target: self.order.target.clone(),
            state: self.state,
        }
    }
}
