use super::*;

/// Reports on their way through the entry VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ShareMessage {
    /// From a child to its parent: the sum of the child's subtree.
    Up {
        /// Rises with each message of one sender.
        sequence: u64,
        /// The sum.
        parts: ShareParts,
    },
    /// From one data centre's gateway to another's: the sum of the data centre.
    Across {
        /// Rises with each message of one sender.
        sequence: u64,
        /// The data centre.
        centre: DataCentreId,
        /// The sum.
        parts: ShareParts,
    },
    /// From a data centre's gateway to its root: the sums of the other data centres.
    Remote {
        /// Rises with each message of one sender.
        sequence: u64,
        /// The sums by data centre.
        centres: BTreeMap<DataCentreId, ShareParts>,
    },
    /// From a parent to its children: the sums of all data centres.
    Down {
        /// Rises with each message of one root.
        sequence: u64,
        /// The root.
        root: PeerName,
        /// The sums by data centre.
        centres: BTreeMap<DataCentreId, ShareParts>,
    },
}

/// A report and when it came.
#[derive(Clone, Debug)]
struct HeldShare {
    from: PeerName,
    sequence: u64,
    at: Millis,
    parts: ShareParts,
}

/// Sums reports up the tree of a data centre's entry VMs and holds the sums that come down.
///
/// The first in rank is the root. The last in rank is the gateway, which exchanges the sums with
/// those of the other data centres, so that no VM carries both. The tree follows from the rank of the VMs, so that nobody has to agree on it. A report replaces
/// the one before it of the same sender and expires if none follows.
#[derive(Clone, Debug, Default)]
pub struct ShareTree {
    children: BTreeMap<VmId, HeldShare>,
    centres: BTreeMap<DataCentreId, HeldShare>,
    down: BTreeMap<DataCentreId, (Millis, ShareParts)>,
    root: Option<(PeerName, u64)>,
}

impl ShareTree {
    /// The children of one VM.
    pub const FAN_OUT: usize = 3;
    /// The time after which a report is no longer counted.
    pub const EXPIRY_MS: u64 = 10_000;

    /// Returns the rank of the parent of a rank; none for the root.
    #[must_use]
    pub const fn parent(rank: usize) -> Option<usize> {
        if rank == 0 { None } else { Some((rank - 1) / Self::FAN_OUT) }
    }

    /// Returns the ranks of the children of a rank.
    #[must_use]
    pub const fn children(rank: usize) -> std::ops::Range<usize> {
        rank * Self::FAN_OUT + 1..rank * Self::FAN_OUT + 1 + Self::FAN_OUT
    }

    /// Takes in a child's report.
    pub fn take_up(&mut self, now: Millis, from: &PeerName, sequence: u64, parts: ShareParts) {
        let share = HeldShare { from: from.clone(), sequence, at: now, parts };
        hold(&mut self.children, from.vm.clone(), share);
    }

    /// Takes in another data centre's sum.
    pub fn take_across(
        &mut self,
        now: Millis,
        from: &PeerName,
        sequence: u64,
        centre: DataCentreId,
        parts: ShareParts,
    ) {
        let share = HeldShare { from: from.clone(), sequence, at: now, parts };
        hold(&mut self.centres, centre, share);
    }

    /// Takes in the sums of the root, and returns whether they are new.
    pub fn take_down(
        &mut self,
        now: Millis,
        root: &PeerName,
        sequence: u64,
        centres: &BTreeMap<DataCentreId, ShareParts>,
    ) -> bool {
        let old = self.root.as_ref();
        if old.is_some_and(|(known, last)| known == root && sequence <= *last) {
            return false;
        }
        self.root = Some((root.clone(), sequence));
        for (centre, parts) in centres {
            self.down.insert(centre.clone(), (now, parts.clone()));
        }
        true
    }

    /// Returns the sum of the subtree below and the VM's own report.
    #[must_use]
    pub fn subtree(&self, now: Millis, own: &ShareParts, children: &[VmId]) -> ShareParts {
        let mut sum = own.clone();
        for (vm, share) in &self.children {
            if children.contains(vm) && is_fresh(now, share.at) {
                sum.add(&share.parts);
            }
        }
        sum
    }

    /// Returns the other data centres' sums that have come across, for the root.
    #[must_use]
    pub fn across(&self, now: Millis) -> BTreeMap<DataCentreId, ShareParts> {
        let fresh = self.centres.iter().filter(|(_, share)| is_fresh(now, share.at));
        fresh.map(|(centre, share)| (centre.clone(), share.parts.clone())).collect()
    }

    /// Returns the sums of all data centres as last heard.
    pub fn centres(&self, now: Millis) -> impl Iterator<Item = (&DataCentreId, &ShareParts)> {
        let fresh = self.down.iter().filter(move |(_, (at, _))| is_fresh(now, *at));
        fresh.map(|(centre, (_, parts))| (centre, parts))
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Millis) {
        self.children.retain(|_, share| is_fresh(now, share.at));
        self.centres.retain(|_, share| is_fresh(now, share.at));
        self.down.retain(|_, (at, _)| is_fresh(now, *at));
    }
}

fn is_fresh(now: Millis, at: Millis) -> bool {
    now.since(at) <= Millis(ShareTree::EXPIRY_MS)
}

fn hold<K: Ord>(shares: &mut BTreeMap<K, HeldShare>, key: K, share: HeldShare) {
    let old = shares.get(&key);
    let stale = old.is_some_and(|old| old.from == share.from && old.sequence >= share.sequence);
    if !stale {
        shares.insert(key, share);
    }
}
