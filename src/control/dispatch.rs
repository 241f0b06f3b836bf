use super::*;

/// The result of the check whether a queued request may start now.
#[derive(Debug)]
enum StartCheck {
    /// It may start on this server.
    Ready(Box<ChosenServer>),
    /// No server that has the version has room, so the requests behind it probably have to wait
    /// too.
    NoRoom,
    /// It needs an idle server of its own, or no server has its version. Other requests may start
    /// first.
    Bypass,
    /// It can no longer run and is refused.
    Refuse(Refusal),
}

/// The server chosen for an attempt, and the servers considered before it.
#[derive(Debug)]
pub(super) struct ChosenServer {
    server: ServerId,
    address: SocketAddr,
    passed_over: Vec<RejectedCandidate>,
}

impl Control {
    /// How many requests without a free server are skipped before a dispatch ends.
    const MAX_SKIPPED: usize = 4;
    /// How many requests are bypassed in one dispatch because no server has their version or is
    /// idle.
    const MAX_BYPASSED: usize = 64;
    /// The wait after which long work is started before short work, up to half of its slots.
    const LONG_PRIORITY_AFTER_MS: u64 = 1_000;
    /// The prompt size from which a server with the cached prefix is preferred.
    const AFFINITY_PROMPT_TOKENS: u64 = 512;

    pub(super) fn dispatch_all(&mut self, now: Millis) {
        let busy = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let pools: Vec<PoolId> = busy.map(|(pool, _)| pool.clone()).collect();
        for pool in pools {
            self.dispatch(now, &pool);
        }
    }

    /// Starts queued requests of a pool until no server has room. Requests that cannot start keep
    /// their place in the queue.
    pub(super) fn dispatch(&mut self, now: Millis, pool: &PoolId) {
        if self.queues.get(pool).is_none_or(FairQueue::is_empty) {
            return;
        }
        let Some(document) = self.configuration.document().cloned() else { return };
        let Some(entry) = document.pools.get(pool) else { return };
        self.servers.wake(now);
        let long_slots = Self::long_slots(&document, entry);
        let (mut skipped, mut bypassed) = (Vec::new(), Vec::new());
        while skipped.len() < Self::MAX_SKIPPED && bypassed.len() < Self::MAX_BYPASSED {
            let Some(class) = self.next_class(now, pool, entry, long_slots) else { break };
            let Some(queued) = self.queues.get_mut(pool).and_then(|queue| queue.pop(class)) else {
                break;
            };
            if self.has_withdrawn_plan(queued.request) {
                self.replan(now, &document, queued.request);
                continue;
            }
            self.reserve_for_suspect(now, &document, queued.request);
            match self.may_start(now, &document, queued.request) {
                StartCheck::Ready(chosen) => self.start(now, &document, queued.request, *chosen),
                StartCheck::Refuse(refusal) => self.refuse(now, queued.request, refusal),
                StartCheck::Bypass => bypassed.push(queued),
                StartCheck::NoRoom => skipped.push(queued),
            }
        }
        let Some(queue) = self.queues.get_mut(pool) else { return };
        for queued in skipped.into_iter().rev().chain(bypassed.into_iter().rev()) {
            queue.push_front(queued);
        }
    }

    /// Returns whether a request's planned version has been withdrawn and the request may be
    /// planned again, as it has no session and no attempt.
    fn has_withdrawn_plan(&self, request: RequestNumber) -> bool {
        let Some(state) = self.requests.get(&request) else { return false };
        let WorkTarget::Version(version) = state.target() else { return false };
        state.session.is_none() && state.attempts.is_empty() && self.is_withdrawn(version)
    }

    /// Plans a request again and queues it, or refuses it.
    fn replan(&mut self, now: Millis, document: &ConfigurationDocument, request: RequestNumber) {
        if let Err(refusal) = self.recheck(now, document, request) {
            self.refuse(now, request, refusal);
        }
    }

