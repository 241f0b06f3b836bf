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
struct StartPlace {
    server: ServerId,
    address: SocketAddr,
    passed_over: Vec<PassedOver>,
}

impl Control {
    pub(super) fn dispatch_all(&mut self, now: Millis) {
        let pools: Vec<PoolId> = self.queues.keys().cloned().collect();
        for pool in pools {
            self.dispatch(now, &pool);
        }
    }

    /// Starts queued requests of a pool while there is room.
    pub(super) fn dispatch(&mut self, now: Millis, pool: &PoolId) {
        let Some(document) = self.configuration.document().cloned() else { return };
        let mut blocked: Vec<SizeClass> = Vec::new();
        let mut aside: Vec<QueueEntry> = Vec::new();
        loop {
            let Some(queue) = self.queues.get_mut(pool) else { return };
            let Some(entry) = queue.pop(|class| !blocked.contains(&class)) else { break };
            self.reserve_for_suspect(now, &document, entry.request);
            match self.may_start(now, &document, entry.request) {
                StartCheck::May(place) => self.start(now, &document, entry.request, *place),
                StartCheck::Never(refusal) => self.refuse(now, entry.request, refusal),
                StartCheck::Aside => aside.push(entry),
                StartCheck::NotNow => {
                    blocked.push(entry.class);
                    if let Some(queue) = self.queues.get_mut(pool) {
                        queue.push_front(entry);
                    }
                }
            }
        }
        if let Some(queue) = self.queues.get_mut(pool) {
            aside.into_iter().rev().for_each(|entry| queue.push_front(entry));
        }
    }

    /// Decides whether a request may start here now. Every attempt passes through this check.
    fn may_start(
        &self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
    ) -> StartCheck {
        let Some(state) = self.requests.get(&request) else { return StartCheck::NotNow };
        if now >= state.profile.deadline {
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
        let without = self.servers_without(now, &step.pool, state.target());
        if !without.is_empty() && without.len() == self.servers.in_pool(&step.pool) {
            return StartCheck::Aside;
        }
        let (server, passed_over) =
            self.servers.choose(now, &step.pool, pool, state.profile.class, &avoid, &without);
        let busy = server.is_none_or(|server| server.in_flight() > 0);
        if standing == SuspectStanding::Alone && busy {
            return StartCheck::Aside;
        }
        match server {
            Some(server) => StartCheck::May(Box::new(StartPlace {
                server: server.id.clone(),
                address: server.address,
                passed_over,
            })),
            None => StartCheck::NotNow,
        }
    }

    fn check_target(
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

    fn deadline_refusal(request: RequestNumber, state: &RequestState) -> Refusal {
        let message = "No backend server was free before the deadline; send the request later.";
        Refusal::not_run(RefusalCode::Timeout, message)
            .with_run(state.run())
            .with_retry_after(Self::retry_after(request))
    }

    fn start(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
        place: StartPlace,
    ) {
        let id = self.request_id(request);
        let Some(state) = self.requests.get_mut(&request) else { return };
        let attempt = AttemptId(state.attempts.len() as u64 + 1);
        let step = state.plan.steps[state.step].clone();
        state.phase = RequestPhase::Running;
        state.released = Some(attempt);
        state.attempts.push(AttemptState {
            id: attempt,
            target: step.target.clone(),
            server: place.server.clone(),
            started: now,
            head: None,
            run: AttemptRun::Opening,
            outcome: None,
            output_tokens: Tokens(0),
        });
        let mut passed_over = state.plan.passed_over.clone();
        passed_over.extend(place.passed_over);
        let decision = RouteDecision {
            request: id,
            attempt,
            team: state.profile.team.clone(),
            target: step.target.clone(),
            server: place.server.clone(),
            reason: state.plan.reason.clone(),
            waited: now.since(state.profile.arrived),
            passed_over,
        };
        let class = state.profile.class;
        let session_moved = state.session.as_ref().and_then(|session| session.end);
        let fingerprint = state.arrival.fingerprint;
        let session = self.session_token(now, request, &step.target);
        let start = AttemptStart {
            request,
            attempt,
            repeat: Self::repeat_rule(document, &step.target),
            target: step.target,
            server: place.server.clone(),
            address: place.address,
            progress_timeout: document.pools[&step.pool].progress_timeout_ms,
            release: ReleaseRule::AtOnce,
            priority: u8::from(class == SizeClass::Long),
            session,
            session_moved,
        };
        self.servers.started(&place.server, class);
        if self.suspects.standing(now, fingerprint) == SuspectStanding::Alone {
            self.suspects.start_alone(now, fingerprint);
        }
        self.emit(Command::LogRoute(decision));
        self.emit(Command::Start(start));
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

    /// Refuses queued requests whose deadline has passed.
    pub(super) fn shed_expired(&mut self, now: Millis) {
        let expired: Vec<RequestNumber> = self
            .queues
            .values()
            .flat_map(FairQueue::requests)
            .filter(|request| {
                self.requests.get(request).is_some_and(|state| now >= state.profile.deadline)
            })
            .collect();
        for request in expired {
            self.unqueue(request);
            let Some(state) = self.requests.get(&request) else { continue };
            let refusal = Self::deadline_refusal(request, state);
            self.refuse(now, request, refusal);
        }
    }

    /// Refuses queued requests that the configuration in force no longer lets run.
    pub(super) fn recheck_queued(&mut self, now: Millis) {
        let Some(document) = self.configuration.document().cloned() else { return };
        let queued: Vec<RequestNumber> =
            self.queues.values().flat_map(FairQueue::requests).collect();
        for request in queued {
            let Some(state) = self.requests.get(&request) else { continue };
            if let Err(refusal) = self.check_target(&document, state) {
                self.unqueue(request);
                self.refuse(now, request, refusal);
            }
        }
    }

    pub(super) fn unqueue(&mut self, request: RequestNumber) {
        for queue in self.queues.values_mut() {
            queue.remove(request);
        }
    }
}
