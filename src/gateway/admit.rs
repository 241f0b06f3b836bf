//! Admission of requests: finds the route, checks the API key and picks a pool.

use super::*;

/// The result of admitting a request.
struct Admission {
    route: Arc<RouteEntry>,
    team: Option<TeamId>,
    rank: u8,
}

impl Gateway {
    /// `Retry-After` when this VM cannot serve a request but another VM probably can at once.
    const RETRY_ELSEWHERE_MS: u64 = 50;
    /// `Retry-After` while this VM has no configuration yet. The balancer sends callers to a VM
    /// that is not ready only if all VMs of its data centre are starting, which takes about this
    /// long.
    const STARTING_RETRY_MS: u64 = 400;
    /// The deadline of a request whose caller sends none.
    const DEFAULT_DEADLINE_MS: u64 = 60_000;

    pub(super) fn on_arrival(&mut self, now: Millis, arrival: RoutedArrival) {
        if let Some(arrival) = self.hold_at_start(now, arrival) {
            self.admit_or_refuse(now, arrival);
        }
    }

    pub(super) fn admit_or_refuse(&mut self, now: Millis, arrival: RoutedArrival) {
        let request = arrival.request;
        match self.admit(now, &arrival) {
            Ok(admission) => self.accept(now, arrival, admission),
            Err(refusal) => {
                let age = self.lease.age(now).map(|age| age.0);
                let revision = self.document.as_ref().map(|document| document.revision.0);
                tracing::info!(
                    request = request.0,
                    caller_id = %arrival.caller_id,
                    host = %arrival.host,
                    path = %arrival.path,
                    code = refusal.code.as_str(),
                    reason = %refusal.message,
                    revision,
                    knowledge_age_ms = age,
                    "refused on arrival"
                );
                self.emit(GatewayCommand::Refuse { request, refusal });
            }
        }
    }

    fn admit(&self, now: Millis, arrival: &RoutedArrival) -> Result<Admission, Refusal> {
        let Some(document) = &self.document else {
            let message = "This entry VM knows no configuration yet; ask again.";
            let pause = Millis(Self::STARTING_RETRY_MS);
            let refusal = Refusal::not_run(RefusalCode::Unavailable, message);
            return Err(refusal.with_retry_after(pause));
        };
        let Some(route) = document.routes.find(&arrival.host, &arrival.path) else {
            let message = format!("There is no route for {}{}.", arrival.host, arrival.path);
            return Err(Refusal::not_run(RefusalCode::NotFound, message));
        };
        let route = Arc::clone(route);
        let keys = match &document.keys {
            TeamKeys::Named(keys) if !route.keyless => keys,
            TeamKeys::Named(_) | TeamKeys::Open => {
                let rank = route.rank;
                return Ok(Admission { route, team: None, rank });
            }
        };
        if !self.is_fresh(now) {
            let message =
                "This entry VM is cut off from the store and cannot check keys; ask again.";
            return Err(Self::retry_elsewhere(message));
        }
        let holder = arrival.key.as_ref().and_then(|key| keys.get(key));
        let Some(holder) = holder else {
            let message = "The key is missing or unknown; send a key of your team.";
            return Err(Refusal::not_run(RefusalCode::Unauthorised, message));
        };
        let rank = holder.rank.unwrap_or(route.rank);
        Ok(Admission { route, team: Some(holder.team.clone()), rank })
    }

    pub(super) fn retry_elsewhere(message: &str) -> Refusal {
        Refusal::not_run(RefusalCode::Unavailable, message)
            .with_retry_after(Millis(Self::RETRY_ELSEWHERE_MS))
    }

    fn accept(&mut self, now: Millis, arrival: RoutedArrival, admission: Admission) {
        let Admission { route, team, rank } = admission;
        let request = arrival.request;
        let pool = self.choose_pool(&route);
        let wait = arrival.deadline.unwrap_or(Millis(Self::DEFAULT_DEADLINE_MS));
        let ends = now + wait.min(route.timeout);
        let model = if arrival.any_model { route.models.first().cloned() } else { None };
        let window = self.bounds.resend_window_ms;
        self.budgets.entry(pool.clone()).or_default().record_request(now, window);
        self.count_request(now, &pool);
        self.count_team_request(now, team.as_ref());
        let last_event = arrival.last_event;
        let state = RoutedRequest {
            arrival,
            route,
            pool,
            team,
            rank,
            received: now,
            ends,
            model,
            runs: Vec::new(),
            first_run_since_wait: 0,
            is_delivered: false,
            last_event,
        };
        self.requests.insert(request, state);
        self.ends.insert((ends, request));
        if let Err(refusal) = self.send(now, request, "first") {
            self.refuse(now, request, refusal);
        }
    }

    fn choose_pool(&mut self, route: &RouteEntry) -> PoolId {
        let total: f64 = route.pools.iter().map(|part| part.weight).sum();
        let mut place = self.draw() * total;
        for part in &route.pools {
            place -= part.weight;
            if place < 0.0 {
                return part.pool.clone();
            }
        }
        route.pools[route.pools.len() - 1].pool.clone()
    }
}
