use super::*;

/// The key of the VMs of a data centre that poll the log.
const POLL_DUTY: &str = "configuration";
/// The VMs of a data centre that poll the log.
const POLLERS: usize = 2;

/// Who this entry VM is among the others, and where it finds them at first.
#[derive(Clone, Debug, Default)]
pub struct ClusterSettings {
    /// The address of this VM's listener for peers.
    pub address: Option<SocketAddr>,
    /// Entry VMs to ask before the membership list has been read.
    pub seeds: Vec<VmMember>,
    /// The secrets for session tokens.
    pub session_keys: KeyRing,
}

/// What an entry VM knows of the others, and what it has under way with them.
#[derive(Debug, Default)]
pub(super) struct ClusterState {
    pub(super) settings: ClusterSettings,
    pub(super) members: MemberView,
    pub(super) withdrawals: WithdrawalSet,
    pub(super) shares: ShareTree,
    pub(super) own_loads: BTreeMap<ServerId, ServerLoad>,
    pub(super) servers: FxHashMap<u32, ServerId>,
    pub(super) sequence: u64,
    pub(super) exchange_at: Millis,
    pub(super) exchange_round: u64,
    pub(super) share_at: Millis,
    pub(super) share_round: u64,
    pub(super) sweep_at: Millis,
    pub(super) ticked: Millis,
    pub(super) cursor: Option<VmId>,
    pub(super) near_cursor: Option<VmId>,
    pub(super) urgent: VecDeque<VmId>,
    pub(super) rumours: VecDeque<(Millis, VmId)>,
    pub(super) wanted: Option<WantedConfiguration>,
    pub(super) list_reads: u64,
    pub(super) list_read_at: Millis,
    pub(super) members_fetched: Option<Millis>,
    pub(super) snapshot_at: Option<Millis>,
    pub(super) snapshot_append: Option<AppendId>,
    pub(super) reading: Option<(Millis, Offset)>,
    pub(super) check_anchor: bool,
    pub(super) anchor_checked: Millis,
    pub(super) polls: bool,
    pub(super) wall_clock: (Millis, Millis),
}

/// A configuration that peers have and this VM does not.
#[derive(Debug)]
pub(super) struct WantedConfiguration {
    pub(super) stamp: ConfigurationStamp,
    pub(super) holders: VecDeque<VmId>,
    pub(super) fetched: Option<Millis>,
}

impl Control {
    /// Tells the core how it takes part among the entry VMs.
    pub fn set_cluster(&mut self, settings: ClusterSettings) {
        let own = self.identity.vm.clone();
        self.peers.update(Millis(0), &own, &settings.seeds);
        self.cluster.settings = settings;
    }

    /// Tells the core the wall clock's time, which it uses only for the age of session tokens.
    pub fn set_wall_clock(&mut self, now: Millis, unix: Millis) {
        self.cluster.wall_clock = (now, unix);
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn configuration(&self) -> &ConfigurationFold {
        &self.configuration
    }

    /// Returns the other entry VMs.
    #[must_use]
    pub const fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Returns the backend servers.
    #[must_use]
    pub const fn servers(&self) -> &ServerTable {
        &self.servers
    }

    pub(super) fn unix(&self, now: Millis) -> Millis {
        let (at, unix) = self.cluster.wall_clock;
        unix + now.since(at)
    }

    pub(super) fn name(&self) -> PeerName {
        PeerName { vm: self.identity.vm.clone(), incarnation: self.identity.incarnation }
    }

    /// Returns the rank of this VM in its data centre for a duty, and how many VMs share it.
    pub(super) fn centre_rank(&self, duty: &str) -> (usize, usize) {
        let ranked = self.peers.ranked_in(&self.identity, &self.identity.data_centre, duty);
        let rank = ranked.iter().position(|vm| *vm == self.identity.vm);
        (rank.unwrap_or(ranked.len()), ranked.len())
    }

    /// Does what is due among the entry VMs.
    pub(super) fn tick_cluster(&mut self, now: Millis) {
        const PAUSE_MS: u64 = 2_000;
        if now.since(self.cluster.ticked) > Millis(PAUSE_MS) {
            self.peers.excuse();
        }
        self.cluster.ticked = now;
        self.tick_exchange(now);
        self.fetch_wanted(now);
        self.tick_shares(now);
        self.tick_publications(now);
        self.tick_pins(now);
        if self.cluster.sweep_at <= now {
            const SWEEP_MS: u64 = 1_000;
            self.cluster.sweep_at = now + Millis(SWEEP_MS);
            self.cluster.polls = self.centre_rank(POLL_DUTY).0 < POLLERS;
            self.hasten_list();
            self.cluster.shares.expire(now);
            self.peers.forget(now);
            self.sessions.expire(now);
            self.take_snapshot(now);
        }
    }
}
