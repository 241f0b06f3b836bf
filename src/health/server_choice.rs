use super::*;

/// What a request wants of a server.
#[derive(Clone, Debug)]
pub struct StartWish<'a> {
    /// The version or service.
    pub target: &'a WorkTarget,
    /// The size.
    pub class: SizeClass,
    /// The hash of a prompt prefix worth sharing, if any.
    pub prefix: Option<u64>,
    /// Whether the request may serve as a probe of a slow server.
    pub may_probe: bool,
    /// The servers that it ran on before.
    pub avoid: &'a [ServerId],
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

    /// Returns the server of a pool on which a request should start, and why others were not taken.
    pub fn choose(
        &mut self,
        now: Millis,
        pool: &PoolId,
        entry: &PoolEntry,
        wish: &StartWish<'_>,
    ) -> (Option<&ServerState>, Vec<PassedOver>) {
        self.wake(now);
        let mut passed_over = Vec::new();
        let chosen = self
            .probe(now, pool, entry, wish)
            .or_else(|| self.home(now, pool, entry, wish))
            .or_else(|| self.least_loaded(now, pool, entry, wish, &mut passed_over));
        (chosen.and_then(|id| self.servers.get(&id)), passed_over)
    }

    fn probe(
        &mut self,
        now: Millis,
        pool: &PoolId,
        entry: &PoolEntry,
        wish: &StartWish<'_>,
    ) -> Option<ServerId> {
        if !wish.may_probe {
            return None;
        }
        let servers = self.pools.get(pool)?;
        let due = servers.set_aside.iter().find(|id| {
            self.servers.get(*id).is_some_and(|server| {
                server.next_probe.is_some_and(|at| at <= now)
                    && server.in_flight() == 0
                    && Self::unfit(now, server, entry, wish).is_none()
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
    ) -> Option<ServerId> {
        let servers = self.pools.get(pool)?;
        let id = servers.home(wish.prefix?)?;
        let server = self.servers.get(id)?;
        let (load, _) = server.ranked?;
        let is_near = load <= servers.least_load()? + Self::AFFINITY_SLACK;
        let is_fit = Self::unfit(now, server, entry, wish).is_none();
        (is_near && is_fit).then(|| id.clone())
    }

    fn least_loaded(
        &self,
        now: Millis,
        pool: &PoolId,
        entry: &PoolEntry,
        wish: &StartWish<'_>,
        passed_over: &mut Vec<PassedOver>,
    ) -> Option<ServerId> {
        let servers = self.pools.get(pool)?;
        for id in servers.in_order(wish.class) {
            let Some(server) = self.servers.get(id) else { continue };
            let Some(reason) = Self::unfit(now, server, entry, wish) else {
                return Some(id.clone());
            };
            if passed_over.len() < Self::LOGGED_CANDIDATES {
                let candidate = id.as_str().into();
                passed_over.push(PassedOver { candidate, reason: reason.into() });
            }
            if wish.class == SizeClass::Short && reason == Self::NO_SLOT
                || wish.class == SizeClass::Long && reason == Self::NO_LONG_SLOT
            {
                return None;
            }
        }
        None
    }

    const NO_SLOT: &str = "no free slot";
    const NO_LONG_SLOT: &str = "no free slot for long work";

    /// Returns why a request may not start on a server now.
    fn unfit(
        now: Millis,
        server: &ServerState,
        entry: &PoolEntry,
        wish: &StartWish<'_>,
    ) -> Option<&'static str> {
        if server.member == MemberState::Leaving {
            return Some("leaving");
        }
        if wish.avoid.contains(&server.id) {
            return Some("tried before");
        }
        if server.trouble.is_some_and(|trouble| now < trouble.until || server.in_flight() > 0) {
            return Some("in trouble");
        }
        if let (WorkTarget::Version(version), Some(load)) = (wish.target, &server.load)
            && load.versions.as_ref().is_some_and(|versions| !versions.contains(version))
        {
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