    /// Returns the slots of each server that long work may occupy under the preset in force; at
    /// least 1 unless the preset's factor is 0.
    pub(super) fn long_slots(document: &ConfigurationDocument, entry: &PoolEntry) -> u32 {
        let factor = document.preset_in_force().long_factor;
        let slots = (f64::from(entry.long_slots) * factor).round() as u32;
        let least = u32::from(factor > 0.0);
        slots.clamp(least, entry.slots)
    }

    /// Returns the size class to start next: short work, unless long work has waited for
    /// [`Self::LONG_PRIORITY_AFTER_MS`] and occupies less than half of its slots.
    fn next_class(
        &self,
        now: Millis,
        pool: &PoolId,
        entry: &PoolEntry,
        long_slots: u32,
    ) -> Option<SizeClass> {
        let queue = self.queues.get(pool)?;
        let is_ready =
            |class| queue.has(class) && self.servers.has_room(pool, entry, class, long_slots);
        match (is_ready(SizeClass::Short), is_ready(SizeClass::Long)) {
            (false, false) => None,
            (true, false) => Some(SizeClass::Short),
            (false, true) => Some(SizeClass::Long),
            (true, true) => {
                let oldest = queue.oldest(SizeClass::Long).map(|(queued, _)| now.since(queued));
                let is_overdue =
                    oldest.is_some_and(|wait| wait >= Millis(Self::LONG_PRIORITY_AFTER_MS));
                let slots = long_slots as usize * self.servers.pool_size(pool);
                let running = self.servers.long_running(pool) as usize;
                let is_due = is_overdue && running < slots.div_ceil(2);
                Some(if is_due { SizeClass::Long } else { SizeClass::Short })
            }
        }
    }

    /// Checks whether a request may start now: its deadline, its target, whether it is suspected of
    /// crashing servers, and whether a server has room. Every attempt passes through this check.
    fn may_start(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
    ) -> StartCheck {
        let Some(state) = self.requests.get(&request) else { return StartCheck::NoRoom };
        if now + Self::min_run_time(document, state) >= state.profile.deadline {
            return StartCheck::Refuse(Self::deadline_refusal(request, state));
        }
        if let Err(refusal) = self.check_target(document, state) {
            return StartCheck::Refuse(refusal);
        }
        let step = &state.plan.steps[state.step];
        let Some(pool) = document.pools.get(&step.pool) else { return StartCheck::NoRoom };
        let standing = self.suspects.status(now, state.arrival.fingerprint);
        if standing == SuspectStatus::Refused {
            return StartCheck::Refuse(Self::suspect_refusal(request).with_run(state.run_state()));
        }
        let avoid = self.servers_to_avoid(request, state);
        let wish = Self::wish(document, state, step, pool, &avoid);
        let (placement, target) = (&self.placement, &step.target);
        let has_target = |server: &ServerState| match target {
            WorkTarget::Version(version) => placement.may_start(now, server, version),
            WorkTarget::Service(_) => true,
        };
        let (server, passed_over) = self.servers.choose(now, &step.pool, pool, &wish, &has_target);
        let busy = server.is_none_or(|server| server.in_flight() > 0);
        if standing == SuspectStatus::Isolated && busy {
            return StartCheck::Bypass;
        }
        if let Some(server) = server {
            let (server, address) = (server.id.clone(), server.address);
            return StartCheck::Ready(Box::new(ChosenServer { server, address, passed_over }));
        }
        if self.servers.any_in(&step.pool, has_target) {
            StartCheck::NoRoom
        } else {
            StartCheck::Bypass
        }
    }

