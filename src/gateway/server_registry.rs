use super::*;

/// The known backend servers by id, those included that were removed recently.
#[derive(Clone, Debug, Default)]
pub struct ServerRegistry {
    servers: BTreeMap<ServerId, BackendServer>,
    /// The data centres whose servers operators want to get no requests.
    pub(super) evacuated: EvacuatedCentres,
}

/// The effect of a change in the list of servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerUpdate {
    /// A server is new, has restarted, or accepts requests again.
    Joined,
    /// A server accepts no more requests.
    Leaving,
    /// Whether the server accepts requests did not change.
    Same,
}

impl ServerRegistry {
    /// Returns a server by id.
    #[must_use]
    pub fn get(&self, id: &ServerId) -> Option<&BackendServer> {
        self.servers.get(id)
    }

    /// Returns a mutable reference to a server.
    pub fn get_mut(&mut self, id: &ServerId) -> Option<&mut BackendServer> {
        self.servers.get_mut(id)
    }

    /// Returns all servers, those included that were removed.
    pub fn iter(&self) -> impl Iterator<Item = &BackendServer> {
        self.servers.values()
    }

    /// Returns mutable references to all servers.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut BackendServer> {
        self.servers.values_mut()
    }

    /// Returns the servers of a pool that may get new requests.
    pub fn open<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a BackendServer> {
        let of_pool = || self.servers.values().filter(move |server| server.entry.pool == *pool);
        let has_none =
            !self.evacuated.is_empty() && !of_pool().any(|server| self.takes_work(server));
        of_pool().filter(move |server| {
            self.takes_work(server) || (has_none && self.is_last_resort(server))
        })
    }

    /// Returns whether a server may get the requests of its pool if the pool has no other server.
    fn is_last_resort(&self, server: &BackendServer) -> bool {
        server.is_open() && self.evacuated.is_last_resort(&server.entry.data_centre)
    }

    /// Returns whether a server may get new requests: it accepts them, and its data centre is not
    /// evacuated.
    #[must_use]
    pub fn takes_work(&self, server: &BackendServer) -> bool {
        server.is_open() && !self.evacuated.is_closed(&server.entry.data_centre)
    }

    /// Returns the number of a pool's servers that get no requests only because their data centre
    /// is evacuated.
    #[must_use]
    pub fn closed_count(&self, pool: &PoolId) -> usize {
        let of_pool = self.servers.values().filter(|server| server.entry.pool == *pool);
        of_pool.filter(|server| server.is_open() && !self.takes_work(server)).count()
    }

    /// Returns this VM's requests under way at the servers of a data centre.
    #[must_use]
    pub fn in_flight_in(&self, centre: &DataCentreId) -> u32 {
        let servers = self.servers.values().filter(|server| server.entry.data_centre == *centre);
        servers.map(|server| server.in_flight).sum()
    }

    /// Leaves out the servers of data centres that the prompt part `part` has left, if others can
    /// take its requests.
    #[must_use]
    pub fn without_left<'a>(
        &self,
        now: Millis,
        servers: Vec<&'a BackendServer>,
        part: u64,
    ) -> Vec<&'a BackendServer> {
        if self.evacuated.is_empty() {
            return servers;
        }
        let has_left =
            |server: &BackendServer| self.evacuated.has_left(now, &server.entry.data_centre, part);
        let remaining = servers.iter().copied().filter(|server| !has_left(server));
        let remaining: Vec<&BackendServer> = remaining.collect();
        if remaining.iter().any(|server| server.is_reachable(now)) { remaining } else { servers }
    }

    /// Returns the number of servers in all pools that may get new requests.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.servers.values().filter(|server| self.takes_work(server)).count()
    }

    /// Replaces the time by which this VM's runs at each server are late, in milliseconds.
    pub fn set_lateness(&mut self, now: Millis, late: &BTreeMap<ServerId, f64>) {
        for (id, server) in &mut self.servers {
            let sum = late.get(id).copied().unwrap_or_default();
            server.late_ms = sum / server.expected_requests(now).max(1.0);
        }
    }

    /// Returns this VM's outstanding load at each server.
    #[must_use]
    pub fn own_loads(&self) -> LoadTotals {
        let mut sum = LoadTotals::default();
        for (id, server) in &self.servers {
            sum.add(ServerTag::from(id), server.own_load());
        }
        sum
    }

    /// Replaces the outstanding load of other VMs at each server.
    pub fn note_others(&mut self, others: &LoadTotals) {
        for (id, server) in &mut self.servers {
            server.others = Some(others.of(ServerTag::from(id)));
        }
    }

    /// Forgets the outstanding load of other VMs; the loads that servers report are used instead.
    pub fn forget_others(&mut self) {
        self.servers.values_mut().for_each(|server| server.others = None);
    }

    /// Applies an entry that a server registered. An entry of an earlier start than the known one
    /// is ignored; a new address or a later start resets what is known of the server.
    pub fn apply_entry(&mut self, entry: ServerEntry) -> ServerUpdate {
        let is_restart = self.servers.get(&entry.id).is_none_or(|known| {
            known.entry.address != entry.address || known.entry.born < entry.born
        });
        if is_restart {
            self.servers.insert(entry.id.clone(), BackendServer::new(entry));
            return ServerUpdate::Joined;
        }
        let Some(known) = self.servers.get_mut(&entry.id) else { return ServerUpdate::Same };
        if known.entry.born > entry.born {
            return ServerUpdate::Same;
        }
        let was_open = known.is_open();
        known.entry = entry;
        known.removed = None;
        match (was_open, known.is_open()) {
            (true, false) => ServerUpdate::Leaving,
            (false, true) => ServerUpdate::Joined,
            _ => ServerUpdate::Same,
        }
    }

    /// Applies the removal of a server's entry. The server is kept until [`Self::forget_removed`].
    pub fn apply_removal(&mut self, now: Millis, id: &ServerId) -> ServerUpdate {
        let Some(known) = self.servers.get_mut(id) else { return ServerUpdate::Same };
        let was_open = known.is_open();
        known.removed = known.removed.or(Some(now));
        if was_open { ServerUpdate::Leaving } else { ServerUpdate::Same }
    }

    /// Returns the known servers that are missing from a complete list without having been removed.
    #[must_use]
    pub fn unlisted(&self, listed: &BTreeSet<ServerId>) -> Vec<ServerId> {
        let known = self.servers.iter().filter(|(_, server)| server.removed.is_none());
        let unlisted = known.filter(|(id, _)| !listed.contains(*id));
        unlisted.map(|(id, _)| id.clone()).collect()
    }

    /// Deletes servers that were removed more than a minute ago and have no requests under way, and
    /// returns their ids.
    pub fn forget_removed(&mut self, now: Millis) -> Vec<ServerId> {
        /// Longer than any request. A later entry with the same id counts as a new server.
        const RETENTION_MS: u64 = 60_000;
        let is_expired = |server: &BackendServer| {
            let is_expired = server.removed.is_some_and(|at| now.since(at).0 > RETENTION_MS);
            is_expired && server.in_flight == 0
        };
        let gone = self.servers.values().filter(|server| is_expired(server));
        let gone: Vec<ServerId> = gone.map(|server| server.entry.id.clone()).collect();
        self.servers.retain(|_, server| !is_expired(server));
        gone
    }
}
