use super::*;

/// A message with aggregated reports between entry VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReportMessage {
    /// From a child to its parent: the aggregate of the child's subtree.
    Up {
        /// Increases with each message of one sender.
        sequence: u64,
        /// The aggregated reports.
        parts: AggregateReport,
    },
    /// From the gateway VM of a data centre to that of another: the aggregate of the sender's data
    /// centre.
    Across {
        /// Increases with each message of one sender.
        sequence: u64,
        /// The data centre that the reports are from.
        centre: DataCentreId,
        /// The aggregated reports.
        parts: AggregateReport,
    },
    /// From the gateway VM of a data centre to its root: the aggregates of the other data centres.
    Remote {
        /// Increases with each message of one sender.
        sequence: u64,
        /// The aggregates by data centre.
        centres: BTreeMap<DataCentreId, AggregateReport>,
    },
    /// From a parent to its children: the aggregates of all data centres.
    Down {
        /// Increases with each message of one root.
        sequence: u64,
        /// The root that made the message.
        root: PeerName,
        /// The aggregates by data centre.
        centres: BTreeMap<DataCentreId, AggregateReport>,
    },
}

/// A received report.
#[derive(Clone, Debug)]
struct ReceivedReport {
    from: PeerName,
    sequence: u64,
    received_at: Millis,
    parts: AggregateReport,
}

/// Aggregates reports up the tree of a data centre's entry VMs, and stores the aggregates that come
/// down.
///
/// The first VM in rank is the root. The last one is the gateway VM, which exchanges aggregates
/// with the other data centres, so that no VM carries the load of both roles. The tree follows from
/// the rank of the VMs, so the VMs need not agree on it. A report replaces the previous one of the
/// same sender and expires if no other follows.
#[derive(Clone, Debug, Default)]
pub struct ReportTree {
    children: BTreeMap<VmId, ReceivedReport>,
    centres: BTreeMap<DataCentreId, ReceivedReport>,
    from_root: BTreeMap<DataCentreId, (Millis, AggregateReport)>,
    root: Option<(PeerName, u64)>,
}

impl ReportTree {
    /// The maximum number of children of a VM.
    pub const FAN_OUT: usize = 3;
    /// The age at which a report is no longer counted.
    pub const EXPIRY_MS: u64 = 10_000;

    /// Returns the rank of the parent of the VM with a rank, or none for the root.
    #[must_use]
    pub const fn parent(rank: usize) -> Option<usize> {
        if rank == 0 { None } else { Some((rank - 1) / Self::FAN_OUT) }
    }

    /// Returns the ranks of the children of the VM with a rank, some of which may not exist.
    #[must_use]
    pub const fn children(rank: usize) -> std::ops::Range<usize> {
        rank * Self::FAN_OUT + 1..rank * Self::FAN_OUT + 1 + Self::FAN_OUT
    }

    /// Stores the report of a child.
    pub fn store_child(
        &mut self,
        now: Millis,
        from: &PeerName,
        sequence: u64,
        parts: AggregateReport,
    ) {
        let report = ReceivedReport { from: from.clone(), sequence, received_at: now, parts };
        insert_if_newer(&mut self.children, from.vm.clone(), report);
    }

    /// Stores the aggregate of another data centre.
    pub fn store_data_centre(
        &mut self,
        now: Millis,
        from: &PeerName,
        sequence: u64,
        centre: DataCentreId,
        parts: AggregateReport,
    ) {
        let report = ReceivedReport { from: from.clone(), sequence, received_at: now, parts };
        insert_if_newer(&mut self.centres, centre, report);
    }

    /// Stores the aggregates that the root sent, and returns whether they are new.
    pub fn store_root(
        &mut self,
        now: Millis,
        root: &PeerName,
        sequence: u64,
        centres: &BTreeMap<DataCentreId, AggregateReport>,
    ) -> bool {
        let old = self.root.as_ref();
        if old.is_some_and(|(known, last)| known == root && sequence <= *last) {
            return false;
        }
        self.root = Some((root.clone(), sequence));
        for (centre, parts) in centres {
            self.from_root.insert(centre.clone(), (now, parts.clone()));
        }
        true
    }

    /// Returns the aggregate of the VM's own report and those of its children's subtrees.
    #[must_use]
    pub fn subtree(
        &self,
        now: Millis,
        own: &AggregateReport,
        children: &[VmId],
    ) -> AggregateReport {
        let mut sum = own.clone();
        for (vm, report) in &self.children {
            if children.contains(vm) && is_fresh(now, report.received_at) {
                sum.add(&report.parts);
            }
        }
        sum
    }

    /// Returns the aggregates of the other data centres, as received from their gateway VMs.
    #[must_use]
    pub fn across(&self, now: Millis) -> BTreeMap<DataCentreId, AggregateReport> {
        let fresh = self.centres.iter().filter(|(_, report)| is_fresh(now, report.received_at));
        fresh.map(|(centre, report)| (centre.clone(), report.parts.clone())).collect()
    }

    /// Returns the aggregates of all data centres that the root last sent.
    pub fn centres(&self, now: Millis) -> impl Iterator<Item = (&DataCentreId, &AggregateReport)> {
        let fresh =
            self.from_root.iter().filter(move |(_, (received_at, _))| is_fresh(now, *received_at));
        fresh.map(|(centre, (_, parts))| (centre, parts))
    }

    /// Removes expired reports.
    pub fn expire(&mut self, now: Millis) {
        self.children.retain(|_, report| is_fresh(now, report.received_at));
        self.centres.retain(|_, report| is_fresh(now, report.received_at));
        self.from_root.retain(|_, (received_at, _)| is_fresh(now, *received_at));
    }
}

fn is_fresh(now: Millis, received_at: Millis) -> bool {
    now.since(received_at) <= Millis(ReportTree::EXPIRY_MS)
}

fn insert_if_newer<K: Ord>(
    reports: &mut BTreeMap<K, ReceivedReport>,
    key: K,
    report: ReceivedReport,
) {
    let old = reports.get(&key);
    let stale = old.is_some_and(|old| old.from == report.from && old.sequence >= report.sequence);
    if !stale {
        reports.insert(key, report);
    }
}
