use super::*;

/// Whether a queued request may start.
#[derive(Debug)]
enum StartCheck {
    /// It may, on this server.
    May(Box<StartPlace>),
    /// Not now: no server has room.
    NotNow,
    /// Not now: it has to run alone or its version is loaded nowhere, and others go first.
    Aside,
    /// Never: it is refused.
    Never(Refusal),
}

#[derive(Debug)]
pub(super) struct StartPlace {
    server: ServerId,
    address: SocketAddr,
    passed_over: Vec<PassedOver>,
}

impl Control {
    /// The queued requests that are looked at when the first ones find no server.
    const MAX_SKIPPED: usize = 4;
    /// The queued requests that are put aside at a time, for want of a server with their version.
    const MAX_ASIDE: usize = 64;
    /// The wait after which long work goes first, up to its guaranteed part of the pool.
    const LONG_TURN_MS: u64 = 1_000;
    /// The prompt size from which sharing a cached prefix pays.
    const AFFINITY_PROMPT_TOKENS: u64 = 512;

    pub(super) fn dispatch_all(&mut self, now: Millis) {
        let busy = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let pools: Vec<PoolId> = busy.map(|(pool, _)| pool.clone()).collect();
        for pool in pools {
            self.dispatch(now, &pool);
        }
    }

    /// Starts queued requests of a pool while there is room.
    pub(super) fn dispatch(&mut self, now: Millis, pool: &PoolId) {
        if self.queues.get(pool).is_none_or(FairQueue::is_empty) {
            return;
        }
        let Some(document) = self.configuration.document().cloned() else { return };
        let Some(entry) = document.pools.get(pool) else { return };
        self.servers.wake(now);
        let long_slots = Self::long_slots(&document, entry);
        let (mut skipped, mut aside) = (Vec::new(), Vec::new());
        while skipped.len() < Self::MAX_SKIPPED && aside.len() < Self::MAX_ASIDE {
            let Some(class) = self.next_class(now, pool, entry, long_slots) else { break };
            let Some(queued) = self.queues.get_mut(pool).and_then(|queue| queue.pop(class)) else {
                break;
            };
            if self.has_withdrawn_plan(queued.request) {
                self.plan_again(now, &document, queued.request);
                continue;
            }
            self.reserve_for_suspect(now, &document, queued.request);
            match self.may_start(now, &document, queued.request) {
                StartCheck::May(place) => self.start(now, &document, queued.request, *place),
                StartCheck::Never(refusal) => self.refuse(now, queued.request, refusal),
                StartCheck::Aside => aside.push(queued),
                StartCheck::NotNow => skipped.push(queued),
            }
        }
        let Some(queue) = self.queues.get_mut(pool) else { return };
        for queued in skipped.into_iter().rev().chain(aside.into_iter().rev()) {
            queue.push_front(queued);
        }
    }

    /// Returns whether a request that has not started was planned for a version that has been
    /// withdrawn since.
    fn has_withdrawn_plan(&self, request: RequestNumber) -> bool {
        let Some(state) = self.requests.get(&request) else { return false };
        let WorkTarget::Version(version) = state.target() else { return false };
        state.session.is_none() && state.attempts.is_empty() && self.is_withdrawn(version)
    }

    fn plan_again(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
    ) {
        if let Err(refusal) = self.recheck(now, document, request) {
            self.refuse(now, request, refusal);
        }
    }

    /// Returns the slots of a server that long work may take under the preset in force.
    pub(super) fn long_slots(document: &ConfigurationDocument, entry: &PoolEntry) -> u32 {
        let factor = document.preset_in_force().long_factor;
        let slots = (f64::from(entry.long_slots) * factor).round() as u32;
        let least = u32::from(factor > 0.0);
        slots.clamp(least, entry.slots)
    }

