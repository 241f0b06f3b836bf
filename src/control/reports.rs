use super::*;

/// The time between two aggregate reports of a VM to its parent.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// The messages that a gateway sends to other data centres in a round. With more data centres than
/// this it skips rounds.
const GATEWAY_REPORTS_PER_ROUND: usize = 3;
/// The load reports of the own data centre in one message down the tree.
const OWN_LOAD_LIMIT: usize = 32;
/// The load reports of all other data centres together in one message down the tree.
const REMOTE_LOAD_LIMIT: usize = 16;
/// The rendezvous-hash key that ranks the VMs in the tree of a data centre.
const REPORT_RANK_KEY: &str = "shares";

impl Control {
    /// Sends the aggregate report that is due: to the parent in the tree or, at the root, to all
    /// VMs below. The last VM in rank is the data centre's gateway and reports to the others.
    pub(super) fn send_due_report(&mut self, now: Millis) {
        if self.cluster.report_at > now {
            return;
        }
        self.cluster.report_at = now + Millis(REPORT_INTERVAL_MS);
        let centre = self.identity.data_centre.clone();
        let ranked = self.peers.ranked_in(&self.identity, &centre, REPORT_RANK_KEY);
        let rank = ranked.iter().position(|vm| *vm == self.identity.vm).unwrap_or(0);
        let children = Self::children(&ranked, rank);
        let parts = self.cluster.reports.subtree(now, &self.own_report(), &children);
        self.cluster.sequence += 1;
        self.cluster.report_round += 1;
        let sequence = self.cluster.sequence;
        match ReportTree::parent(rank) {
            Some(parent) => {
                let message = ReportMessage::Up { sequence, parts };
                self.send(&ranked[parent], PeerMessage::Shares(message));
            }
            None => self.report_centre(now, sequence, &parts),
        }
        if rank + 1 == ranked.len() {
            self.report_to_gateways(now, sequence, &ranked[0]);
        }
    }

    /// As gateway, sends the other data centres' sums to the root, and the own data centre's sum to
    /// the other gateways.
    fn report_to_gateways(&mut self, now: Millis, sequence: u64, root: &VmId) {
        let gateways = self.other_gateways();
        let rounds = gateways.len().div_ceil(GATEWAY_REPORTS_PER_ROUND).max(1) as u64;
        if !self.cluster.report_round.is_multiple_of(rounds) {
            return;
        }
        let centre = self.identity.data_centre.clone();
        let mut centres = self.cluster.reports.across(now);
        centres.remove(&centre);
        if *root != self.identity.vm && !centres.is_empty() {
            self.send(root, PeerMessage::Shares(ReportMessage::Remote { sequence, centres }));
        }
        let own = self.cluster.reports.centres(now).find(|(name, _)| **name == centre);
        let Some(parts) = own.map(|(_, parts)| parts.clone()) else { return };
        let across = PeerMessage::Shares(ReportMessage::Across { sequence, centre, parts });
        for gateway in gateways {
            self.send(&gateway, across.clone());
        }
    }

    /// Returns the children of a rank in the tree.
    fn children(ranked: &[VmId], rank: usize) -> Vec<VmId> {
        ReportTree::children(rank).filter_map(|child| ranked.get(child).cloned()).collect()
    }

    /// Returns this VM's own part of the report.
    fn own_report(&self) -> AggregateReport {
        let own = RevisionCount { count: 1, some: vec![self.identity.vm.clone()] };
        AggregateReport {
            revisions: BTreeMap::from([(self.configuration.revision(), own)]),
            loads: self.cluster.own_loads.values().cloned().collect(),
        }
    }