    /// Returns the requirements and preferences of a request for its server.
    pub(super) fn wish<'a>(
        document: &ConfigurationDocument,
        state: &'a RequestState,
        step: &'a PlanStep,
        pool: &PoolEntry,
        avoid: &'a [ServerId],
    ) -> ServerRequirements<'a> {
        let is_large = state.profile.prompt_tokens.0 >= Self::AFFINITY_PROMPT_TOKENS;
        let repeatable = Self::repeat_rule(document, &step.target) == RepeatRule::Repeatable;
        let running = state.attempts.iter().filter(|attempt| attempt.outcome.is_none());
        ServerRequirements {
            class: state.profile.class,
            prefix: Some(state.arrival.prefix).filter(|prefix| is_large && *prefix != 0),
            may_probe: repeatable && state.profile.class == SizeClass::Short,
            avoid,
            excluded: running.map(|attempt| attempt.server.clone()).collect(),
            long_slots: Self::long_slots(document, pool),
        }
    }

    /// Returns the shortest time in which the request's target can begin to answer.
    fn min_run_time(document: &ConfigurationDocument, state: &RequestState) -> Millis {
        match state.target() {
            WorkTarget::Version(id) => {
                document.version(id).map_or(Millis(0), |entry| entry.first_token_ms)
            }
            WorkTarget::Service(_) => Millis(0),
        }
    }

    /// Checks that the team still exists and may use the request's target.
    pub(super) fn check_target(
        &self,
        document: &ConfigurationDocument,
        state: &RequestState,
    ) -> Result<(), Refusal> {
        let refuse = |code, message: String| {
            Err(Refusal::not_run(code, message).with_run(state.run_state()))
        };
        let Some(team) = document.teams.get(&state.profile.team) else {
            return refuse(RefusalCode::Forbidden, "The team no longer exists.".into());
        };
        match state.target() {
            WorkTarget::Version(id) => {
                if !team.allows(id) {
                    return refuse(RefusalCode::Forbidden, format!("The team may not use {id}."));
                }
                if self.is_withdrawn(id) {
                    return refuse(RefusalCode::Unavailable, format!("{id} has been withdrawn."));
                }
            }
            WorkTarget::Service(id) => {
                if !team.services.contains(id) || !document.services.contains_key(id) {
                    return refuse(RefusalCode::Forbidden, format!("The team may not use {id}."));
                }
            }
        }
        Ok(())
    }

    pub(super) fn deadline_refusal(request: RequestNumber, state: &RequestState) -> Refusal {
        let message = "No backend server was free before the deadline; send the request later.";
        Refusal::not_run(RefusalCode::Timeout, message)
            .with_run(state.run_state())
            .with_retry_after(Self::retry_after(request))
    }

    /// Starts an attempt on a chosen server and logs the decision.
    pub(super) fn start(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
        chosen: ChosenServer,
    ) {
        let id = self.request_id(request);
        let Some(state) = self.requests.get(&request) else { return };
        let step = &state.plan.steps[state.step];
        let release = self.release_mode(document, state, step);
        let session_moved = state.session.as_ref().and_then(|session| session.end);
        let fingerprint = state.arrival.fingerprint;
        let entry = AttemptState {
            id: AttemptId(state.attempts.len() as u64 + 1),
            target: step.target.clone(),
            step: state.step,
            class: state.profile.class,
            release,
            server: chosen.server.clone(),
            started: now,
            head: None,
            progress: AttemptProgress::Opening,
            outcome: None,
            output_tokens: Tokens(0),
        };
        let mut start = AttemptStart {
            request,
            attempt: entry.id,
            repeat: Self::repeat_rule(document, &step.target),
            target: step.target.clone(),
            server: chosen.server.clone(),
            address: chosen.address,
            progress_timeout: document.pools[&step.pool].progress_timeout_ms,
            release,
            priority: u8::from(entry.class == SizeClass::Long),
            session: None,
            session_moved,
        };
        let mut passed_over = state.plan.passed_over.clone();
        passed_over.extend(chosen.passed_over);
        let decision = RouteDecision {
            request: id,
            attempt: entry.id,
            team: state.profile.team.clone(),
            target: step.target.clone(),
            server: chosen.server,
            reason: Self::attempt_reason(state),
            waited: now.since(state.profile.arrived),
            passed_over,
        };
        if self.suspects.status(now, fingerprint) == SuspectStatus::Isolated {
            self.suspects.start_isolated_run(now, fingerprint);
        }
        start.session = self.session_token(now, request, &entry.target);
        self.emit(Command::LogRoute(decision));
        self.emit(Command::Start(start));
        self.record_start(now, document, request, &entry);
    }

    fn attempt_reason(state: &RequestState) -> SmolStr {
        if state.is_running() {
            return "hedge: the first attempt is overdue".into();
        }
        if state.step > 0 {
            return "escalated: the answer before was rated poor".into();
        }
        if !state.attempts.is_empty() {
            return "retry: the attempt before failed".into();
        }
        state.plan.reason.clone()
    }

    /// Returns whether an answer is held: it has to be rated, or a hedge may still win against it.
    fn release_mode(
        &self,
        document: &ConfigurationDocument,
        state: &RequestState,
        step: &PlanStep,
    ) -> ReleaseMode {
        let is_last = step.accept_score.is_none();
        if is_last && !self.may_hedge(document, state, step) {
            ReleaseMode::Immediate
        } else {
            ReleaseMode::Hold
        }
    }

    /// Records the start of an attempt in the request, the budgets, the server's load and the
    /// policy's evidence, and sets its timer.
    fn record_start(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
        entry: &AttemptState,
    ) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        let is_first = state.attempts.is_empty();
        let pool = state.plan.steps[state.step].pool.clone();
        state.phase = RequestPhase::Running;
        if entry.release == ReleaseMode::Immediate {
            state.released = Some(entry.id);
        }
        state.attempts.push(entry.clone());
        let preset = document.preset_in_force();
        let load = self.load.pool(&pool);
        if is_first {
            load.hedges.deposit(preset.hedge_share);
            load.retries.deposit(preset.retry_share);
        }
        if entry.class == SizeClass::Short {
            load.started(now);
        }
        self.servers.started(now, &entry.server, entry.class);
        self.set_overdue_timer(now, document, request, entry);
        let Some(state) = self.requests.get(&request) else { return };
        if let Some(evidence) = Self::evidence(document, state, entry) {
            self.policy.started(now, &evidence);
        }
    }

    pub(super) fn repeat_rule(document: &ConfigurationDocument, target: &WorkTarget) -> RepeatRule {
        match target {
            WorkTarget::Version(_) => RepeatRule::Repeatable,
            WorkTarget::Service(id) => match document.services.get(id) {
                Some(entry) if entry.repeatable => RepeatRule::Repeatable,
                _ => RepeatRule::AtMostOnce,
            },
        }
    }

    /// Starts one more attempt of a running request without queueing it. Returns false if no server
    /// has room now.
    pub(super) fn start_hedge(&mut self, now: Millis, request: RequestNumber) -> bool {
        let Some(document) = self.configuration.document().cloned() else { return false };
        match self.may_start(now, &document, request) {
            StartCheck::Ready(chosen) => {
                self.start(now, &document, request, *chosen);
                self.charge_hedge(&document, request);
                true
            }
            StartCheck::NoRoom | StartCheck::Bypass | StartCheck::Refuse(_) => false,
        }
    }

    /// Charges the fair queue for an attempt that did not pass through it.
    fn charge_hedge(&mut self, document: &ConfigurationDocument, request: RequestNumber) {
        let Some(state) = self.requests.get(&request) else { return };
        let entry = Self::queue_entry(document, request, state);
        let pool = &state.plan.steps[state.step].pool;
        if let Some(queue) = self.queues.get_mut(pool) {
            queue.correct(&entry.team, &entry.subscriber, entry.weight, entry.cost);
        }
    }

    /// Removes a request from the queue that holds it, if any.
    pub(super) fn unqueue(&mut self, request: RequestNumber) {
        for queue in self.queues.values_mut() {
            queue.remove(request);
        }
    }
}
