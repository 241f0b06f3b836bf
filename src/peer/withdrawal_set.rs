use super::*;

/// A notice that a version was withdrawn and takes no new requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawal {
    /// The version.
    pub version: VersionId,
    /// The generation of the version up to which it is withdrawn; a higher one is not.
    pub generation: u32,
    /// The reason, for operators.
    pub reason: SmolStr,
    /// The VM that withdrew it.
    pub by: VmId,
}

/// The versions that entry VMs withdrew because of errors or poor ratings.
///
/// The set only grows, and merging notices gives the same set in any order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WithdrawalSet {
    withdrawals: BTreeMap<VersionId, Withdrawal>,
}

impl WithdrawalSet {
    /// Adds a notice and returns whether it changed the set.
    pub fn insert(&mut self, withdrawal: Withdrawal) -> bool {
        let known = self.withdrawals.get(&withdrawal.version);
        let order = |entry: &Withdrawal| (entry.generation, std::cmp::Reverse(entry.by.clone()));
        if known.is_some_and(|known| order(known) >= order(&withdrawal)) {
            return false;
        }
        self.withdrawals.insert(withdrawal.version.clone(), withdrawal);
        true
    }

    /// Returns whether a generation of a version is withdrawn.
    #[must_use]
    pub fn contains(&self, version: &VersionId, generation: u32) -> bool {
        self.withdrawals.get(version).is_some_and(|entry| generation <= entry.generation)
    }

    /// Returns all notices, sorted by version.
    pub fn iter(&self) -> impl Iterator<Item = &Withdrawal> {
        self.withdrawals.values()
    }

    /// Returns a hash by which two VMs compare their sets; zero if the set is empty.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut digest = 0;
        for entry in self.withdrawals.values() {
            let text = format!("{} {} {}", entry.version, entry.generation, entry.by);
            digest ^= xxhash_rust::xxh3::xxh3_64(text.as_bytes());
        }
        digest
    }
}
