//! Leading roll-outs together with the other entry VMs.
//!
//! No VM is in charge. Each one acts on the records in the store, and any of them appends the next
//! record when it is due, on the condition that the stream still ends where it has read it to: of
//! two that try at once, one is told to read on. A final record is never followed by another.

use super::*;

impl Gateway {
    /// The longest time that VMs wait, each a time of its own, before they append the same record.
    const SPREAD_MS: u64 = 600;
    /// The time between two records of evidence.
    const EVIDENCE_PAUSE_MS: u64 = 400;
    /// How long the store may wait for a record of a roll-out.
    const ROLLOUT_WAIT_MS: u64 = 10_000;

    /// Returns the software that a request may run on.
    pub(super) fn software_rule(
        &self,
        now: Millis,
        state: &RoutedRequest,
    ) -> (Option<VersionSide>, SoftwareRule) {
        let Some(track) = self.rollouts.get(&state.pool) else { return (None, SoftwareRule::Any) };
        let target = track.order.target.clone();
        let side = self.session_side(now, state, track);
        let has = |rule: &SoftwareRule| {
            self.servers.open(&state.pool).any(|server| rule.allows(&server.entry.software))
        };
        let (new, old) = (SoftwareRule::Only(target.clone()), SoftwareRule::Not(target));
        match side {
            VersionSide::New if has(&new) => (Some(VersionSide::New), new),
            VersionSide::New => (Some(VersionSide::Old), old),
            VersionSide::Old if has(&old) || track.state == RolloutState::Withdrawn => {
                (Some(VersionSide::Old), old)
            }
            VersionSide::Old => (Some(VersionSide::New), new),
        }
    }

    pub(super) fn take_order(&mut self, now: Millis, order: &RolloutOrder) {
        let known = self.rollouts.get(&order.pool);
        if known.is_some_and(|known| known.order == *order) {
            return;
        }
        let (pool, target) = (&order.pool, &order.target);
        tracing::info!(%pool, %target, duration_ms = order.duration.0, "roll-out ordered");
        let mut track = RolloutTrack::new(now, order.clone());
        if self.knows_all() {
            track.opens = now + Millis(RolloutTrack::SETTLE_MS);
        }
        self.rollouts.insert(order.pool.clone(), track);
        self.hold_sessions(now, target);
        self.follow_rollouts();
    }

    /// Follows the records of roll-outs, if one is under way and this VM follows the store.
    pub(super) fn follow_rollouts(&mut self) {
        let is_following = self.access.current == StoreUse::Follows;
        if !is_following || self.rollouts.values().all(RolloutTrack::is_over) {
            return;
        }
        for stream in [StoreStream::Rollouts, StoreStream::Evidence] {
            let wait = Millis(Self::ROLLOUT_WAIT_MS);
            let feed = || StoreFeed::new(stream, wait, Millis(0));
            self.feeds.entry(stream).or_insert_with(feed);
        }
        self.rollout_end = self.feeds[&StoreStream::Rollouts].end();
    }

    pub(super) fn take_rollout(&mut self, now: Millis, record: &RolloutRecord) {
        let Some(track) = self.rollouts.get_mut(&record.pool) else { return };
        if track.order.target != record.target {
            return;
        }
        if track.state.is_final() && (track.is_recorded || !record.state.is_final()) {
            return;
        }
        // The first final record binds all VMs, those included that came to another conclusion.
        track.is_recorded = true;
        track.raise(now, record.stage);
        if record.state != track.state {
            let (pool, target, state) = (&record.pool, &record.target, record.state);
            tracing::info!(%pool, %target, ?state, "roll-out moved on by the store's record");
            track.state = record.state;
        }
        self.release_sessions();
        self.stop_feeds();
    }

    /// Stops following the records of roll-outs once all have ended.
    fn stop_feeds(&mut self) {
        if self.rollouts.values().all(RolloutTrack::is_over) {
            self.feeds.remove(&StoreStream::Rollouts);
            self.feeds.remove(&StoreStream::Evidence);
        }
    }

