use super::*;

/// The backend servers by id.
#[derive(Clone, Debug, Default)]
pub struct ServerBook {
    servers: BTreeMap<ServerId, BackendServer>,
}

/// What a change in the list has done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerNews {
    /// A server is new, or has started again.
    Joined,
    /// A server takes no more work.
    Leaving,
    /// Nothing that matters.
    Same,
}

impl ServerBook {
    /// Returns a server.
    #[must_use]
    pub fn get(&self, id: &ServerId) -> Option<&BackendServer> {
        self.servers.get(id)
    }

    /// Returns a server to change it.
    pub fn get_mut(&mut self, id: &ServerId) -> Option<&mut BackendServer> {
        self.servers.get_mut(id)
    }

    /// Returns all servers.
    pub fn iter(&self) -> impl Iterator<Item = &BackendServer> {
        self.servers.values()
    }

    /// Returns the servers of a pool that may get new work.
    pub fn open<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a BackendServer> {
        self.servers.values().filter(move |server| server.is_open() && server.entry.pool == *pool)
    }

    /// Returns the number of servers that may get new work.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.servers.values().filter(|server| server.is_open()).count()
    }

    /// Returns what this VM has sent to the servers.
    #[must_use]
    pub fn own_loads(&self) -> LoadSum {
        let mut sum = LoadSum::default();
        for (id, server) in &self.servers {
            sum.add(ServerTag::from(id), server.own_load());
        }
        sum
    }

    /// Notes what other VMs have sent to the servers.
    pub fn note_others(&mut self, others: &LoadSum) {
        for (id, server) in &mut self.servers {
            server.others = Some(others.of(ServerTag::from(id)));
        }
    }

    /// Takes in what a server has said of itself.
    pub fn said(&mut self, entry: ServerEntry) -> ServerNews {
        let is_restart = self.servers.get(&entry.id).is_none_or(|known| {
            known.entry.address != entry.address || known.entry.born < entry.born
        });
        if is_restart {
            self.servers.insert(entry.id.clone(), BackendServer::new(entry));
            return ServerNews::Joined;
        }
        let Some(known) = self.servers.get_mut(&entry.id) else { return ServerNews::Same };
        if known.entry.born > entry.born {
            return ServerNews::Same;
        }
        let was_open = known.is_open();
        known.entry = entry;
        known.removed = None;
        match (was_open, known.is_open()) {
            (true, false) => ServerNews::Leaving,
            (false, true) => ServerNews::Joined,
            _ => ServerNews::Same,
        }
    }

    /// Takes in that a server's entry was removed.
    pub fn removed(&mut self, now: Millis, id: &ServerId) -> ServerNews {
        let Some(known) = self.servers.get_mut(id) else { return ServerNews::Same };
        let was_open = known.is_open();
        known.removed = known.removed.or(Some(now));
        if was_open { ServerNews::Leaving } else { ServerNews::Same }
    }

    /// Returns the servers that were not removed and are not among those listed.
    #[must_use]
    pub fn unlisted(&self, listed: &BTreeSet<ServerId>) -> Vec<ServerId> {
        let known = self.servers.iter().filter(|(_, server)| server.removed.is_none());
        let unlisted = known.filter(|(id, _)| !listed.contains(*id));
        unlisted.map(|(id, _)| id.clone()).collect()
    }

    /// Forgets servers that were removed long ago and have no requests, and returns them.
    pub fn forget_removed(&mut self, now: Millis) -> Vec<ServerId> {
        /// Longer than any request; later entries of the same id count as new servers.
        const KEEP_MS: u64 = 60_000;
        let is_old = |server: &BackendServer| {
            let is_old = server.removed.is_some_and(|at| now.since(at).0 > KEEP_MS);
            is_old && server.in_flight == 0
        };
        let gone = self.servers.values().filter(|server| is_old(server));
        let gone: Vec<ServerId> = gone.map(|server| server.entry.id.clone()).collect();
        self.servers.retain(|_, server| !is_old(server));
        gone
    }
}
