use super::*;

/// The time between two reports of a VM to its parent.
const SHARE_INTERVAL_MS: u64 = 1_000;
/// The messages that a gateway sends across in each round; with more data centres it skips rounds.
const ACROSS_PER_ROUND: usize = 3;
/// The load reports of the own data centre that travel down in one message.
const LOAD_LIMIT: usize = 32;
/// The load reports of all other data centres that travel down in one message.
const REMOTE_LOAD_LIMIT: usize = 16;
/// The key of the ranks in the tree of a data centre.
const SHARE_DUTY: &str = "shares";

impl Control {
    /// Reports to the parent in the tree; the root reports to all below, and the gateway across.
    pub(super) fn tick_shares(&mut self, now: Millis) {
        if self.cluster.share_at > now {
            return;
        }
        self.cluster.share_at = now + Millis(SHARE_INTERVAL_MS);
        let centre = self.identity.data_centre.clone();
        let ranked = self.peers.ranked_in(&self.identity, &centre, SHARE_DUTY);
        let rank = ranked.iter().position(|vm| *vm == self.identity.vm).unwrap_or(0);
        let children = Self::children(&ranked, rank);
        let parts = self.cluster.shares.subtree(now, &self.own_shares(), &children);
        self.cluster.sequence += 1;
        self.cluster.share_round += 1;
        let sequence = self.cluster.sequence;
        match ShareTree::parent(rank) {
            Some(parent) => {
                let message = ShareMessage::Up { sequence, parts };
                self.send(&ranked[parent], PeerMessage::Shares(message));
            }
            None => self.report_centre(now, sequence, &parts),
        }
        if rank + 1 == ranked.len() {
            self.report_across(now, sequence, &ranked[0]);
        }
    }

    /// As gateway, passes the sums of the other data centres to the root, and that of the own one
    /// to the other gateways.
    fn report_across(&mut self, now: Millis, sequence: u64, root: &VmId) {
        let gateways = self.other_gateways();
        let rounds = gateways.len().div_ceil(ACROSS_PER_ROUND).max(1) as u64;
        if !self.cluster.share_round.is_multiple_of(rounds) {
            return;
        }
        let centre = self.identity.data_centre.clone();
        let mut centres = self.cluster.shares.across(now);
        centres.remove(&centre);
        if *root != self.identity.vm && !centres.is_empty() {
            self.send(root, PeerMessage::Shares(ShareMessage::Remote { sequence, centres }));
        }
        let own = self.cluster.shares.centres(now).find(|(name, _)| **name == centre);
        let Some(parts) = own.map(|(_, parts)| parts.clone()) else { return };
        let across = PeerMessage::Shares(ShareMessage::Across { sequence, centre, parts });
        for gateway in gateways {
            self.send(&gateway, across.clone());
        }
    }

    fn children(ranked: &[VmId], rank: usize) -> Vec<VmId> {
        ShareTree::children(rank).filter_map(|child| ranked.get(child).cloned()).collect()
    }

    /// Returns what this VM alone reports.
    fn own_shares(&self) -> ShareParts {
        let own = RevisionShare { count: 1, some: vec![self.identity.vm.clone()] };
        ShareParts {
            revisions: BTreeMap::from([(self.configuration.revision(), own)]),
            loads: self.cluster.own_loads.values().cloned().collect(),
        }
    }

    fn report_centre(&mut self, now: Millis, sequence: u64, parts: &ShareParts) {
        let centre = self.identity.data_centre.clone();
        let round = self.cluster.share_round;
        let mut centres = self.cluster.shares.across(now);
        let limit = REMOTE_LOAD_LIMIT.div_ceil(centres.len().max(1));
        for remote in centres.values_mut() {
            *remote = remote.for_the_way(round, limit);
        }
        centres.insert(centre, parts.for_the_way(round, LOAD_LIMIT));
        let root = self.name();
        self.on_down(now, &root, sequence, &centres);
    }

    fn other_gateways(&self) -> Vec<VmId> {
        let mut centres: BTreeMap<&DataCentreId, Vec<&VmId>> = BTreeMap::new();
        for peer in self.peers.iter().filter(|peer| peer.may_serve()) {
            if peer.data_centre != self.identity.data_centre {
                centres.entry(&peer.data_centre).or_default().push(&peer.vm);
            }
        }
        let gateways = centres.into_values().filter_map(|vms| last_vm(SHARE_DUTY, vms));
        gateways.cloned().collect()
    }

    pub(super) fn on_shares(&mut self, now: Millis, from: &PeerName, message: ShareMessage) {
        match message {
            ShareMessage::Up { sequence, parts } => {
                self.cluster.shares.take_up(now, from, sequence, parts);
            }
            ShareMessage::Across { sequence, centre, parts } => {
                self.cluster.shares.take_across(now, from, sequence, centre, parts);
            }
            ShareMessage::Remote { sequence, centres } => {
                for (centre, parts) in centres {
                    self.cluster.shares.take_across(now, from, sequence, centre, parts);
                }
            }
            ShareMessage::Down { sequence, root, centres } => {
                self.on_down(now, &root, sequence, &centres);
            }
        }
    }

    /// Takes in the sums of all data centres and passes them to the children.
    fn on_down(
        &mut self,
        now: Millis,
        root: &PeerName,
        sequence: u64,
        centres: &BTreeMap<DataCentreId, ShareParts>,
    ) {
        if !self.cluster.shares.take_down(now, root, sequence, centres) {
            return;
        }
        self.learn_loads(now, centres);
        let centre = self.identity.data_centre.clone();
        let ranked = self.peers.ranked_in(&self.identity, &centre, SHARE_DUTY);
        let rank = ranked.iter().position(|vm| *vm == self.identity.vm).unwrap_or(0);
        for child in Self::children(&ranked, rank) {
            let (root, centres) = (root.clone(), centres.clone());
            let message = ShareMessage::Down { sequence, root, centres };
            self.send(&child, PeerMessage::Shares(message));
        }
    }

    fn learn_loads(&mut self, now: Millis, centres: &BTreeMap<DataCentreId, ShareParts>) {
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

    /// Returns how many entry VMs are at each revision, with the names of some.
    #[must_use]
    pub fn revisions(&self, now: Millis) -> BTreeMap<Revision, RevisionShare> {
        let mut sum = ShareParts::default();
        for (_, parts) in self.cluster.shares.centres(now) {
            let revisions = parts.revisions.clone();
            sum.add(&ShareParts { revisions, ..ShareParts::default() });
        }
        sum.revisions
    }
}
