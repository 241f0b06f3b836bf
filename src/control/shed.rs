use super::*;

impl Control {
    /// The shortest `Retry-After` time of a request shed because of overload.
    const OVERLOAD_RETRY_MS: u64 = 2_000;
    /// The range in which that time varies, so that refused callers do not all return at once.
    const OVERLOAD_RETRY_SPREAD_MS: u64 = 6_000;

    /// Checks whether a request may be queued, and makes room in a full queue.
    ///
    /// # Errors
    ///
    /// Refuses the request if its team is shed first under the preset, if the team has too much
    /// queued, or if the queue is full and other teams have less queued.
    pub(super) fn check_queue(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
        state: &RequestState,
    ) -> Result<(), Refusal> {
        let preset = document.preset_in_force();
        let profile = &state.profile;
        let pool = &state.plan.steps[state.step].pool;
        let is_overloaded = self.load.pool(pool).gate.is_standing(now);
        if is_overloaded && preset.shed_first.contains(&profile.team) {
            let message = "The preset in force sheds this team first; send the request later.";
            return Err(Self::shed_refusal(request, message));
        }
        if is_overloaded
            && profile.class == SizeClass::Short
            && self.has_full_backlog(now, document, state)
        {
            let message = "More of the team's requests wait than can start in time; send it later.";
            return Err(Self::shed_refusal(request, message));
        }
        let queued: usize = self.queues.values().map(FairQueue::len).sum();
        if queued < preset.queue_limit as usize {
            return Ok(());
        }
        self.make_room(now, document, request, state)
    }

    /// Returns whether a team's queued short requests already fill its share of what the pool can
    /// start within the preset's `short_wait_ms`.
    fn has_full_backlog(
        &self,
        now: Millis,
        document: &ConfigurationDocument,
        state: &RequestState,
    ) -> bool {
        const MIN_QUEUED: f64 = 2.0;
        let team = &state.profile.team;
        let pool = &state.plan.steps[state.step].pool;
        let Some(queue) = self.queues.get(pool) else { return false };
        let Some(load) = self.load.pools.get(pool) else { return false };
        let weight = document.teams.get(team).map_or(1.0, |entry| entry.weight);
        let share = weight / queue.active_weight_with(team, weight);
        let wait = document.preset_in_force().short_wait_ms.0 as f64 / 1_000.0;
        let startable = load.start_rate(now) * wait * share;
        queue.team_len(team) as f64 >= startable.max(MIN_QUEUED)
    }

    /// Makes room in a full queue by shedding a request of the team with the largest backlog for
    /// its weight: the newest of that team's heaviest subscriber. The new request itself is refused
    /// if its own team has the largest backlog.
    fn make_room(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
        state: &RequestState,
    ) -> Result<(), Refusal> {
        const MESSAGE: &str = "The queue is full; send the request again later.";
        let entry = Self::queue_entry(document, request, state);
        let heaviest = self.queues.values().filter_map(|queue| {
            queue.heaviest_team().map(|(team, backlog)| (queue, team, backlog))
        });
        let heaviest = heaviest.max_by(|a, b| a.2.total_cmp(&b.2));
        let own = self.queues.get(&state.plan.steps[state.step].pool);
        let own = own.map_or(0.0, |queue| queue.backlog(&entry.team)) + entry.share();
        let victim = heaviest.filter(|(_, team, backlog)| **team != entry.team && *backlog > own);
        let Some(victim) = victim.and_then(|(queue, team, _)| queue.victim(team)) else {
            return Err(Self::shed_refusal(request, MESSAGE));
        };
        self.unqueue(victim);
        let refusal = self.with_request_run(victim, Self::shed_refusal(victim, MESSAGE));
        self.refuse(now, victim, refusal);
        Ok(())
    }

    /// Sets the run state of a refusal to that of a request.
    pub(super) fn with_request_run(&self, request: RequestNumber, refusal: Refusal) -> Refusal {
        let run = self.requests.get(&request).map_or(RunState::NotRun, RequestState::run_state);
        refusal.with_run(run)
    }

