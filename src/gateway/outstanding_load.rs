use super::*;

/// The outstanding load of some entry VMs at one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutstandingLoad {
    /// The estimated time to process the prompts that the server has not processed yet, and
    /// by which runs there are later than expected, in milliseconds.
    pub backlog_ms: u32,
    /// The number of requests without a complete answer.
    pub requests: u32,
}

/// The id of a backend server in messages between entry VMs: a 32-bit hash of its full id.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ServerTag(u32);

impl From<&ServerId> for ServerTag {
    fn from(server: &ServerId) -> Self {
        Self(xxh3_64(server.as_str().as_bytes()) as u32)
    }
}

/// Outstanding loads by backend server; servers without load are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LoadTotals {
    loads: BTreeMap<ServerTag, OutstandingLoad>,
}

impl LoadTotals {
    /// Adds to the load of a server.
    pub fn add(&mut self, server: ServerTag, load: OutstandingLoad) {
        if load == OutstandingLoad::default() {
            return;
        }
        let sum = self.loads.entry(server).or_default();
        sum.backlog_ms += load.backlog_ms;
        sum.requests += load.requests;
    }

    /// Adds the loads of all servers in `other`.
    pub fn add_all(&mut self, other: &Self) {
        for (server, load) in &other.loads {
            self.add(*server, *load);
        }
    }

    /// Returns the load of a server; zero if it has none.
    #[must_use]
    pub fn of(&self, server: ServerTag) -> OutstandingLoad {
        self.loads.get(&server).copied().unwrap_or_default()
    }
}
