use super::*;

/// What entry VMs report of themselves, in a form that adds up.
///
/// Each field is the contribution of one module; [`Self::add`] sums two of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShareParts {
    /// The entry VMs at each revision.
    #[serde(default)]
    pub revisions: BTreeMap<Revision, RevisionShare>,
    /// The backend servers' load reports.
    #[serde(default)]
    pub loads: Vec<ServerLoad>,
}

/// The entry VMs at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionShare {
    /// How many they are.
    pub count: u32,
    /// Some of them, in order.
    pub some: Vec<VmId>,
}

impl RevisionShare {
    /// The most names that travel.
    const MAX_NAMES: usize = 4;

    fn add(&mut self, other: &Self) {
        self.count += other.count;
        self.some.extend(other.some.iter().cloned());
        self.some.sort_unstable();
        self.some.dedup();
        self.some.truncate(Self::MAX_NAMES);
    }
}

impl ShareParts {
    /// Adds another report.
    pub fn add(&mut self, other: &Self) {
        for (revision, share) in &other.revisions {
            self.revisions.entry(*revision).or_default().add(share);
        }
        for load in &other.loads {
            match self.loads.iter_mut().find(|known| known.server == load.server) {
                Some(known) if known.as_of < load.as_of => known.clone_from(load),
                Some(_) => {}
                None => self.loads.push(load.clone()),
            }
        }
    }

    /// Returns a copy with at most so many load reports, a different part of them each round, and
    /// without the names of the VMs that do not lag.
    #[must_use]
    pub fn for_the_way(&self, round: u64, limit: usize) -> Self {
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

/// A backend server's load report, packed for the way between entry VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "PackedLoad", from = "PackedLoad")]
pub struct ServerLoad {
    /// The hash of the server's name.
    pub server: u32,
    /// The requests that run.
    pub running: u16,
    /// The requests that wait.
    pub waiting: u16,
    /// The free cache in hundredths.
    pub kv_free: u8,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// The time of the report by the server's clock, in milliseconds, modulo 2^32.
    pub as_of: u32,
    /// The hashes of the names of the loaded versions, if the server says so.
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
    /// Packs a report.
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

    /// Unpacks the report, with the names of versions by their hashes.
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
