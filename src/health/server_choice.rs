use super::*;

/// The requirements of a request on the server that is to run it.
#[derive(Clone, Debug)]
pub struct ServerRequirements<'a> {
    /// The size class of the request.
    pub class: SizeClass,
    /// The hash of the prompt prefix whose cache entries can be reused, if any.
    pub prefix: Option<u64>,
    /// Whether the request may be sent to an ejected server as a probe.
    pub may_probe: bool,
    /// The servers to select only if no other is eligible.
    pub avoid: &'a [ServerId],
    /// The servers on which the request is running already; they are never selected.
    pub excluded: Vec<ServerId>,
    /// The number of slots per server that long requests may occupy now.
    pub long_slots: u32,
}

impl ServerTable {
    const PROBE_INTERVAL_MS: u64 = 500;
    /// A server is ejected when its latency reaches this multiple of the pool's median.
    const EJECT_RATIO: f64 = 2.5;
    /// An ejected server is readmitted when its latency falls to this multiple of the median.
    const READMIT_RATIO: f64 = 1.5;
    /// How many more requests the preferred server of a prefix may have than the least loaded
    /// server.
    const AFFINITY_SLACK: u32 = 2;
    const MAX_LOGGED_CANDIDATES: usize = 8;
    const MEDIAN_INTERVAL_MS: u64 = 100;

    /// Selects the server of a pool on which a request should start, and returns why others were
    /// passed over. `has` tells whether a server has what the request needs, such as the version.
    pub fn choose(
        &mut self,
        now: Millis,
        pool: &PoolId,
        entry: &PoolEntry,
        requirements: &ServerRequirements<'_>,
        has: &dyn Fn(&ServerState) -> bool,
    ) -> (Option<&ServerState>, Vec<RejectedCandidate>) {
        self.wake(now);
        if let Some(id) = self.due_probe(now, pool, entry, requirements, has) {
            return (self.servers.get(&id), Vec::new());
        }
        self.find(now, pool, entry, requirements, has)
    }

    /// Like [`Self::choose`], but never sends the request to an ejected server as a probe.
    #[must_use]
    pub fn find(
        &self,
        now: Millis,
        pool: &PoolId,
        entry: &PoolEntry,
        requirements: &ServerRequirements<'_>,
        has: &dyn Fn(&ServerState) -> bool,
    ) -> (Option<&ServerState>, Vec<RejectedCandidate>) {
        let mut passed_over = Vec::new();
        let chosen = self
            .prefix_server(now, pool, entry, requirements, has)
            .or_else(|| self.least_loaded(now, pool, entry, requirements, has, &mut passed_over))
            .or_else(|| self.avoided(now, pool, entry, requirements, has));
        (chosen, passed_over)
    }

    /// Returns whether `has` holds for any server of a pool, regardless of its load and health.
    pub fn any_in(&self, pool: &PoolId, has: impl Fn(&ServerState) -> bool) -> bool {
        let Some(servers) = self.pools.get(pool) else { return false };
        servers.members.iter().filter_map(|id| self.servers.get(id)).any(has)
    }

    fn due_probe(
        &mut self,
        now: Millis,
        pool: &PoolId,
        entry: &PoolEntry,
        requirements: &ServerRequirements<'_>,
        has: &dyn Fn(&ServerState) -> bool,
    ) -> Option<ServerId> {
        if !requirements.may_probe {
            return None;
        }
        let servers = self.pools.get(pool)?;
        let due = servers.ejected.iter().find(|id| {
            self.servers.get(*id).is_some_and(|server| {
                server.next_probe.is_some_and(|at| at <= now)
                    && server.in_flight() == 0
                    && !requirements.avoid.contains(id)
                    && Self::rejection_reason(now, server, entry, requirements, has).is_none()
            })
        });
        let id = due?.clone();
        let server = self.servers.get_mut(&id)?;
        server.next_probe = Some(now + Millis(Self::PROBE_INTERVAL_MS));
        Some(id)
    }

    fn prefix_server(
        &self,
        now: Millis,
        pool: &PoolId,
        entry: &PoolEntry,
        requirements: &ServerRequirements<'_>,
        has: &dyn Fn(&ServerState) -> bool,
    ) -> Option<&ServerState> {
        let servers = self.pools.get(pool)?;
        let id = servers.prefix_server(requirements.prefix?)?;
        let server = self.servers.get(id)?;
        let (load, _) = server.indexed?;
        let is_load_close = load <= servers.min_load()? + Self::AFFINITY_SLACK;
        let is_eligible = Self::rejection_reason(now, server, entry, requirements, has).is_none();
        (is_load_close && is_eligible && !requirements.avoid.contains(id)).then_some(server)
    }

