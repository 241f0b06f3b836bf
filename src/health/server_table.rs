use super::*;

/// The backend servers known to this entry VM, indexed by pool and load.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    pub(super) servers: BTreeMap<ServerId, ServerState>,
    pub(super) pools: BTreeMap<PoolId, PoolServers>,
    pub(super) peer_in_flight: BTreeMap<VmId, PeerInFlight>,
    backoff_ends: BTreeSet<(Millis, ServerId)>,
    engine_queues: BTreeMap<PoolId, u32>,
    seed: u64,
}

impl ServerTable {
    const BASE_BACKOFF_MS: u64 = 200;
    const MAX_BACKOFF_MS: u64 = 10_000;

    /// Sets the seed of the tie-breakers between equally loaded servers, so that entry VMs do not
    /// all prefer the same one. Applies to servers added later.
    pub fn set_seed(&mut self, seed: u64) {
        self.seed = seed;
    }

    /// Applies the configured depth of the servers' own queues to each pool.
    pub fn configure(&mut self, document: &ConfigurationDocument) {
        let pools = document.pools.iter();
        self.engine_queues = pools.map(|(id, pool)| (id.clone(), pool.engine_queue)).collect();
        for (id, servers) in &mut self.pools {
            servers.engine_queue = self.engine_queues.get(id).copied().unwrap_or(0);
        }
    }

