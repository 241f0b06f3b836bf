use super::*;

/// What a request wants of a server.
#[derive(Clone, Debug)]
pub struct StartWish<'a> {
    /// The size.
    pub class: SizeClass,
    /// The hash of a prompt prefix worth sharing, if any.
    pub prefix: Option<u64>,
    /// Whether the request may serve as a probe of a slow server.
    pub may_probe: bool,
    /// The servers to take only if no other is fit.
    pub avoid: &'a [ServerId],
    /// The servers that it runs on now.
    pub never: Vec<ServerId>,
    /// The slots of a server that long work may take now.
    pub long_slots: u32,
}

impl ServerTable {
    const PROBE_INTERVAL_MS: u64 = 500;
    /// The pace, as a multiple of the pool's median, from which a server is set aside.
    const SLOW_PACE: f64 = 2.5;
    /// The multiple below which it is taken back.
    const RECOVERED_PACE: f64 = 1.5;
    /// How much busier the home of a prefix may be than the idlest server.
    const AFFINITY_SLACK: u32 = 2;
    const LOGGED_CANDIDATES: usize = 8;
    const MEDIAN_INTERVAL_MS: u64 = 100;

    /// Returns the server of a pool on which a request should start, and why others were not
    /// taken, where `has` tells whether a server has what the request needs.
    pub fn choose(
        &mut self,
        now: Millis,
        pool: &PoolId,
        entry: &PoolEntry,
        wish: &StartWish<'_>,
        has: &dyn Fn(&ServerState) -> bool,
    ) -> (Option<&ServerState>, Vec<PassedOver>) {
        self.wake(now);
        if let Some(id) = self.probe(now, pool, entry, wish, has) {
            return (self.servers.get(&id), Vec::new());
        }
        self.find(now, pool, entry, wish, has)
    }

    /// Like [`Self::choose`], without a probe of a slow server.
    #[must_use]
    pub fn find(
        &self,
        now: Millis,
        pool: &PoolId,
        entry: &PoolEntry,
        wish: &StartWish<'_>,
        has: &dyn Fn(&ServerState) -> bool,
    ) -> (Option<&ServerState>, Vec<PassedOver>) {
        let mut passed_over = Vec::new();
        let chosen = self
            .home(now, pool, entry, wish, has)
            .or_else(|| self.least_loaded(now, pool, entry, wish, has, &mut passed_over))
            .or_else(|| self.avoided(now, pool, entry, wish, has));
        (chosen, passed_over)
    }

    /// Returns whether any server of a pool has what a request needs.
    pub fn any_in(&self, pool: &PoolId, has: impl Fn(&ServerState) -> bool) -> bool {
        let Some(servers) = self.pools.get(pool) else { return false };
        servers.members.iter().filter_map(|id| self.servers.get(id)).any(has)
    }

    fn probe(
        &mut self,
        now: Millis,
        pool: &PoolId,
        entry: &PoolEntry,
        wish: &StartWish<'_>,
        has: &dyn Fn(&ServerState) -> bool,
    ) -> Option<ServerId> {
        if !wish.may_probe {
            return None;
        }
        let servers = self.pools.get(pool)?;
        let due = servers.set_aside.iter().find(|id| {
            self.servers.get(*id).is_some_and(|server| {
                server.next_probe.is_some_and(|at| at <= now)
                    && server.in_flight() == 0
                    && !wish.avoid.contains(id)
                    && Self::unfit(now, server, entry, wish, has).is_none()
            })
        });
        let id = due?.clone();
        let server = self.servers.get_mut(&id)?;
        server.next_probe = Some(now + Millis(Self::PROBE_INTERVAL_MS));
        Some(id)
    }

    fn home(
        &self,
        now: Millis,
        pool: &PoolId,
        entry: &PoolEntry,
        wish: &StartWish<'_>,
        has: &dyn Fn(&ServerState) -> bool,
    ) -> Option<&ServerState> {
        let servers = self.pools.get(pool)?;
        let id = servers.home(wish.prefix?)?;
        let server = self.servers.get(id)?;
        let (load, _) = server.ranked?;
        let is_near = load <= servers.least_load()? + Self::AFFINITY_SLACK;
        let is_fit = Self::unfit(now, server, entry, wish, has).is_none();
        (is_near && is_fit && !wish.avoid.contains(id)).then_some(server)
    }

