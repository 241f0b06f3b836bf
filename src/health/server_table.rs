use super::*;

/// All backend servers that this entry VM knows.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    pub(super) servers: BTreeMap<ServerId, ServerState>,
    pub(super) pools: BTreeMap<PoolId, PoolServers>,
    pub(super) peer_shares: BTreeMap<VmId, PeerShare>,
    wake_ups: BTreeSet<(Millis, ServerId)>,
    engine_queues: BTreeMap<PoolId, u32>,
    seed: u64,
}

impl ServerTable {
    const FIRST_PAUSE_MS: u64 = 200;
    const LAST_PAUSE_MS: u64 = 10_000;

    /// Gives the order among equal servers, so that entry VMs don't all prefer the same one.
    pub fn set_seed(&mut self, seed: u64) {
        self.seed = seed;
    }

    /// Takes in the depth of the servers' own queues.
    pub fn configure(&mut self, document: &ConfigurationDocument) {
        let depths = document.pools.iter();
        self.engine_queues = depths.map(|(id, pool)| (id.clone(), pool.engine_queue)).collect();
        for (id, servers) in &mut self.pools {
            servers.engine_queue = self.engine_queues.get(id).copied().unwrap_or(0);
        }
    }

    /// Takes in the membership list.
    pub fn update(&mut self, now: Millis, members: &[ServerMember]) {
        let listed: BTreeSet<&ServerId> = members.iter().map(|member| &member.id).collect();
        let gone = |server: &ServerState| !listed.contains(&server.id) && server.in_flight() == 0;
        self.servers.retain(|_, server| !gone(server));
        for server in self.servers.values_mut() {
            if !listed.contains(&server.id) {
                server.member = MemberState::Leaving;
            }
        }
        for member in members {
            self.update_member(member);
        }
        self.rebuild_pools(now);
    }

    fn update_member(&mut self, member: &ServerMember) {
        let seed = self.seed;
        let server = self.servers.entry(member.id.clone()).or_insert_with(|| {
            let name = member.id.as_str().as_bytes();
            ServerState::new(member, xxhash_rust::xxh3::xxh3_64_with_seed(name, seed) as u32)
        });
        if server.address != member.address {
            server.address = member.address;
            server.trouble = None;
        }
        server.member = member.state;
        server.pool = member.pool.clone();
    }

    fn rebuild_pools(&mut self, now: Millis) {
        let mut before = std::mem::take(&mut self.pools);
        let mut members: BTreeMap<PoolId, BTreeSet<ServerId>> = BTreeMap::new();
        for server in self.servers.values() {
            members.entry(server.pool.clone()).or_default().insert(server.id.clone());
        }
        for (pool, members) in members {
            let mut servers = PoolServers::default();
            match before.remove(&pool) {
                Some(old) if old.members == members => servers = old,
                _ => {
                    servers.members = members;
                    servers.rebuild_ring();
                    self.recount(&servers.members);
                }
            }
            servers.engine_queue = self.engine_queues.get(&pool).copied().unwrap_or(0);
            self.pools.insert(pool, servers);
        }
        let ids: Vec<ServerId> = self.servers.keys().cloned().collect();
        for id in ids {
            self.rank(now, &id);
        }
    }

    /// Makes servers of a changed pool enter its order and counts anew.
    fn recount(&mut self, members: &BTreeSet<ServerId>) {
        for id in members {
            let Some(server) = self.servers.get_mut(id) else { continue };
            server.ranked = None;
            server.counted_long = 0;
            let shares = self.peer_shares.values();
            server.peers = shares.map(|share| share.on(id)).sum();
        }
    }

