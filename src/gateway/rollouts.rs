//! Coordinating rollouts between the entry VMs.
//!
//! There is no leader. Each VM acts on the records in the store, and any VM may append the next
//! record when it is due. An append is conditional: the stream must still end at the offset up to
//! which the VM has read it. If two VMs append at the same time, one of the appends fails and that
//! VM reads the stream first. No record follows a final one.

use super::*;

impl Gateway {
    /// Upper bound of the delay before a VM appends a record. Each VM has a fixed delay of its own,
    /// so that not all of them append the same record at once.
    const APPEND_JITTER_MS: u64 = 600;
    /// Minimum time between two evidence records of this VM.
    const EVIDENCE_INTERVAL_MS: u64 = 400;
    /// Long-poll timeout for reads of the rollout and evidence streams.
    const ROLLOUT_POLL_TIMEOUT_MS: u64 = 10_000;

    /// Returns which side of the pool's rollout a request runs on, and the software versions that
    /// this allows. Without a rollout the side is `None` and any version is allowed.
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

    pub(super) fn apply_order(&mut self, now: Millis, order: &RolloutOrder) {
        let known = self.rollouts.get(&order.pool);
        if known.is_some_and(|known| known.order == *order) {
            return;
        }
        let (pool, target) = (&order.pool, &order.target);
        tracing::info!(%pool, %target, duration_ms = order.duration.0, "rollout ordered");
        let mut track = RolloutTrack::new(now, order.clone());
        if self.knows_all() {
            track.opens = now + Millis(RolloutTrack::SETTLE_MS);
        }
        self.rollouts.insert(order.pool.clone(), track);
        self.hold_sessions(now, target);
        self.read_rollout_streams();
    }

    /// Starts reading the rollout and evidence streams if a rollout is in progress and this VM
    /// reads the store itself.
    pub(super) fn read_rollout_streams(&mut self) {
        let is_following = self.access.current == StoreUse::Follows;
        if !is_following || self.rollouts.values().all(RolloutTrack::is_over) {
            return;
        }
        for stream in [StoreStream::Rollouts, StoreStream::Evidence] {
            let wait = Millis(Self::ROLLOUT_POLL_TIMEOUT_MS);
            let feed = || StoreFeed::new(stream, wait, Millis(0));
            self.feeds.entry(stream).or_insert_with(feed);
        }
        self.rollout_end = self.feeds[&StoreStream::Rollouts].end();
    }

    pub(super) fn apply_rollout(&mut self, now: Millis, record: &RolloutRecord) {
        let Some(track) = self.rollouts.get_mut(&record.pool) else { return };
        if track.order.target != record.target {
            return;
        }
        if track.state.is_final() && (track.is_recorded || !record.state.is_final()) {
            return;
        }
        // The first final record is binding for all VMs, also for those that had reached another
        // conclusion.
        track.is_recorded = true;
        track.raise(now, record.stage);
        if record.state != track.state {
            let (pool, target, state) = (&record.pool, &record.target, record.state);
            tracing::info!(
                %pool,
                %target,
                ?state,
                "rollout state changed by a record in the store"
            );
            track.state = record.state;
        }
        self.release_sessions();
        self.stop_rollout_feeds();
    }

    /// Stops reading the rollout and evidence streams once every rollout has ended.
    fn stop_rollout_feeds(&mut self) {
        if self.rollouts.values().all(RolloutTrack::is_over) {
            self.feeds.remove(&StoreStream::Rollouts);
            self.feeds.remove(&StoreStream::Evidence);
        }
    }

    pub(super) fn apply_evidence(&mut self, evidence: &EvidenceRecord) {
        let is_own =
            evidence.vm == self.identity.vm && evidence.incarnation == self.identity.incarnation;
        let Some(track) = self.rollouts.get_mut(&evidence.pool) else { return };
        if !is_own {
            track.update_evidence(evidence);
        }
    }

    /// Counts a stream that has sent its first event as good or bad, by the time to that event.
    pub(super) fn count_first_event(&mut self, pool: &PoolId, run: &RunRecord, took: Millis) {
        let Some(track) = self.rollouts.get_mut(pool) else { return };
        let Some(side) = run.side else { return };
        // When the whole pool is overloaded, both sides are slow. Good answers are counted here
        // too, not when the stream ends, as they would otherwise be counted later than the slow
        // ones.
        let is_slow = RolloutTrack::is_slow(took, run.expected);
        // A server that is still warming up is slow whatever its version.
        if !(is_slow && run.is_cold) {
            track.count(side, is_slow);
        }
    }