    /// Applies a membership list. A server that is no longer listed is removed once it runs none of
    /// this VM's requests; until then it counts as leaving.
    pub fn update(&mut self, now: Millis, members: &[ServerMember]) {
        let listed: BTreeSet<&ServerId> = members.iter().map(|member| &member.id).collect();
        let is_removable =
            |server: &ServerState| !listed.contains(&server.id) && server.in_flight() == 0;
        self.servers.retain(|_, server| !is_removable(server));
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
            server.last_failure = None;
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
                    self.reset_members(&servers.members);
                }
            }
            servers.engine_queue = self.engine_queues.get(&pool).copied().unwrap_or(0);
            self.pools.insert(pool, servers);
        }
        let ids: Vec<ServerId> = self.servers.keys().cloned().collect();
        for id in ids {
            self.reindex(now, &id);
        }
    }

    /// Resets the index entries and counts of the members of a changed pool, to be rebuilt by
    /// [`Self::reindex`].
    fn reset_members(&mut self, members: &BTreeSet<ServerId>) {
        for id in members {
            let Some(server) = self.servers.get_mut(id) else { continue };
            server.indexed = None;
            server.counted_long = 0;
            let shares = self.peer_in_flight.values();
            server.peer_requests = shares.map(|share| share.count_on(id)).sum();
        }
    }

    /// Updates the position of a server in the indexes of its pool.
    pub(super) fn reindex(&mut self, now: Millis, id: &ServerId) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let Some(pool) = self.pools.get_mut(&server.pool) else { return };
        if let Some((load, long)) = server.indexed.take() {
            pool.remove_from_rotation(server, load, long);
        }
        pool.long_running = pool.long_running + server.long - server.counted_long;
        server.counted_long = server.long;
        if server.next_probe.is_some() {
            pool.ejected.insert(id.clone());
        } else {
            pool.ejected.remove(id);
        }
        if server.is_in_rotation(now) {
            let load = server.expected_load(now, pool.engine_queue);
            pool.add_to_rotation(server, load);
            server.indexed = Some((load, server.long));
        } else if let Some(last_failure) =
            server.last_failure.filter(|last_failure| last_failure.until > now)
        {
            self.backoff_ends.insert((last_failure.until, id.clone()));
        }
    }

    /// Returns servers whose backoff is over to rotation. Must be called before a server is
    /// selected.
    pub fn wake(&mut self, now: Millis) {
        while let Some((at, id)) = self.backoff_ends.first().cloned() {
            if at > now {
                return;
            }
            self.backoff_ends.pop_first();
            self.reindex(now, &id);
        }
    }

    /// Decays load reports and recent maxima, and drops the reports of peers that have timed out.
    pub fn age(&mut self, now: Millis) {
        self.drop_timed_out_peers(now);
        let ids: Vec<ServerId> = self.servers.keys().cloned().collect();
        for id in ids {
            if let Some(server) = self.servers.get_mut(&id) {
                let known = server.in_flight() + server.peer_requests;
                server.recent_max_load = known.max(server.recent_max_load.saturating_sub(1));
            }
            self.reindex(now, &id);
        }
    }

    /// Returns the state of a server, or `None` if it is unknown.
    #[must_use]
    pub fn get(&self, id: &ServerId) -> Option<&ServerState> {
        self.servers.get(id)
    }

    /// Returns all servers, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = &ServerState> {
        self.servers.values()
    }

    /// Returns whether any server of a pool in regular rotation has a free slot for a size class,
    /// where `long` is the number of slots per server that long requests may occupy.
    #[must_use]
    pub fn has_room(&self, pool: &PoolId, entry: &PoolEntry, class: SizeClass, long: u32) -> bool {
        let Some(servers) = self.pools.get(pool) else { return false };
        let room = servers.min_load().is_some_and(|load| load < entry.slots);
        match class {
            SizeClass::Short => room,
            SizeClass::Long => room && servers.min_long().is_some_and(|count| count < long),
        }
    }

    /// Returns the number of servers in a pool, including unavailable ones; 0 if the pool is
    /// unknown.
    #[must_use]
    pub fn pool_size(&self, pool: &PoolId) -> usize {
        self.pools.get(pool).map_or(0, |servers| servers.members.len())
    }

    /// Returns the number of this entry VM's long requests running on a pool.
    #[must_use]
    pub fn long_running(&self, pool: &PoolId) -> u32 {
        self.pools.get(pool).map_or(0, |servers| servers.long_running)
    }

    /// Records that a request has started on a server.
    pub fn started(&mut self, now: Millis, id: &ServerId, class: SizeClass) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.add(class);
        server.recent_max_load =
            server.recent_max_load.max(server.in_flight() + server.peer_requests);
        self.reindex(now, id);
    }

    /// Records that a running request has turned out to be of another size class.
    pub fn reclassed(&mut self, now: Millis, id: &ServerId, from: SizeClass, to: SizeClass) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.remove(from);
        server.add(to);
        self.reindex(now, id);
    }

    /// Records that a request has ended on a server. A `fault` is a failure of the server and
    /// starts an exponential backoff; `None` clears the last failure.
    pub fn ended(
        &mut self,
        now: Millis,
        id: &ServerId,
        class: SizeClass,
        fault: Option<AttemptFault>,
    ) {
        self.decrement_in_flight(id, class);
        let Some(server) = self.servers.get_mut(id) else { return };
        if let Some(fault) = fault {
            let times = server.last_failure.map_or(0, |last_failure| last_failure.times) + 1;
            let backoff_ms = Self::BASE_BACKOFF_MS << times.min(6);
            let until = now + Millis(backoff_ms.min(Self::MAX_BACKOFF_MS));
            server.last_failure = Some(ServerFailure { fault, times, until });
        } else {
            server.last_failure = None;
        }
        self.reindex(now, id);
    }

    /// Records that a request was cancelled on a server, which is evidence neither of failure nor
    /// of recovery.
    pub fn cancelled(&mut self, now: Millis, id: &ServerId, class: SizeClass) {
        self.decrement_in_flight(id, class);
        self.reindex(now, id);
    }

    fn decrement_in_flight(&mut self, id: &ServerId, class: SizeClass) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.remove(class);
    }

    /// Stores a load report, unless a newer one is known.
    pub fn report(&mut self, now: Millis, id: &ServerId, report: LoadReport) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let is_older = server.load.as_ref().is_some_and(|load| report.as_of_ms < load.as_of_ms);
        if !is_older {
            server.load = Some(report);
            server.reported = now;
        }
        self.reindex(now, id);
    }

    /// Marks a server as leaving, as it has announced itself.
    pub fn leave(&mut self, now: Millis, id: &ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.member = MemberState::Leaving;
        }
        self.reindex(now, id);
    }
}
