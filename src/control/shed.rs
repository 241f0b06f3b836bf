use super::*;

impl Control {
    const STANDING_RETRY_MS: u64 = 2_000;
    const STANDING_SPREAD_MS: u64 = 6_000;

    /// Returns why a request may not be queued, if so, and makes room in a full queue.
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
        let standing = self.load.pool(pool).gate.is_standing(now);
        if standing && preset.shed_first.contains(&profile.team) {
            let message = "The preset in force sheds this team first; send the request later.";
            return Err(Self::shed_refusal(request, message));
        }
        if standing && profile.class == SizeClass::Short && self.is_backed_up(now, document, state)
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

    /// Returns whether a team's queued short work already fills its part of what can start within
    /// the short wait.
    fn is_backed_up(
        &self,
        now: Millis,
        document: &ConfigurationDocument,
        state: &RequestState,
    ) -> bool {
        const LEAST_QUEUED: f64 = 2.0;
        let team = &state.profile.team;
        let pool = &state.plan.steps[state.step].pool;
        let Some(queue) = self.queues.get(pool) else { return false };
        let Some(load) = self.load.pools.get(pool) else { return false };
        let weight = document.teams.get(team).map_or(1.0, |entry| entry.weight);
        let part = weight / queue.weight_with(team, weight);
        let wait = document.preset_in_force().short_wait_ms.0 as f64 / 1_000.0;
        let startable = load.start_rate(now) * wait * part;
        queue.team_len(team) as f64 >= startable.max(LEAST_QUEUED)
    }

    /// Makes room by shedding the newest request of the heaviest subscriber of the team with the
    /// largest backlog for its weight, which may be the new request itself.
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
        let refusal = self.with_run_of(victim, Self::shed_refusal(victim, MESSAGE));
        self.refuse(now, victim, refusal);
        Ok(())
    }

    pub(super) fn with_run_of(&self, request: RequestNumber, refusal: Refusal) -> Refusal {
        let run = self.requests.get(&request).map_or(RunState::NotRun, RequestState::run);
        refusal.with_run(run)
    }

    fn shed_refusal(request: RequestNumber, message: &str) -> Refusal {
        let hash = xxh3_64(&request.0.to_le_bytes());
        let retry = Millis(Self::STANDING_RETRY_MS + hash % Self::STANDING_SPREAD_MS);
        Refusal::not_run(RefusalCode::Unavailable, message).with_retry_after(retry)
    }

    /// Refuses queued requests whose deadline has passed.
    pub(super) fn shed_expired(&mut self, now: Millis) {
        let pools: Vec<PoolId> = self.queues.keys().cloned().collect();
        for pool in pools {
            while let Some(request) = self.queues.get(&pool).and_then(|queue| queue.expired(now)) {
                self.unqueue(request);
                let Some(state) = self.requests.get(&request) else { continue };
                let refusal = Self::deadline_refusal(request, state);
                self.refuse(now, request, refusal);
            }
            self.shed_late(now, &pool);
        }
    }

    /// Refuses short work that has waited longer than the queue of its pool allows now.
    fn shed_late(&mut self, now: Millis, pool: &PoolId) {
        let Some(document) = self.configuration.document() else { return };
        let bound = document.preset_in_force().short_wait_ms;
        let Some(queue) = self.queues.get(pool) else { return };
        let is_empty = !queue.has(SizeClass::Short);
        let oldest = queue.oldest(SizeClass::Short).map(|(queued, _)| queued);
        let wait = oldest.map_or(Millis(0), |queued| now.since(queued));
        self.load.waits.insert(pool.clone(), wait);
        // A queue that waits for servers to come back from trouble is no sign of load.
        let serves = self.servers.any_in(pool, |server| server.is_regular(now));
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
            let refusal = self.with_run_of(request, Self::shed_refusal(request, message));
            self.refuse(now, request, refusal);
        }
    }

    /// Applies the configuration in force to queued requests: refuses those that may no longer
    /// run, and plans those anew that have not been started.
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

    /// Plans a request anew if it has not been started, or checks whether it may still run.
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