    /// Records the latency of an answer for the comparison of the versions. `is_whole` is false if
    /// the caller disconnected first; `took` is then a lower bound.
    pub(super) fn record_latency(
        &mut self,
        request: RequestNumber,
        run: &RunRecord,
        measure: LatencyMeasure,
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
        // The full latency would have been longer. A lower bound in the faster half of the old
        // version's answers is no evidence either way.
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
            "answer latency compared for a rollout"
        );
    }

    /// Records the latency so far of an open run whose caller has disconnected.
    pub(super) fn record_disconnect_latency(&mut self, now: Millis, request: RequestNumber) {
        let run = self.requests.get(&request).and_then(RoutedRequest::open_run);
        let Some(run) = run.cloned() else { return };
        let took = now.since(run.started);
        if run.stage == RunStage::Waiting {
            self.record_latency(request, &run, LatencyMeasure::First, took, false);
        }
        self.record_latency(request, &run, LatencyMeasure::Whole, took, false);
    }

    /// Counts a finished run as a good or bad answer of its version. Runs that never started and
    /// cancelled runs do not count, and neither does a stream that was counted at its first event.
    pub(super) fn count_outcome(&mut self, pool: &PoolId, run: &RunRecord, outcome: &RunOutcome) {
        let Some(track) = self.rollouts.get_mut(pool) else { return };
        let Some(side) = run.side else { return };
        match outcome {
            RunOutcome::Whole { .. } if run.stage == RunStage::Begun => {}
            RunOutcome::Whole { head } => track.count(side, head.status >= 500),
            RunOutcome::Broken {
                fault: AttemptFault::Cancelled | AttemptFault::OutOfMemory,
                ..
            }
            | RunOutcome::NotRun { .. } => {}
            RunOutcome::Broken { .. } => track.count(side, true),
        }
    }

    /// Counts a broken run against the version of its server.
    pub(super) fn count_broken(&mut self, pool: &PoolId, side: Option<VersionSide>) {
        if let Some((track, side)) = self.rollouts.get_mut(pool).zip(side) {
            track.count(side, true);
        }
    }

    /// Advances every rollout: withdraws failing versions, appends due records and reports
    /// evidence.
    pub(super) fn advance_rollouts(&mut self, now: Millis) {
        let pools: Vec<PoolId> = self.rollouts.keys().cloned().collect();
        for pool in pools {
            self.advance_rollout(now, &pool);
        }
    }

    /// Withdraws the new version of a pool if the evidence is against it.
    fn withdraw_failing(&mut self, now: Millis, pool: &PoolId) {
        // A VM that gets its records from another VM sees too few answers to decide. It receives
        // the record of a withdrawal instead.
        let reads_rollouts = self.feeds.contains_key(&StoreStream::Rollouts);
        let has_source = self.relay.source.is_some();
        let Some(track) = self.rollouts.get_mut(pool).filter(|_| reads_rollouts || !has_source)
        else {
            return;
        };
        track.compare(now);
        let is_unproven = reads_rollouts && track.is_unproven(now);
        if track.state != RolloutState::Running || !(track.is_bad() || is_unproven) {
            return;
        }
        let (sum, target, pace) = (track.sum(), &track.order.target, track.pace());
        let AnswerCounts { good, bad } = sum;
        tracing::warn!(%pool, %target, good, bad, %pace, is_unproven, "new version withdrawn");
        track.state = RolloutState::Withdrawn;
        track.is_recorded = false;
        self.release_sessions();
    }

    fn advance_rollout(&mut self, now: Millis, pool: &PoolId) {
        self.withdraw_failing(now, pool);
        let delay = Millis(xxh3_64(self.identity.vm.as_str().as_bytes()) % Self::APPEND_JITTER_MS);
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
        let has_source = self.relay.source.is_some();
        let evidence = if is_final || has_source || now < self.evidence_next {
            None
        } else {
            track.report(&self.identity)
        };
        if let Some(evidence) = evidence {
            self.evidence_next = now + Millis(Self::EVIDENCE_INTERVAL_MS);
            self.emit(GatewayCommand::Append { record: StoreRecord::Evidence(evidence), at: None });
        }
        if let Some(record) = record {
            self.append_rollout(now, record);
        }
    }

    /// Appends a rollout record, unless an append is in flight or the end of the stream is unknown.
    fn append_rollout(&mut self, now: Millis, record: RolloutRecord) {
        /// Time after which an append without a response is retried.
        const RETRY_MS: u64 = 1_500;
        if self.rollout_append.is_some_and(|sent| now.since(sent).0 < RETRY_MS) {
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
                "appending rollout record"
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
                tracing::warn!(%error, "failed to append rollout evidence");
            }
            return;
        };
        let (pool, state) = (&record.pool, record.state);
        match result {
            Ok(end) => {
                tracing::info!(
                    %pool,
                    ?state,
                    stage = record.stage,
                    end = end.0,
                    "rollout record appended"
                );
                self.rollout_append = None;
                self.rollout_end = Some(*end);
                self.apply_rollout(now, record);
            }
            Err(StoreError::Moved { end }) => {
                tracing::info!(
                    %pool,
                    ?state,
                    end = end.0,
                    "another VM appended a rollout record first; reading it"
                );
                self.rollout_append = None;
                self.rollout_end = None;
                if let Some(feed) = self.feeds.get_mut(&StoreStream::Rollouts) {
                    feed.hurry(now);
                }
            }
            Err(error) => tracing::warn!(%pool, ?state, %error, "failed to append rollout record"),
        }
    }
}
