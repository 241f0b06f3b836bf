use super::*;

impl Gateway {
    /// The mean `Retry-After` of the least urgent rank, as a multiple of that of the most urgent.
    const LEAST_URGENT_RETURN: f64 = 2.0;

    /// Checks the room for a request that no server has begun. Returns false if it waits instead of
    /// being sent now, and the refusal if no server can answer it before its deadline.
    pub(in crate::gateway) fn check_room(
        &mut self,
        now: Millis,
        request: RequestNumber,
        place: &SelectedServer,
    ) -> Result<bool, Refusal> {
        let draw = self.draw();
        let Some(state) = self.requests.get(&request) else { return Ok(true) };
        let is_resumed = state.last_event.is_some();
        if is_resumed || state.is_delivered || state.run_state() != RunState::NotRun {
            return Ok(true);
        }
        let due = state.received + state.route.objective;
        let room = PoolRoom {
            taken: self.taken_share(now, &state.pool),
            expected: place.expected,
            objective_left: due.since(now),
            time_left: state.ends.since(now),
            waited: now.since(state.received),
        };
        let work = place.unread / self.mean_unread(&state.pool).max(1.0);
        let bid = Bid {
            more_urgent: self.more_urgent_share(state),
            work,
            overuse: self.crowded.overuse_factor(now, state.team.as_ref()),
        };
        let decision = room.decide(bid, draw);
        if decision == RoomDecision::Send {
            return Ok(true);
        }
        let loads = self.servers.get(&place.server).and_then(|server| server.load);
        tracing::info!(
            request = request.0,
            bid = bid.value(),
            rank = state.rank,
            work,
            overuse = bid.overuse,
            taken = room.taken,
            expected_ms = room.expected.0,
            objective_left_ms = room.objective_left.0,
            left_ms = room.time_left.0,
            load_age_ms = loads.map(|load| now.since(load.at).0),
            ?decision,
            "too little room"
        );
        match decision {
            RoomDecision::Send => Ok(true),
            RoomDecision::Wait(pause) => {
                self.room_counts.waits += 1;
                let reason = "waits: others bid more for the room";
                self.wait_until(now, request, now + pause, reason);
                Ok(false)
            }
            RoomDecision::Refuse => {
                let message = "The pool has no room for the request before its deadline.";
                let refusal = Self::final_refusal(state, RefusalCode::Unavailable, message);
                self.room_counts.refusals += 1;
                Err(refusal.with_retry_after(room.expected))
            }
        }
    }

    /// Returns how often requests found too little room.
    #[must_use]
    pub const fn room_counts(&self) -> RoomCounts {
        self.room_counts
    }

    /// Returns when a refused caller should come back: at a time spread around the one given, the
    /// more urgent ones first.
    pub(in crate::gateway) fn spread_return(
        &mut self,
        request: RequestNumber,
        after: Millis,
    ) -> Millis {
        let draw = self.draw();
        let Some(state) = self.requests.get(&request) else { return after };
        let less_urgent = self.more_urgent_share(state);
        let factor = 1.0 + (Self::LEAST_URGENT_RETURN - 1.0) * less_urgent;
        Millis((after.0 as f64 * factor * (0.5 + draw)) as u64)
    }

    /// Returns the requests at a pool's servers per place, those of other VMs included.
    fn taken_share(&self, now: Millis, pool: &PoolId) -> f64 {
        let servers = self.servers.open(pool);
        let (taken, places) = servers.fold((0.0, 0.0), |(taken, places), server| {
            let slots = f64::from(server.entry.slots.max(1));
            (taken + server.expected_requests(now), places + slots)
        });
        taken / places.max(1.0)
    }

    /// Returns the mean of the prompt tokens that this VM's requests under way at a pool need.
    fn mean_unread(&self, pool: &PoolId) -> f64 {
        let states = self.requests.values().filter(|state| state.pool == *pool);
        let runs = states.filter_map(RoutedRequest::open_run);
        let (count, sum) = runs.fold((0, 0.0), |(count, sum), run| (count + 1, sum + run.unread));
        sum / f64::from(count.max(1))
    }
}