    /// As root, sends the sums of all data centres down the tree.
    fn report_centre(&mut self, now: Millis, sequence: u64, parts: &AggregateReport) {
        let centre = self.identity.data_centre.clone();
        let round = self.cluster.report_round;
        let mut centres = self.cluster.reports.across(now);
        let limit = REMOTE_LOAD_LIMIT.div_ceil(centres.len().max(1));
        for remote in centres.values_mut() {
            *remote = remote.truncated(round, limit);
        }
        centres.insert(centre, parts.truncated(round, OWN_LOAD_LIMIT));
        let root = self.own_name();
        self.on_report_down(now, &root, sequence, &centres);
    }

    /// Returns the gateways of the other data centres.
    fn other_gateways(&self) -> Vec<VmId> {
        let mut centres: BTreeMap<&DataCentreId, Vec<&VmId>> = BTreeMap::new();
        for peer in self.peers.iter().filter(|peer| peer.may_serve()) {
            if peer.data_centre != self.identity.data_centre {
                centres.entry(&peer.data_centre).or_default().push(&peer.vm);
            }
        }
        let gateways = centres.into_values().filter_map(|vms| last_vm(REPORT_RANK_KEY, vms));
        gateways.cloned().collect()
    }

    /// Handles a report message from a peer.
    pub(super) fn on_report_message(
        &mut self,
        now: Millis,
        from: &PeerName,
        message: ReportMessage,
    ) {
        match message {
            ReportMessage::Up { sequence, parts } => {
                self.cluster.reports.store_child(now, from, sequence, parts);
            }
            ReportMessage::Across { sequence, centre, parts } => {
                self.cluster.reports.store_data_centre(now, from, sequence, centre, parts);
            }
            ReportMessage::Remote { sequence, centres } => {
                for (centre, parts) in centres {
                    self.cluster.reports.store_data_centre(now, from, sequence, centre, parts);
                }
            }
            ReportMessage::Down { sequence, root, centres } => {
                self.on_report_down(now, &root, sequence, &centres);
            }
        }
    }

    /// Stores the sums of all data centres and sends them to the children in the tree.
    fn on_report_down(
        &mut self,
        now: Millis,
        root: &PeerName,
        sequence: u64,
        centres: &BTreeMap<DataCentreId, AggregateReport>,
    ) {
        if !self.cluster.reports.store_root(now, root, sequence, centres) {
            return;
        }
        self.apply_reported_loads(now, centres);
        let centre = self.identity.data_centre.clone();
        let ranked = self.peers.ranked_in(&self.identity, &centre, REPORT_RANK_KEY);
        let rank = ranked.iter().position(|vm| *vm == self.identity.vm).unwrap_or(0);
        for child in Self::children(&ranked, rank) {
            let (root, centres) = (root.clone(), centres.clone());
            let message = ReportMessage::Down { sequence, root, centres };
            self.send(&child, PeerMessage::Shares(message));
        }
    }

    /// Applies load reports that other VMs have read to the server table.
    fn apply_reported_loads(
        &mut self,
        now: Millis,
        centres: &BTreeMap<DataCentreId, AggregateReport>,
    ) {
        let document = self.configuration.document();
        let versions = document.into_iter().flat_map(|document| document.versions());
        let names: FxHashMap<u32, VersionId> =
            versions.map(|(id, _)| (ServerLoad::hash_version(&id), id)).collect();
        for load in centres.values().flat_map(|parts| &parts.loads) {
            let Some(server) = self.cluster.servers.get(&load.server).cloned() else { continue };
            if self.cluster.own_loads.contains_key(&server) {
                continue;
            }
            if load.leaving {
                self.servers.leave(now, &server);
            }
            let report = load.unpack(&names);
            self.servers.report(now, &server, report);
        }
    }

    /// Returns how many entry VMs are at each revision, with the names of some of them.
    #[must_use]
    pub fn revisions(&self, now: Millis) -> BTreeMap<Revision, RevisionCount> {
        let mut sum = AggregateReport::default();
        for (_, parts) in self.cluster.reports.centres(now) {
            let revisions = parts.revisions.clone();
            sum.add(&AggregateReport { revisions, ..AggregateReport::default() });
        }
        sum.revisions
    }
}