    fn least_loaded(
        &self,
        now: Millis,
        pool: &PoolId,
        entry: &PoolEntry,
        wish: &StartWish<'_>,
        has: &dyn Fn(&ServerState) -> bool,
        passed_over: &mut Vec<PassedOver>,
    ) -> Option<&ServerState> {
        let servers = self.pools.get(pool)?;
        for id in servers.in_order(wish.class) {
            let Some(server) = self.servers.get(id) else { continue };
            let unfit = Self::unfit(now, server, entry, wish, has);
            let tried = wish.avoid.contains(id).then_some("tried before");
            let Some(reason) = unfit.or(tried) else { return Some(server) };
            if passed_over.len() < Self::LOGGED_CANDIDATES {
                let candidate = id.as_str().into();
                passed_over.push(PassedOver { candidate, reason: reason.into() });
            }
            let is_full = match wish.class {
                SizeClass::Short => reason == Self::NO_SLOT,
                SizeClass::Long => reason == Self::NO_LONG_SLOT,
            };
            if is_full {
                return None;
            }
        }
        None
    }

    /// Returns the least loaded server among those to avoid.
    fn avoided(
        &self,
        now: Millis,
        pool: &PoolId,
        entry: &PoolEntry,
        wish: &StartWish<'_>,
        has: &dyn Fn(&ServerState) -> bool,
    ) -> Option<&ServerState> {
        let avoided = wish.avoid.iter().filter_map(|id| self.servers.get(id));
        let fit = avoided.filter(|server| {
            server.pool == *pool
                && server.ranked.is_some()
                && Self::unfit(now, server, entry, wish, has).is_none()
        });
        fit.min_by_key(|server| server.in_flight())
    }

    const NO_SLOT: &str = "no free slot";
    const NO_LONG_SLOT: &str = "no free slot for long work";

    /// Returns why a request may not start on a server now.
    fn unfit(
        now: Millis,
        server: &ServerState,
        entry: &PoolEntry,
        wish: &StartWish<'_>,
        has: &dyn Fn(&ServerState) -> bool,
    ) -> Option<&'static str> {
        if server.member == MemberState::Leaving {
            return Some("leaving");
        }
        if wish.never.contains(&server.id) {
            return Some("runs there");
        }
        if server.trouble.is_some_and(|trouble| now < trouble.until || server.in_flight() > 0) {
            return Some("in trouble");
        }
        if !has(server) {
            return Some("version not loaded");
        }
        if server.ranked.map_or(server.in_flight(), |(load, _)| load) >= entry.slots {
            return Some(Self::NO_SLOT);
        }
        if wish.class == SizeClass::Long && server.long >= wish.long_slots {
            return Some(Self::NO_LONG_SLOT);
        }
        None
    }

    /// Takes in the ratio of one of a server's times to the pool's usual one, and sets the server
    /// aside or takes it back.
    pub fn observe_pace(&mut self, now: Millis, id: &ServerId, ratio: f64) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.observe_pace(now, ratio);
        let pool = server.pool.clone();
        let median = self.median_pace(now, &pool);
        let Some(server) = self.servers.get_mut(id) else { return };
        let relative = (server.log_pace - median).exp();
        let may = self.pools.get(&pool).is_some_and(PoolServers::may_set_aside);
        if server.next_probe.is_none() && relative >= Self::SLOW_PACE && may {
            server.next_probe = Some(now + Millis(Self::PROBE_INTERVAL_MS));
            tracing::info!(server = %id, pace = relative, "slow server set aside");
        } else if server.next_probe.is_some() && relative <= Self::RECOVERED_PACE {
            server.next_probe = None;
            tracing::info!(server = %id, pace = relative, "server taken back");
        } else {
            return;
        }
        self.rank(now, id);
    }

    /// Returns the median pace of a pool's servers, computed anew once in a while.
    fn median_pace(&mut self, now: Millis, pool: &PoolId) -> f64 {
        let Some(servers) = self.pools.get_mut(pool) else { return 0.0 };
        if now < servers.median_until {
            return servers.median_pace;
        }
        let states = servers.members.iter().filter_map(|id| self.servers.get(id));
        let mut paces: Vec<f64> = states.map(|server| server.log_pace).collect();
        if paces.is_empty() {
            return 0.0;
        }
        let middle = (paces.len() - 1) / 2;
        servers.median_pace = *paces.select_nth_unstable_by(middle, f64::total_cmp).1;
        servers.median_until = now + Millis(Self::MEDIAN_INTERVAL_MS);
        servers.median_pace
    }
}
