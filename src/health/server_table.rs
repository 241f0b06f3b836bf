use super::*;

/// All backend servers that this entry VM knows.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    servers: BTreeMap<ServerId, ServerState>,
    pools: BTreeMap<PoolId, Vec<ServerId>>,
}

impl ServerTable {
    const FIRST_PAUSE_MS: u64 = 200;
    const LAST_PAUSE_MS: u64 = 10_000;

    /// Takes in the membership list.
    pub fn update(&mut self, members: &[ServerMember]) {
        let listed: BTreeSet<&ServerId> = members.iter().map(|member| &member.id).collect();
        self.servers.retain(|id, server| listed.contains(id) || server.in_flight() > 0);
        for server in self.servers.values_mut() {
            if !listed.contains(&server.id) {
                server.member = MemberState::Leaving;
            }
        }
        for member in members {
            self.update_member(member);
        }
        self.pools.clear();
        for server in self.servers.values() {
            self.pools.entry(server.pool.clone()).or_default().push(server.id.clone());
        }
    }

    fn update_member(&mut self, member: &ServerMember) {
        let server = self.servers.entry(member.id.clone()).or_insert_with(|| ServerState {
            id: member.id.clone(),
            address: member.address,
            data_centre: member.data_centre.clone(),
            pool: member.pool.clone(),
            member: member.state,
            short: 0,
            long: 0,
            load: None,
            trouble: None,
        });
        if server.address != member.address {
            server.address = member.address;
            server.trouble = None;
        }
        server.member = member.state;
        server.pool = member.pool.clone();
    }

    /// Returns a server.
    #[must_use]
    pub fn get(&self, id: &ServerId) -> Option<&ServerState> {
        self.servers.get(id)
    }

    /// Returns all servers, sorted.
    pub fn iter(&self) -> impl Iterator<Item = &ServerState> {
        self.servers.values()
    }

    /// Returns how many servers a pool has.
    #[must_use]
    pub fn in_pool(&self, pool: &PoolId) -> usize {
        self.pools.get(pool).map_or(0, Vec::len)
    }

    /// Returns the server of a pool on which a request should start, and why others were not taken.
    ///
    /// A server to avoid is taken only if no other is fit, so that a request which has tried all
    /// servers does not hold up the queue behind it.
    #[must_use]
    pub fn choose(
        &self,
        now: Millis,
        pool: &PoolId,
        entry: &PoolEntry,
        class: SizeClass,
        avoid: &[ServerId],
        without: &[ServerId],
    ) -> (Option<&ServerState>, Vec<PassedOver>) {
        let mut passed_over = Vec::new();
        let mut best: Option<&ServerState> = None;
        let mut best_tried: Option<&ServerState> = None;
        for server in self.pools.get(pool).into_iter().flatten().map(|id| &self.servers[id]) {
            let tried = avoid.contains(&server.id);
            let unfit = Self::unfit(now, server, entry, class);
            let unfit = unfit.or(without.contains(&server.id).then_some("version not loaded"));
            if let Some(reason) = unfit.or(tried.then_some("tried before")) {
                passed_over.push(PassedOver {
                    candidate: server.id.as_str().into(),
                    reason: reason.into(),
                });
            }
            let best = if tried { &mut best_tried } else { &mut best };
            let better = best.is_none_or(|best| server.in_flight() < best.in_flight());
            if unfit.is_none() && better {
                *best = Some(server);
            }
        }
        (best.or(best_tried), passed_over)
    }

    fn unfit(
        now: Millis,
        server: &ServerState,
        entry: &PoolEntry,
        class: SizeClass,
    ) -> Option<&'static str> {
        if server.member == MemberState::Leaving {
            return Some("leaving");
        }
        if server.trouble.is_some_and(|trouble| now < trouble.until) {
            return Some("in trouble");
        }
        if server.in_flight() >= entry.slots + entry.engine_queue {
            return Some("no free slot");
        }
        if class == SizeClass::Long && server.long >= entry.long_slots {
            return Some("no free slot for long work");
        }
        None
    }

    /// Notes that a request has started on a server.
    pub fn started(&mut self, id: &ServerId, class: SizeClass) {
        let Some(server) = self.servers.get_mut(id) else { return };
        match class {
            SizeClass::Short => server.short += 1,
            SizeClass::Long => server.long += 1,
        }
    }

    /// Notes that a request has ended on a server, with the fault that speaks against it.
    pub fn ended(
        &mut self,
        now: Millis,
        id: &ServerId,
        class: SizeClass,
        fault: Option<AttemptFault>,
    ) {
        let Some(server) = self.servers.get_mut(id) else { return };
        match class {
            SizeClass::Short => server.short = server.short.saturating_sub(1),
            SizeClass::Long => server.long = server.long.saturating_sub(1),
        }
        let Some(fault) = fault else {
            server.trouble = None;
            return;
        };
        let times = server.trouble.map_or(0, |trouble| trouble.times) + 1;
        let doubled = Self::FIRST_PAUSE_MS << times.min(6);
        let until = now + Millis(doubled.min(Self::LAST_PAUSE_MS));
        server.trouble = Some(ServerTrouble { fault, times, until });
    }

    /// Takes in a load report.
    pub fn report(&mut self, id: &ServerId, report: LoadReport) {
        if let Some(server) = self.servers.get_mut(id) {
            server.load = Some(report);
        }
    }

    /// Marks a server as leaving, on its own word.
    pub fn leave(&mut self, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.member = MemberState::Leaving;
        }
    }
}
