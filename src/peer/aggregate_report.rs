use super::*;

/// The reports of one or several entry VMs, in a form that can be aggregated.
///
/// Each field belongs to one module. [`Self::add`] aggregates two reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AggregateReport {
    /// The entry VMs at each configuration revision.
    #[serde(default)]
    pub revisions: BTreeMap<Revision, RevisionCount>,
    /// The load reports of backend servers, at most one for each server.
    #[serde(default)]
    pub loads: Vec<ServerLoad>,
}

/// The entry VMs at one configuration revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionCount {
    /// The number of entry VMs.
    pub count: u32,
    /// The ids of the first few of them, sorted.
    pub some: Vec<VmId>,
}

impl RevisionCount {
    /// The maximum number of ids in a message.
    const MAX_NAMES: usize = 4;

    fn add(&mut self, other: &Self) {
        self.count += other.count;
        self.some.extend(other.some.iter().cloned());
        self.some.sort_unstable();
        self.some.dedup();
        self.some.truncate(Self::MAX_NAMES);
    }
}

impl AggregateReport {
    /// Adds another report. Of two load reports of one server, the newer one is kept.
    pub fn add(&mut self, other: &Self) {
        for (revision, count) in &other.revisions {
            self.revisions.entry(*revision).or_default().add(count);
        }
        for load in &other.loads {
            match self.loads.iter_mut().find(|known| known.server == load.server) {
                Some(known) if known.as_of < load.as_of => known.clone_from(load),
                Some(_) => {}
                None => self.loads.push(load.clone()),
            }
        }
    }

    /// Returns a copy that is small enough for a message.
    ///
    /// It has at most `limit` load reports, others in each round, and no ids of the VMs at the
    /// newest revision.
    #[must_use]
    pub fn truncated(&self, round: u64, limit: usize) -> Self {
        let mut parts = self.clone();
        if self.loads.len() > limit {
            let first = (round as usize).wrapping_mul(limit) % self.loads.len();
            let loads = self.loads.iter().cycle().skip(first).take(limit);
            parts.loads = loads.cloned().collect();
        }
        if let Some(mut newest) = parts.revisions.last_entry() {
            newest.get_mut().some.clear();
        }
        parts
    }
}

/// The load report of a backend server in the compact form that entry VMs exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "PackedLoad", from = "PackedLoad")]
pub struct ServerLoad {
    /// The hash of the server's name.
    pub server: u32,
    /// The number of requests that run.
    pub running: u16,
    /// The number of requests that wait.
    pub waiting: u16,
    /// The free share of the KV cache, in percent.
    pub kv_free: u8,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// The time of the report by the server's clock, in milliseconds, modulo 2^32.
    pub as_of: u32,
    /// The hashes of the names of the loaded versions; none if the server does not report them.
    pub versions: Option<Vec<u32>>,
}

type PackedLoad = (u32, u16, u16, u8, bool, u32, Option<Vec<u32>>);

impl From<PackedLoad> for ServerLoad {
    fn from((server, running, waiting, kv_free, leaving, as_of, versions): PackedLoad) -> Self {
        Self { server, running, waiting, kv_free, leaving, as_of, versions }
    }
}

impl From<ServerLoad> for PackedLoad {
    fn from(load: ServerLoad) -> Self {
        (
            load.server,
            load.running,
            load.waiting,
            load.kv_free,
            load.leaving,
            load.as_of,
            load.versions,
        )
    }
}

impl ServerLoad {
    /// Converts a load report to the compact form.
    #[must_use]
    pub fn pack(server: &ServerId, report: &LoadReport) -> Self {
        let count = |number: u32| u16::try_from(number).unwrap_or(u16::MAX);
        Self {
            server: Self::hash(server),
            running: count(report.running),
            waiting: count(report.waiting),
            kv_free: (report.kv_free.clamp(0.0, 1.0) * 100.0) as u8,
            leaving: report.leaving,
            as_of: report.as_of_ms.0 as u32,
            versions: report
                .versions
                .as_ref()
                .map(|ids| ids.iter().map(Self::hash_version).collect()),
        }
    }

    /// Converts the compact form to a load report. Versions whose hashes are not in `names` are
    /// omitted.
    #[must_use]
    pub fn unpack(&self, names: &FxHashMap<u32, VersionId>) -> LoadReport {
        let versions = self.versions.as_ref();
        let names =
            |hashes: &Vec<u32>| hashes.iter().filter_map(|hash| names.get(hash)).cloned().collect();
        LoadReport {
            running: u32::from(self.running),
            waiting: u32::from(self.waiting),
            kv_free: f64::from(self.kv_free) / 100.0,
            as_of_ms: Millis(u64::from(self.as_of)),
            versions: versions.map(names),
            leaving: self.leaving,
        }
    }

    /// Returns the hash of a version's name.
    #[must_use]
    pub fn hash_version(version: &VersionId) -> u32 {
        xxhash_rust::xxh3::xxh3_64(version.to_string().as_bytes()) as u32
    }

    /// Returns the hash of a server's name.
    #[must_use]
    pub fn hash(server: &ServerId) -> u32 {
        xxhash_rust::xxh3::xxh3_64(server.as_str().as_bytes()) as u32
    }
}
