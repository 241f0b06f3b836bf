use super::*;

/// What some entry VMs have sent to one backend server and is not answered yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentLoad {
    /// The time that the prompts take that the server has yet to read, in milliseconds.
    pub backlog_ms: u32,
    /// The requests that it has.
    pub requests: u32,
}

/// A backend server in messages between entry VMs: a short hash of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerTag(u32);

impl From<&ServerId> for ServerTag {
    fn from(server: &ServerId) -> Self {
        Self(xxh3_64(server.as_str().as_bytes()) as u32)
    }
}

/// Loads by backend server, without those that have none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LoadSum {
    loads: BTreeMap<ServerTag, SentLoad>,
}

impl LoadSum {
    /// Adds to the load of a server.
    pub fn add(&mut self, server: ServerTag, load: SentLoad) {
        if load == SentLoad::default() {
            return;
        }
        let sum = self.loads.entry(server).or_default();
        sum.backlog_ms += load.backlog_ms;
        sum.requests += load.requests;
    }

    /// Adds other loads.
    pub fn add_all(&mut self, other: &Self) {
        for (server, load) in &other.loads {
            self.add(*server, *load);
        }
    }

    /// Returns the load of a server.
    #[must_use]
    pub fn of(&self, server: ServerTag) -> SentLoad {
        self.loads.get(&server).copied().unwrap_or_default()
    }
}