    fn least_loaded(
        &self,
        now: Millis,
        pool: &PoolId,
        entry: &PoolEntry,
        requirements: &ServerRequirements<'_>,
        has: &dyn Fn(&ServerState) -> bool,
        passed_over: &mut Vec<RejectedCandidate>,
    ) -> Option<&ServerState> {
        let servers = self.pools.get(pool)?;
        for id in servers.in_load_order(requirements.class) {
            let Some(server) = self.servers.get(id) else { continue };
            let rejection_reason = Self::rejection_reason(now, server, entry, requirements, has);
            let tried = requirements.avoid.contains(id).then_some("tried before");
            let Some(reason) = rejection_reason.or(tried) else { return Some(server) };
            if passed_over.len() < Self::MAX_LOGGED_CANDIDATES {
                let candidate = id.as_str().into();
                passed_over.push(RejectedCandidate { candidate, reason: reason.into() });
            }
            let is_full = match requirements.class {
                SizeClass::Short => reason == Self::NO_SLOT,
                SizeClass::Long => reason == Self::NO_LONG_SLOT,
            };
            if is_full {
                return None;
            }
        }
        None
    }

    /// Returns the least loaded eligible server among those to avoid.
    fn avoided(
        &self,
        now: Millis,
        pool: &PoolId,
        entry: &PoolEntry,
        requirements: &ServerRequirements<'_>,
        has: &dyn Fn(&ServerState) -> bool,
    ) -> Option<&ServerState> {
        let avoided = requirements.avoid.iter().filter_map(|id| self.servers.get(id));
        let eligible = avoided.filter(|server| {
            server.pool == *pool
                && server.indexed.is_some()
                && Self::rejection_reason(now, server, entry, requirements, has).is_none()
        });
        eligible.min_by_key(|server| server.in_flight())
    }

    const NO_SLOT: &str = "no free slot";
    const NO_LONG_SLOT: &str = "no free slot for long work";

    /// Returns why a request may not start on a server now, or `None` if it may.
    fn rejection_reason(
        now: Millis,
        server: &ServerState,
        entry: &PoolEntry,
        requirements: &ServerRequirements<'_>,
        has: &dyn Fn(&ServerState) -> bool,
    ) -> Option<&'static str> {
        if server.member == MemberState::Leaving {
            return Some("leaving");
        }
        if requirements.excluded.contains(&server.id) {
            return Some("runs there");
        }
        if server
            .last_failure
            .is_some_and(|last_failure| now < last_failure.until || server.in_flight() > 0)
        {
            return Some("in trouble");
        }
        if !has(server) {
            return Some("version not loaded");
        }
        if server.indexed.map_or(server.in_flight(), |(load, _)| load) >= entry.slots {
            return Some(Self::NO_SLOT);
        }
        if requirements.class == SizeClass::Long && server.long >= requirements.long_slots {
            return Some(Self::NO_LONG_SLOT);
        }
        None
    }

    /// Records the ratio of one of a server's latencies to the pool's median, and ejects or
    /// readmits the server accordingly.
    pub fn observe_latency_ratio(&mut self, now: Millis, id: &ServerId, ratio: f64) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.observe_latency_ratio(now, ratio);
        let pool = server.pool.clone();
        let median = self.median_log_ratio(now, &pool);
        let Some(server) = self.servers.get_mut(id) else { return };
        let relative = (server.log_latency_ratio - median).exp();
        let can_eject = self.pools.get(&pool).is_some_and(PoolServers::may_eject);
        if server.next_probe.is_none() && relative >= Self::EJECT_RATIO && can_eject {
            server.next_probe = Some(now + Millis(Self::PROBE_INTERVAL_MS));
            tracing::info!(server = %id, pace = relative, "slow server ejected; sending probes only");
        } else if server.next_probe.is_some() && relative <= Self::READMIT_RATIO {
            server.next_probe = None;
            tracing::info!(server = %id, pace = relative, "server readmitted after recovery");
        } else {
            return;
        }
        self.reindex(now, id);
    }

    /// Returns the median of the logarithmic latency ratios of a pool's servers, recomputed at most
    /// once per [`Self::MEDIAN_INTERVAL_MS`].
    fn median_log_ratio(&mut self, now: Millis, pool: &PoolId) -> f64 {
        let Some(servers) = self.pools.get_mut(pool) else { return 0.0 };
        if now < servers.median_expires {
            return servers.median_log_ratio;
        }
        let states = servers.members.iter().filter_map(|id| self.servers.get(id));
        let mut ratios: Vec<f64> = states.map(|server| server.log_latency_ratio).collect();
        if ratios.is_empty() {
            return 0.0;
        }
        let middle = (ratios.len() - 1) / 2;
        servers.median_log_ratio = *ratios.select_nth_unstable_by(middle, f64::total_cmp).1;
        servers.median_expires = now + Millis(Self::MEDIAN_INTERVAL_MS);
        servers.median_log_ratio
    }
}