    /// Puts a server where it belongs in the order of its pool.
    pub(super) fn rank(&mut self, now: Millis, id: &ServerId) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let Some(pool) = self.pools.get_mut(&server.pool) else { return };
        if let Some((load, long)) = server.ranked.take() {
            pool.leave(server, load, long);
        }
        pool.long_running = pool.long_running + server.long - server.counted_long;
        server.counted_long = server.long;
        if server.next_probe.is_some() {
            pool.set_aside.insert(id.clone());
        } else {
            pool.set_aside.remove(id);
        }
        if server.is_regular(now) {
            let load = server.expected_load(now, pool.engine_queue);
            pool.enter(server, load);
            server.ranked = Some((load, server.long));
        } else if let Some(trouble) = server.trouble.filter(|trouble| trouble.until > now) {
            self.wake_ups.insert((trouble.until, id.clone()));
        }
    }

    /// Takes servers back whose pause is over. To be called before a choice.
    pub fn wake(&mut self, now: Millis) {
        while let Some((at, id)) = self.wake_ups.first().cloned() {
            if at > now {
                return;
            }
            self.wake_ups.pop_first();
            self.rank(now, &id);
        }
    }

    /// Ages load reports and the word of peers that have fallen silent.
    pub fn age(&mut self, now: Millis) {
        self.forget_silent_peers(now);
        let ids: Vec<ServerId> = self.servers.keys().cloned().collect();
        for id in ids {
            if let Some(server) = self.servers.get_mut(&id) {
                let known = server.in_flight() + server.peers;
                server.recent_peak = known.max(server.recent_peak.saturating_sub(1));
            }
            self.rank(now, &id);
        }
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

    /// Returns whether some regular server of a pool has room for a class.
    #[must_use]
    pub fn has_room(&self, pool: &PoolId, entry: &PoolEntry, class: SizeClass, long: u32) -> bool {
        let Some(servers) = self.pools.get(pool) else { return false };
        let room = servers.least_load().is_some_and(|load| load < entry.slots);
        match class {
            SizeClass::Short => room,
            SizeClass::Long => room && servers.least_long().is_some_and(|count| count < long),
        }
    }

    /// Returns the number of servers of a pool.
    #[must_use]
    pub fn pool_size(&self, pool: &PoolId) -> usize {
        self.pools.get(pool).map_or(0, |servers| servers.members.len())
    }

    /// Returns the long requests of this entry VM that run on a pool.
    #[must_use]
    pub fn long_running(&self, pool: &PoolId) -> u32 {
        self.pools.get(pool).map_or(0, |servers| servers.long_running)
    }

    /// Notes that a request has started on a server.
    pub fn started(&mut self, now: Millis, id: &ServerId, class: SizeClass) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.add(class);
        server.recent_peak = server.recent_peak.max(server.in_flight() + server.peers);
        self.rank(now, id);
    }

    /// Notes that a running request has turned out to be of another class.
    pub fn reclassed(&mut self, now: Millis, id: &ServerId, from: SizeClass, to: SizeClass) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.remove(from);
        server.add(to);
        self.rank(now, id);
    }

    /// Notes that a request has ended on a server, with the fault that speaks against it.
    pub fn ended(
        &mut self,
        now: Millis,
        id: &ServerId,
        class: SizeClass,
        fault: Option<AttemptFault>,
    ) {
        self.released(id, class);
        let Some(server) = self.servers.get_mut(id) else { return };
        if let Some(fault) = fault {
            let times = server.trouble.map_or(0, |trouble| trouble.times) + 1;
            let doubled = Self::FIRST_PAUSE_MS << times.min(6);
            let until = now + Millis(doubled.min(Self::LAST_PAUSE_MS));
            server.trouble = Some(ServerTrouble { fault, times, until });
        } else {
            server.trouble = None;
        }
        self.rank(now, id);
    }

    /// Notes that a request was cancelled on a server, which says nothing about the server.
    pub fn cancelled(&mut self, now: Millis, id: &ServerId, class: SizeClass) {
        self.released(id, class);
        self.rank(now, id);
    }

    fn released(&mut self, id: &ServerId, class: SizeClass) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.remove(class);
    }

    /// Takes in a load report.
    pub fn report(&mut self, now: Millis, id: &ServerId, report: LoadReport) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let is_older = server.load.as_ref().is_some_and(|load| report.as_of_ms < load.as_of_ms);
        if !is_older {
            server.load = Some(report);
            server.reported = now;
        }
        self.rank(now, id);
    }

    /// Marks a server as leaving, on its own word.
    pub fn leave(&mut self, now: Millis, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.member = MemberState::Leaving;
        }
        self.rank(now, id);
    }
}