    pub(super) fn take_evidence(&mut self, evidence: &EvidenceRecord) {
        let is_own =
            evidence.vm == self.identity.vm && evidence.incarnation == self.identity.incarnation;
        let Some(track) = self.rollouts.get_mut(&evidence.pool) else { return };
        if !is_own {
            track.take(evidence);
        }
    }

    /// Counts a stream that has begun, by how long it took to its first event.
    pub(super) fn note_pace(&mut self, pool: &PoolId, run: &RunTrack, took: Millis) {
        let Some(track) = self.rollouts.get_mut(pool) else { return };
        let Some(side) = run.side else { return };
        // Servers that are all overloaded are slow on both sides. Good and slow answers are both
        // counted now, since good ones that are counted at their end would lag behind.
        track.count(side, RolloutTrack::is_slow(took, run.expected));
    }

    /// Counts how long an answer took, or how long at least if its caller has gone.
    pub(super) fn note_time(
        &mut self,
        request: RequestNumber,
        run: &RunTrack,
        measure: PaceMeasure,
        took: Millis,
        is_whole: bool,
    ) {
        let Some(state) = self.requests.get(&request) else { return };
        let Some(track) = self.rollouts.get_mut(&state.pool) else { return };
        let is_compared = track.counts_times() && !run.is_cold;
        let Some(side) = run.side.filter(|_| is_compared) else { return };
        let kind = WorkKind::of(&state.route.name, run.model.as_ref(), measure);
        if side == VersionSide::Old && is_whole {
            track.count_time(side, kind, took);
            return;
        }
        let rank = track.rank(kind, took);
        // The whole time would have been longer, so that a small part of it shows nothing.
        let counts = is_whole || rank.is_some_and(|rank| rank > 0.5);
        if counts {
            track.count_time(side, kind, took);
        }
        tracing::info!(
            request = request.0,
            attempt = run.attempt.0,
            ?side,
            ?measure,
            took_ms = took.0,
            rank,
            counts,
            "answer compared for a roll-out"
        );
    }

    /// Counts how long a run has taken whose caller has gone.
    pub(super) fn note_left(&mut self, now: Millis, request: RequestNumber) {
        let run = self.requests.get(&request).and_then(RoutedRequest::open_run);
        let Some(run) = run.cloned() else { return };
        let took = now.since(run.started);
        if run.stage == RunStage::Waiting {
            self.note_time(request, &run, PaceMeasure::First, took, false);
        }
        self.note_time(request, &run, PaceMeasure::Whole, took, false);
    }

    /// Counts an answer for or against its version.
    pub(super) fn note_evidence(&mut self, pool: &PoolId, run: &RunTrack, outcome: &RunOutcome) {
        let Some(track) = self.rollouts.get_mut(pool) else { return };
        let Some(side) = run.side else { return };
        match outcome {
            RunOutcome::Whole { .. } if run.stage == RunStage::Begun => {}
            RunOutcome::Whole { head } => track.count(side, head.status >= 500),
            RunOutcome::Broken { fault: AttemptFault::Cancelled, .. }
            | RunOutcome::NotRun { .. } => {}
            RunOutcome::Broken { .. } => track.count(side, true),
        }
    }

    /// Withdraws bad versions, completes good ones and tells the other VMs.
    pub(super) fn lead_rollouts(&mut self, now: Millis) {
        let pools: Vec<PoolId> = self.rollouts.keys().cloned().collect();
        for pool in pools {
            self.lead_rollout(now, &pool);
        }
    }