    /// Returns a refusal because of overload.
    fn shed_refusal(request: RequestNumber, message: &str) -> Refusal {
        let hash = xxh3_64(&request.0.to_le_bytes());
        let retry = Millis(Self::OVERLOAD_RETRY_MS + hash % Self::OVERLOAD_RETRY_SPREAD_MS);
        Refusal::not_run(RefusalCode::Unavailable, message).with_retry_after(retry)
    }

    /// Refuses queued requests whose deadline has passed or that have waited too long.
    pub(super) fn shed_expired(&mut self, now: Millis) {
        let pools: Vec<PoolId> = self.queues.keys().cloned().collect();
        for pool in pools {
            while let Some(request) = self.queues.get(&pool).and_then(|queue| queue.expired(now)) {
                self.unqueue(request);
                let Some(state) = self.requests.get(&request) else { continue };
                let refusal = Self::deadline_refusal(request, state);
                self.refuse(now, request, refusal);
            }
            self.shed_overdue(now, &pool);
        }
    }

    /// Refuses queued short requests that have waited longer than the pool's load gate allows.
    fn shed_overdue(&mut self, now: Millis, pool: &PoolId) {
        let Some(document) = self.configuration.document() else { return };
        let bound = document.preset_in_force().short_wait_ms;
        let Some(queue) = self.queues.get(pool) else { return };
        let is_empty = !queue.has(SizeClass::Short);
        let oldest = queue.oldest(SizeClass::Short).map(|(queued, _)| queued);
        let wait = oldest.map_or(Millis(0), |queued| now.since(queued));
        self.load.waits.insert(pool.clone(), wait);
        // A queue is no sign of overload while all servers are in trouble.
        let serves = self.servers.any_in(pool, |server| server.is_in_rotation(now));
        let gate = &mut self.load.pool(pool).gate;
        gate.observe(now, is_empty || !serves);
        let longest = gate.longest_wait(now, bound);
        loop {
            let oldest = self.queues.get(pool).and_then(|queue| queue.oldest(SizeClass::Short));
            let Some((queued, request)) = oldest else { return };
            if now.since(queued) < longest {
                return;
            }
            self.unqueue(request);
            let message = "The pool is busy beyond the time that short work waits; send it later.";
            let refusal = self.with_request_run(request, Self::shed_refusal(request, message));
            self.refuse(now, request, refusal);
        }
    }

    /// Applies the configuration in force to the queued requests: those that may no longer run are
    /// refused, and those that have not been started are planned again.
    pub(super) fn recheck_queued(&mut self, now: Millis) {
        let Some(document) = self.configuration.document().cloned() else { return };
        let queued: Vec<RequestNumber> =
            self.queues.values().flat_map(FairQueue::requests).collect();
        for request in queued {
            if let Err(refusal) = self.recheck(now, &document, request) {
                self.unqueue(request);
                self.refuse(now, request, refusal);
            }
        }
    }

    /// Plans a request again if it has not been started, or checks whether it may still run.
    pub(super) fn recheck(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        request: RequestNumber,
    ) -> Result<(), Refusal> {
        let Some(state) = self.requests.get(&request) else { return Ok(()) };
        let is_kept = state.session.is_some() || !state.attempts.is_empty();
        if is_kept || !document.teams.contains_key(&state.profile.team) {
            return self.check_target(document, state);
        }
        let (arrival, profile) = (state.arrival.clone(), state.profile.clone());
        let plan = self.plan(now, document, &arrival, &profile, None)?;
        self.unqueue(request);
        let Some(state) = self.requests.get_mut(&request) else { return Ok(()) };
        state.plan = plan;
        let pool = state.plan.steps[state.step].pool.clone();
        let entry = Self::queue_entry(document, request, state);
        self.queues.entry(pool).or_default().push(entry);
        Ok(())
    }
}
