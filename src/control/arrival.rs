use super::*;

impl Control {
    /// The output expected of a request that gives no `max_tokens`.
    const DEFAULT_OUTPUT_TOKENS: u64 = 256;

    pub(super) fn on_arrival(&mut self, now: Millis, arrival: Arrival) {
        let request = arrival.request;
        let earlier = self.earlier_run(&arrival);
        if let Err(refusal) = self.admit(now, arrival) {
            let run = refusal.run.max(earlier);
            let refusal = refusal.with_run(run);
            tracing::info!(
                request = %self.request_id(request),
                code = refusal.code.as_str(),
                reason = %refusal.message,
                "request refused"
            );
            self.emit(Command::Refuse { request, refusal });
        }
    }

    /// Authenticates a request, plans its route and passes it to the gate, or answers it at once if
    /// it asks for the model list or a ticket.
    fn admit(&mut self, now: Millis, arrival: Arrival) -> Result<(), Refusal> {
        let document = self.serving_document()?;
        let (team, subscriber) = self.identify(&arrival)?;
        if arrival.target == ArrivalTarget::ModelList {
            let models = self.allowed_models(&document, &team);
            self.emit(Command::ListModels { request: arrival.request, models });
            return Ok(());
        }
        if arrival.target == ArrivalTarget::Ticket {
            return self.issue_ticket(now, arrival.request, &team);
        }
        let session = self.session_choice(now, &document, &team, &arrival)?;
        let profile = self.profile(now, &document, &arrival, team, subscriber);
        let plan = self.plan(now, &document, &arrival, &profile, session.as_ref())?;
        if let (Some(choice), WorkTarget::Version(planned)) = (&session, &plan.steps[0].target)
            && self.hold_for_pin(now, &arrival, choice, planned)
        {
            return Ok(());
        }
        self.gate(now, &document, arrival, profile, plan, session)
    }

    /// Continues a request that was held until the version of its session was known.
    pub(super) fn resume_arrival(&mut self, now: Millis, arrival: Arrival, session: SessionChoice) {
        let request = arrival.request;
        if let Err(refusal) = self.admit_session(now, arrival, session) {
            self.emit(Command::Refuse { request, refusal });
        }
    }