    /// Withdraws a version that the evidence speaks against.
    fn withdraw_bad(&mut self, now: Millis, pool: &PoolId) {
        // A VM that follows another one knows too few answers, and is told of the record.
        let is_leading = self.feeds.contains_key(&StoreStream::Rollouts);
        let has_source = self.relay.source.is_some();
        let Some(track) = self.rollouts.get_mut(pool).filter(|_| is_leading || !has_source) else {
            return;
        };
        track.compare(now);
        let is_unproven = is_leading && track.is_unproven(now);
        if track.state != RolloutState::Running || !(track.is_bad() || is_unproven) {
            return;
        }
        let (sum, target, pace) = (track.sum(), &track.order.target, track.pace());
        let AnswerTally { good, bad } = sum;
        tracing::warn!(%pool, %target, good, bad, %pace, is_unproven, "version withdrawn");
        track.state = RolloutState::Withdrawn;
        track.is_recorded = false;
        self.release_sessions();
    }

    fn lead_rollout(&mut self, now: Millis, pool: &PoolId) {
        self.withdraw_bad(now, pool);
        let delay = Millis(xxh3_64(self.identity.vm.as_str().as_bytes()) % Self::SPREAD_MS);
        let Some(track) = self.rollouts.get_mut(pool) else { return };
        let is_final = track.state.is_final();
        let is_due = track.is_due(now.since(delay));
        let is_new = !track.is_recorded && now.since(track.learned) >= delay;
        let due_stage = track.due_stage(now.since(delay));
        let record = if is_due {
            Some(RolloutRecord { state: RolloutState::Completed, ..track.record() })
        } else if let Some(stage) = due_stage.filter(|_| track.is_recorded) {
            Some(RolloutRecord { stage, ..track.record() })
        } else if is_new {
            Some(track.record())
        } else {
            None
        };
        let is_told_by_source = self.relay.source.is_some();
        let evidence = if is_final || is_told_by_source || now < self.evidence_next {
            None
        } else {
            track.report(&self.identity)
        };
        if let Some(evidence) = evidence {
            self.evidence_next = now + Millis(Self::EVIDENCE_PAUSE_MS);
            self.emit(GatewayCommand::Append { record: StoreRecord::Evidence(evidence), at: None });
        }
        if let Some(record) = record {
            self.append_rollout(now, record);
        }
    }

    /// Appends a record of a roll-out, unless an append is under way or the stream's end is unknown.
    fn append_rollout(&mut self, now: Millis, record: RolloutRecord) {
        /// The time after which an append without an answer is tried again.
        const AGAIN_MS: u64 = 1_500;
        if self.rollout_append.is_some_and(|sent| now.since(sent).0 < AGAIN_MS) {
            return;
        }
        let is_reading = self.feeds.contains_key(&StoreStream::Rollouts);
        let Some(at) = self.rollout_end.filter(|_| is_reading) else { return };
        if let Some(track) = self.rollouts.get(&record.pool) {
            let (sum, pace) = (track.sum(), track.pace());
            tracing::info!(
                pool = %record.pool,
                target = %record.target,
                state = ?record.state,
                stage = record.stage,
                good = sum.good,
                bad = sum.bad,
                %pace,
                "roll-out to be recorded"
            );
        }
        self.rollout_append = Some(now);
        self.emit(GatewayCommand::Append { record: StoreRecord::Rollout(record), at: Some(at) });
    }

    pub(super) fn on_appended(
        &mut self,
        now: Millis,
        record: &StoreRecord,
        result: &Result<Offset, StoreError>,
    ) {
        let StoreRecord::Rollout(record) = record else {
            if let Err(error) = result {
                tracing::warn!(%error, "evidence not told");
            }
            return;
        };
        let (pool, state) = (&record.pool, record.state);
        match result {
            Ok(end) => {
                tracing::info!(%pool, ?state, stage = record.stage, end = end.0, "roll-out recorded");
                self.rollout_append = None;
                self.rollout_end = Some(*end);
                self.take_rollout(now, record);
            }
            Err(StoreError::Moved { end }) => {
                tracing::info!(%pool, ?state, end = end.0, "another VM recorded the roll-out");
                self.rollout_append = None;
                self.rollout_end = None;
                if let Some(feed) = self.feeds.get_mut(&StoreStream::Rollouts) {
                    feed.hurry(now);
                }
            }
            Err(error) => tracing::warn!(%pool, ?state, %error, "roll-out not recorded"),
        }
    }
}
