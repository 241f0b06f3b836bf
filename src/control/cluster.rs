use super::*;

/// The rendezvous-hash key that ranks a data centre's VMs for polling the configuration stream.
const POLL_RANK_KEY: &str = "configuration";
/// The number of VMs of each data centre that poll the configuration stream.
const POLLERS_PER_CENTRE: usize = 2;

/// How this entry VM takes part in the cluster.
#[derive(Clone, Debug, Default)]
pub struct ClusterSettings {
    /// The address of this VM's listener for peers; none if it has no listener.
    pub address: Option<SocketAddr>,
    /// Entry VMs to contact before the membership list has been read.
    pub seeds: Vec<VmMember>,
    /// The secrets that sign session tokens and tickets.
    pub session_keys: KeyRing,
}

/// What this VM knows of the other entry VMs, and its exchanges with them.
#[derive(Debug, Default)]
pub(super) struct ClusterState {
    pub(super) settings: ClusterSettings,
    pub(super) members: MemberView,
    pub(super) withdrawals: WithdrawalSet,
    pub(super) reports: ReportTree,
    /// The load reports that this VM has read itself.
    pub(super) own_loads: BTreeMap<ServerId, ServerLoad>,
    /// Servers by the hash that identifies them in packed load reports.
    pub(super) servers: FxHashMap<u32, ServerId>,
    /// The number of the last exchange or report message.
    pub(super) sequence: u64,
    /// When the next round of exchanges is due.
    pub(super) exchange_at: Millis,
    pub(super) exchange_round: u64,
    /// When the next aggregate report is due.
    pub(super) report_at: Millis,
    pub(super) report_round: u64,
    /// When expired entries are removed next.
    pub(super) sweep_at: Millis,
    /// When the last tick was handled.
    pub(super) ticked_at: Millis,
    /// The last peer exchanged with in the round through all peers.
    pub(super) cursor: Option<VmId>,
    /// The last peer exchanged with in the round through the own data centre.
    pub(super) near_cursor: Option<VmId>,
    /// Peers to exchange with first, because their reachability is in doubt.
    pub(super) urgent: VecDeque<VmId>,
    /// Peers whose reachability has changed, and when this was learned.
    pub(super) rumours: VecDeque<(Millis, VmId)>,
    pub(super) wanted: Option<WantedConfiguration>,
    pub(super) list_reads: u64,
    pub(super) list_read_at: Millis,
    /// When the whole membership list was last requested from a peer.
    pub(super) members_fetched: Option<Millis>,
    /// When this VM appends a snapshot unless another one does; none before the first read.
    pub(super) snapshot_at: Option<Millis>,
    pub(super) snapshot_append: Option<AppendId>,
    /// When the read under way started, and its first offset.
    pub(super) reading: Option<(Millis, Offset)>,
    /// Whether the next read starts at the last folded record, to check that the log still has it.
    pub(super) check_anchor: bool,
    pub(super) anchor_checked: Millis,
    /// Whether this VM is one of those that poll the configuration stream.
    pub(super) polls: bool,
    /// The core's time and the Unix time of the last clock reading; zero before the first.
    pub(super) wall_clock: (Millis, Millis),
}

/// A configuration that peers have and that is newer than this VM's.
#[derive(Debug)]
pub(super) struct WantedConfiguration {
    pub(super) stamp: ConfigurationStamp,
    /// Peers known to have it, in the order in which they are asked.
    pub(super) holders: VecDeque<VmId>,
    /// When a peer was last asked.
    pub(super) fetched: Option<Millis>,
}

impl Control {
    /// Sets this VM's address, seeds and secrets. To be called before the first event.
    pub fn set_cluster(&mut self, settings: ClusterSettings) {
        let own = self.identity.vm.clone();
        self.peers.update(Millis(0), &own, &settings.seeds);
        self.cluster.settings = settings;
    }

    /// Sets the wall clock's time. It is used for session tokens, for the age of idempotency keys
    /// and for the opening time of bills.
    pub fn set_wall_clock(&mut self, now: Millis, unix: Millis) {
        self.cluster.wall_clock = (now, unix);
    }

    /// Returns the configuration as folded from the log, which may hold no document yet.
    #[must_use]
    pub const fn configuration(&self) -> &ConfigurationFold {
        &self.configuration
    }

    /// Returns the other entry VMs and their reachability.
    #[must_use]
    pub const fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Returns the backend servers and their health.
    #[must_use]
    pub const fn servers(&self) -> &ServerTable {
        &self.servers
    }

    /// Converts the core's time to Unix time.
    pub(super) fn unix_time(&self, now: Millis) -> Millis {
        let (at, unix) = self.cluster.wall_clock;
        unix + now.since(at)
    }

    pub(super) fn own_name(&self) -> PeerName {
        PeerName { vm: self.identity.vm.clone(), incarnation: self.identity.incarnation }
    }

    /// Returns the rank of this VM in its data centre under a rendezvous-hash key, and the number
    /// of VMs ranked.
    pub(super) fn centre_rank(&self, rank_key: &str) -> (usize, usize) {
        let ranked = self.peers.ranked_in(&self.identity, &self.identity.data_centre, rank_key);
        let rank = ranked.iter().position(|vm| *vm == self.identity.vm);
        (rank.unwrap_or(ranked.len()), ranked.len())
    }

    /// Runs the periodic work of the cluster: exchanges, fetches, aggregate reports, publications,
    /// pins and the removal of expired entries.
    pub(super) fn tick_cluster(&mut self, now: Millis) {
        // A longer gap between two ticks means that this process was suspended, so missing replies
        // do not count against the peers.
        const PROCESS_PAUSE_MS: u64 = 2_000;
        if now.since(self.cluster.ticked_at) > Millis(PROCESS_PAUSE_MS) {
            self.peers.clear_pending_exchanges();
        }
        self.cluster.ticked_at = now;
        self.tick_exchange(now);
        self.fetch_wanted(now);
        self.send_due_report(now);
        self.tick_publications(now);
        self.tick_pins(now);
        if self.cluster.sweep_at <= now {
            const SWEEP_MS: u64 = 1_000;
            self.cluster.sweep_at = now + Millis(SWEEP_MS);
            self.cluster.polls = self.centre_rank(POLL_RANK_KEY).0 < POLLERS_PER_CENTRE;
            self.advance_list_read();
            self.cluster.reports.expire(now);
            self.peers.forget(now);
            self.sessions.expire(now);
            self.append_snapshot(now);
        }
    }
}