    /// Returns the class that goes next: short work, unless long work has waited for its turn and
    /// has less than half of its slots.
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
                let is_overdue = oldest.is_some_and(|wait| wait >= Millis(Self::LONG_TURN_MS));
                let slots = long_slots as usize * self.servers.pool_size(pool);
                let running = self.servers.long_running(pool) as usize;
                let is_due = is_overdue && running < slots.div_ceil(2);
                Some(if is_due { SizeClass::Long } else { SizeClass::Short })
            }
        }
    }

    /// Decides whether a request may start here now. Every attempt passes through this check.
    fn may_start(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
    ) -> StartCheck {
        let Some(state) = self.requests.get(&request) else { return StartCheck::NotNow };
        if now + Self::least_run(document, state) >= state.profile.deadline {
            return StartCheck::Never(Self::deadline_refusal(request, state));
        }
        if let Err(refusal) = self.check_target(document, state) {
            return StartCheck::Never(refusal);
        }
        let step = &state.plan.steps[state.step];
        let Some(pool) = document.pools.get(&step.pool) else { return StartCheck::NotNow };
        let standing = self.suspects.standing(now, state.arrival.fingerprint);
        if standing == SuspectStanding::Refused {
            return StartCheck::Never(Self::suspect_refusal(request).with_run(state.run()));
        }
        let avoid = self.servers_to_avoid(request, state);
        let wish = Self::wish(document, state, step, pool, &avoid);
        let (placement, target) = (&self.placement, &step.target);
        let has = |server: &ServerState| match target {
            WorkTarget::Version(version) => placement.may_start(now, server, version),
            WorkTarget::Service(_) => true,
        };
        let (server, passed_over) = self.servers.choose(now, &step.pool, pool, &wish, &has);
        let busy = server.is_none_or(|server| server.in_flight() > 0);
        if standing == SuspectStanding::Alone && busy {
            return StartCheck::Aside;
        }
        if let Some(server) = server {
            let (server, address) = (server.id.clone(), server.address);
            return StartCheck::May(Box::new(StartPlace { server, address, passed_over }));
        }
        if self.servers.any_in(&step.pool, has) { StartCheck::NotNow } else { StartCheck::Aside }
    }

    /// Returns what a request wants of a server.
    pub(super) fn wish<'a>(
        document: &ConfigurationDocument,
        state: &'a RequestState,
        step: &'a PlanStep,
        pool: &PoolEntry,
        avoid: &'a [ServerId],
    ) -> StartWish<'a> {
        let is_large = state.profile.prompt_tokens.0 >= Self::AFFINITY_PROMPT_TOKENS;
        let repeatable = Self::repeat_rule(document, &step.target) == RepeatRule::Repeatable;
        let running = state.attempts.iter().filter(|attempt| attempt.outcome.is_none());
        StartWish {
            class: state.profile.class,
            prefix: Some(state.arrival.prefix).filter(|prefix| is_large && *prefix != 0),
            may_probe: repeatable && state.profile.class == SizeClass::Short,
            avoid,
            never: running.map(|attempt| attempt.server.clone()).collect(),
            long_slots: Self::long_slots(document, pool),
        }
    }

    /// Returns the least time that a request takes on its target.
    fn least_run(document: &ConfigurationDocument, state: &RequestState) -> Millis {
        match state.target() {
            WorkTarget::Version(id) => {
                document.version(id).map_or(Millis(0), |entry| entry.first_token_ms)
            }
            WorkTarget::Service(_) => Millis(0),
        }
    }

    pub(super) fn check_target(
        &self,
        document: &ConfigurationDocument,
        state: &RequestState,
    ) -> Result<(), Refusal> {
        let refuse =
            |code, message: String| Err(Refusal::not_run(code, message).with_run(state.run()));
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
            .with_run(state.run())
            .with_retry_after(Self::retry_after(request))
    }

    pub(super) fn start(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
        place: StartPlace,
    ) {
        let id = self.request_id(request);
        let Some(state) = self.requests.get(&request) else { return };
        let step = &state.plan.steps[state.step];
        let release = self.release_rule(document, state, step);
        let session_moved = state.session.as_ref().and_then(|session| session.end);
        let fingerprint = state.arrival.fingerprint;
        let entry = AttemptState {
            id: AttemptId(state.attempts.len() as u64 + 1),
            target: step.target.clone(),
            step: state.step,
            class: state.profile.class,
            release,
            server: place.server.clone(),
            started: now,
            head: None,
            run: AttemptRun::Opening,
            outcome: None,
            output_tokens: Tokens(0),
        };
        let mut start = AttemptStart {
            request,
            attempt: entry.id,
            repeat: Self::repeat_rule(document, &step.target),
            target: step.target.clone(),
            server: place.server.clone(),
            address: place.address,
            progress_timeout: document.pools[&step.pool].progress_timeout_ms,
            release,
            priority: u8::from(entry.class == SizeClass::Long),
            session: None,
            session_moved,
        };
        let mut passed_over = state.plan.passed_over.clone();
        passed_over.extend(place.passed_over);
        let decision = RouteDecision {
            request: id,
            attempt: entry.id,
            team: state.profile.team.clone(),
            target: step.target.clone(),
            server: place.server,
            reason: Self::attempt_reason(state),
            waited: now.since(state.profile.arrived),
            passed_over,
        };
        if self.suspects.standing(now, fingerprint) == SuspectStanding::Alone {
            self.suspects.start_alone(now, fingerprint);
        }
        start.session = self.session_token(now, request, &entry.target);
        self.emit(Command::LogRoute(decision));
        self.emit(Command::Start(start));
        self.note_start(now, document, request, &entry);
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

    /// Decides whether an answer is held: until it is rated, or until it has won against a hedge.
    fn release_rule(
        &self,
        document: &ConfigurationDocument,
        state: &RequestState,
        step: &PlanStep,
    ) -> ReleaseRule {
        let is_last = step.accept_score.is_none();
        if is_last && !self.may_hedge(document, state, step) {
            ReleaseRule::AtOnce
        } else {
            ReleaseRule::Hold
        }
    }

    /// Enters an attempt that starts into the books.
    fn note_start(
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
        if entry.release == ReleaseRule::AtOnce {
            state.released = Some(entry.id);
        }
        state.attempts.push(entry.clone());
        let preset = document.preset_in_force();
        let load = self.load.pool(&pool);
        if is_first {
            load.hedges.earn(preset.hedge_share);
            load.retries.earn(preset.retry_share);
        }
        if entry.class == SizeClass::Short {
            load.started(now);
        }
        self.servers.started(now, &entry.server, entry.class);
        self.watch_attempt(now, document, request, entry);
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
                _ => RepeatRule::Once,
            },
        }
    }

    /// Starts one more attempt of a request that is not queued, if there is room at once.
    pub(super) fn start_beside(&mut self, now: Millis, request: RequestNumber) -> bool {
        let Some(document) = self.configuration.document().cloned() else { return false };
        match self.may_start(now, &document, request) {
            StartCheck::May(place) => {
                self.start(now, &document, request, *place);
                self.charge_beside(&document, request);
                true
            }
            StartCheck::NotNow | StartCheck::Aside | StartCheck::Never(_) => false,
        }
    }

    /// Charges an attempt that did not pass through the queue.
    fn charge_beside(&mut self, document: &ConfigurationDocument, request: RequestNumber) {
        let Some(state) = self.requests.get(&request) else { return };
        let entry = Self::queue_entry(document, request, state);
        let pool = &state.plan.steps[state.step].pool;
        if let Some(queue) = self.queues.get_mut(pool) {
            queue.correct(&entry.team, &entry.subscriber, entry.weight, entry.cost);
        }
    }

    pub(super) fn unqueue(&mut self, request: RequestNumber) {
        for queue in self.queues.values_mut() {
            queue.remove(request);
        }
    }
}