    fn admit_session(
        &mut self,
        now: Millis,
        arrival: Arrival,
        session: SessionChoice,
    ) -> Result<(), Refusal> {
        let document = self.serving_document()?;
        let (team, subscriber) = self.identify(&arrival)?;
        let profile = self.profile(now, &document, &arrival, team, subscriber);
        let plan = self.plan(now, &document, &arrival, &profile, Some(&session))?;
        self.gate(now, &document, arrival, profile, plan, Some(session))
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// Refuses the request if this VM is shutting down or has no configuration.
    fn serving_document(&self) -> Result<Arc<ConfigurationDocument>, Refusal> {
        if !self.shutdown.accepts_requests() {
            let message = "This entry VM is shutting down; send the request again.";
            return Err(Refusal::not_run(RefusalCode::Unavailable, message));
        }
        self.configuration.document().cloned().ok_or_else(|| {
            let message = "This entry VM has no configuration yet; send the request again.";
            Refusal::not_run(RefusalCode::Unavailable, message)
        })
    }

    fn identify(&self, arrival: &Arrival) -> Result<(TeamId, SubscriberId), Refusal> {
        let found = arrival.key.as_ref().and_then(|key| self.keys.get(key));
        found.cloned().ok_or_else(|| {
            let message = "The bearer key is missing or unknown; send a valid key.";
            Refusal::not_run(RefusalCode::Unauthorised, message)
        })
    }

    /// Returns the models and `model@version` names that a team may select, without withdrawn ones.
    fn allowed_models(&self, document: &ConfigurationDocument, team: &TeamId) -> Vec<SmolStr> {
        let entry = &document.teams[team];
        let mut models = BTreeSet::new();
        for (id, _) in document.versions() {
            if entry.allows(&id) && !self.is_withdrawn(&id) {
                models.insert(SmolStr::new(id.model.as_str()));
                models.insert(SmolStr::new(id.to_string()));
            }
        }
        models.into_iter().collect()
    }

    /// Estimates the size, output and deadline of a request for routing.
    fn profile(
        &self,
        now: Millis,
        document: &ConfigurationDocument,
        arrival: &Arrival,
        team: TeamId,
        subscriber: SubscriberId,
    ) -> RequestProfile {
        let wait = arrival.deadline.unwrap_or(document.teams[&team].deadline_ms);
        let most = match arrival.max_tokens {
            Tokens(0) => Tokens(Self::DEFAULT_OUTPUT_TOKENS),
            tokens => tokens,
        };
        let (output, class) = match &arrival.target {
            ArrivalTarget::Service(name) => (Tokens(0), Self::service_class(document, name)),
            ArrivalTarget::Model(name) => {
                let outputs = &self.load.outputs;
                let output = outputs.expect(&team, name, arrival.prompt_tokens, most);
                (output, SizeClass::of(arrival.prompt_tokens, output))
            }
            ArrivalTarget::ModelList | ArrivalTarget::Ticket => (Tokens(0), SizeClass::Short),
        };
        let own = self.request_id(arrival.request).to_string();
        let share_key = arrival.session.as_deref().unwrap_or(&own);
        RequestProfile {
            team,
            subscriber,
            class,
            prompt_tokens: arrival.prompt_tokens,
            expected_output: output,
            mode: arrival.mode,
            arrived: now,
            deadline: now + wait,
            share_hash: xxh3_64(share_key.as_bytes()),
        }
    }

    /// Returns the size class of a call to a service; short if the service is unknown.
    fn service_class(document: &ConfigurationDocument, name: &str) -> SizeClass {
        let entry = name.parse::<ServiceId>().ok().and_then(|id| document.services.get(&id));
        entry.map_or(SizeClass::Short, |entry| SizeClass::of_call(entry.expected_ms))
    }

    /// Charges a request to its team's limits.
    ///
    /// # Errors
    ///
    /// Refuses the request if the team is over one of its limits.
    fn check_limits(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        state: &RequestState,
    ) -> Result<(), Refusal> {
        let team = &state.profile.team;
        let limits = document.teams[team].limits;
        let factor = document.preset_in_force().limit_factor;
        let entry_vms = self.peers.iter().count() + 1;
        let work = state.profile.prompt_tokens + state.profile.expected_output;
        let admitted = self.load.limits.admit(now, team, &limits, factor, entry_vms, work);
        admitted.map_err(|(limit, wait)| {
            let message = format!("The team is over its {limit} limit; send the request later.");
            let retry = wait + Self::retry_after(state.arrival.request);
            Refusal::not_run(RefusalCode::OverLimit, message).with_retry_after(retry)
        })
    }

    /// Returns the route plan of a request. With a session, only the session's version is
    /// considered.
    pub(super) fn plan(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        arrival: &Arrival,
        profile: &RequestProfile,
        session: Option<&SessionChoice>,
    ) -> Result<RoutePlan, Refusal> {
        let kept = session.and_then(|session| session.version.as_ref());
        match &arrival.target {
            ArrivalTarget::Model(selector) => {
                self.plan_model(now, document, selector, profile, kept)
            }
            ArrivalTarget::Service(name) => Self::plan_service(document, name, profile),
            ArrivalTarget::ModelList | ArrivalTarget::Ticket => unreachable!("it needs no plan"),
        }
    }

    fn plan_service(
        document: &ConfigurationDocument,
        name: &str,
        profile: &RequestProfile,
    ) -> Result<RoutePlan, Refusal> {
        let id = name.parse::<ServiceId>().ok();
        let found = id.as_ref().and_then(|id| document.services.get(id).map(|entry| (id, entry)));
        let Some((id, entry)) = found else {
            let message = format!("There is no service {name:?}; correct the path.");
            return Err(Refusal::not_run(RefusalCode::NotFound, message));
        };
        if !document.teams[&profile.team].services.contains(id) {
            let message = format!("The team may not use the service {id}.");
            return Err(Refusal::not_run(RefusalCode::Forbidden, message));
        }
        let step = PlanStep {
            target: WorkTarget::Service(id.clone()),
            pool: entry.pool.clone(),
            accept_score: None,
            expected_cost: entry.cost_per_call,
        };
        Ok(RoutePlan { steps: vec![step], reason: "named".into(), passed_over: Vec::new() })
    }

    /// Filters the versions that match the selector down to those the team may use now, and lets
    /// the routing policy choose among them.
    fn plan_model(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        selector: &str,
        profile: &RequestProfile,
        kept: Option<&VersionId>,
    ) -> Result<RoutePlan, Refusal> {
        let team = &document.teams[&profile.team];
        let mut known = false;
        let mut allowed = false;
        let mut candidates = Vec::new();
        let mut ruled_out = Vec::new();
        for (id, _) in document.versions() {
            if !Self::selects(selector, &id) {
                continue;
            }
            known = true;
            if !team.allows(&id) {
                ruled_out.push(Self::not_chosen(&id, "not allowed"));
                continue;
            }
            allowed = true;
            if self.is_withdrawn(&id) {
                ruled_out.push(Self::not_chosen(&id, "withdrawn"));
                continue;
            }
            if kept.is_some_and(|kept| *kept != id) {
                ruled_out.push(Self::not_chosen(&id, "the session keeps its version"));
                continue;
            }
            candidates.push(id);
        }
        if !known {
            let message = format!("There is no model {selector:?}; see GET /v1/models.");
            return Err(Refusal::not_run(RefusalCode::NotFound, message));
        }
        if !allowed {
            let message = format!("The team may not use {selector:?}; see GET /v1/models.");
            return Err(Refusal::not_run(RefusalCode::Forbidden, message));
        }
        let view = RoutingView {
            document,
            candidates: &candidates,
            ruled_out: &ruled_out,
            is_named: kept.is_some() || selector.contains('@'),
            waits: &self.load.waits,
        };
        self.policy.plan(now, &view, profile)
    }

    /// Returns whether a selector, which is `auto`, a model or `model@version`, matches a version.
    pub(super) fn selects(selector: &str, id: &VersionId) -> bool {
        match selector.split_once('@') {
            None => selector == "auto" || selector == id.model.as_str(),
            Some((model, version)) => model == id.model.as_str() && version == id.version.as_str(),
        }
    }

    fn not_chosen(candidate: &impl Display, reason: &str) -> RejectedCandidate {
        RejectedCandidate { candidate: candidate.to_string().into(), reason: reason.into() }
    }

    /// Charges the team, queues the request in the pool of its first step and dispatches the pool.
    ///
    /// # Errors
    ///
    /// Refuses the request if a limit is exceeded or the queue does not accept it.
    pub(super) fn enqueue(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        arrival: Arrival,
        profile: RequestProfile,
        plan: RoutePlan,
        session: Option<SessionChoice>,
    ) -> Result<(), Refusal> {
        let request = arrival.request;
        let state = RequestState {
            arrival,
            profile,
            plan,
            session,
            step: 0,
            phase: RequestPhase::Queued,
            attempts: Vec::new(),
            released: None,
            held: None,
        };
        self.check_limits(now, document, &state)?;
        if let Err(refusal) = self.check_queue(now, document, request, &state) {
            self.load.limits.ended(&state.profile.team, -Self::charged_tokens(&state));
            return Err(refusal);
        }
        let pool = state.plan.steps[0].pool.clone();
        let entry = Self::queue_entry(document, request, &state);
        self.load.timers.set(state.profile.deadline, request, TimerKind::Deadline);
        self.requests.insert(request, state);
        self.queues.entry(pool.clone()).or_default().push(entry);
        self.dispatch(now, &pool);
        Ok(())
    }

    /// Returns how long a request is expected to occupy a slot, in milliseconds.
    pub(super) fn expected_slot_time(
        document: &ConfigurationDocument,
        state: &RequestState,
    ) -> SlotTime {
        let expected = match state.target() {
            WorkTarget::Version(id) => {
                document.version(id).map(|entry| state.profile.expected_run(entry))
            }
            WorkTarget::Service(id) => document.services.get(id).map(|entry| entry.expected_ms),
        };
        SlotTime(expected.unwrap_or_default().0 as f64)
    }

    /// Returns the tokens charged to the team's limit when the request was admitted.
    pub(super) fn charged_tokens(state: &RequestState) -> f64 {
        (state.profile.prompt_tokens + state.profile.expected_output).0 as f64
    }

    pub(super) fn queue_entry(
        document: &ConfigurationDocument,
        request: RequestNumber,
        state: &RequestState,
    ) -> QueueEntry {
        QueueEntry {
            request,
            team: state.profile.team.clone(),
            subscriber: state.profile.subscriber.clone(),
            class: state.profile.class,
            cost: Self::expected_slot_time(document, state),
            weight: document.teams.get(&state.profile.team).map_or(1.0, |team| team.weight),
            queued: state.profile.arrived,
            deadline: state.profile.deadline,
        }
    }

    /// Returns the `Retry-After` time for a refused request, from 500 ms to 1.5 s. It varies with
    /// the request number, so that refused callers do not all return at once.
    #[must_use]
    pub fn retry_after(request: RequestNumber) -> Millis {
        const BASE_MS: u64 = 500;
        const SPREAD_MS: u64 = 1_000;
        let hash = xxh3_64(&request.0.to_le_bytes());
        Millis(BASE_MS + hash % SPREAD_MS)
    }
}
