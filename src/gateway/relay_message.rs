use super::*;

/// How an entry VM introduces itself to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerCard {
    /// Id of the entry VM.
    pub vm: VmId,
    /// Its incarnation, which grows with each start.
    pub incarnation: Incarnation,
    /// Data centre that the VM runs in.
    pub data_centre: DataCentreId,
    /// Address of its listener for polls of other entry VMs.
    pub address: SocketAddr,
    /// Processor capacity of the VM, in percent of a core.
    pub processor: u32,
}

impl PeerCard {
    /// Returns the name of the VM together with its incarnation.
    #[must_use]
    pub fn name(&self) -> PeerName {
        PeerName { vm: self.vm.clone(), incarnation: self.incarnation }
    }

    /// Returns the key by which the VMs of a data centre are ranked, lowest first: VMs with more
    /// processor capacity rank first, as a hub answers all others. Equal VMs are ordered by a hash
    /// of their name, so that the order does not follow the names.
    #[must_use]
    pub fn rank(&self) -> (Reverse<u32>, u64) {
        (Reverse(self.processor), xxh3_64(self.vm.as_str().as_bytes()))
    }
}

/// What a poll is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollPurpose {
    /// To announce the sender and get the entry VMs of its data centre.
    Greeting,
    /// To get the store records that have changed.
    Records,
    /// To exchange the load that two data centres have sent to the backend servers.
    Loads,
    /// To get permits to send requests to servers that have a limit.
    Permits,
}

impl PollPurpose {
    /// Returns whether polls of this purpose, and their answers, carry what the VMs have learned
    /// from servers and callers.
    #[must_use]
    pub const fn carries_news(self) -> bool {
        matches!(self, Self::Records | Self::Loads)
    }
}

/// A poll for the store records of another entry VM, with what the sender has to report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayPoll {
    /// The VM that sends the poll.
    pub from: PeerCard,
    /// Purpose of the poll, which decides what the answer contains.
    pub purpose: PollPurpose,
    /// The incarnation of the polled VM whose changes the sender has, and the last of those
    /// changes. `None` if the sender needs all records.
    pub known: Option<(PeerName, u64)>,
    /// How long the answer may be held back until there is a change.
    pub wait: Millis,
    /// For [`PollPurpose::Loads`], the number of VMs known in the sender's data centre.
    pub centre_vms: u32,
    /// Age of the sender's operator records. `None` if it has none.
    pub age: Option<Millis>,
    /// Rollout evidence of the sender and its followers.
    pub evidence: Vec<EvidenceRecord>,
    /// Load that the sender has sent to the backend servers; for [`PollPurpose::Loads`], that of
    /// its data centre.
    pub loads: LoadTotals,
    /// Held sessions that the polled VM does not know yet.
    pub held_sessions: HeldSessionUpdate,
    /// The incarnation of the polled VM that the sender knows, and the last of its held sessions
    /// that the sender has received.
    pub held_known: Option<(PeerName, u64)>,
    /// Crash events that the polled VM does not know yet.
    pub crashes: CrashUpdate,
    /// The incarnation of the polled VM that the sender knows, and the last of its crash events
    /// that the sender has received.
    pub crashes_known: Option<(PeerName, u64)>,
    /// Servers that have reported in their answers that they leave.
    pub leaving: Vec<ServerStart>,
    /// Limits of servers, and the permits that the sender asks for.
    #[serde(default, skip_serializing_if = "LimitQuery::is_empty")]
    pub limits: LimitQuery,
}

impl RelayPoll {
    /// Returns a poll with only the sender and the purpose set.
    #[must_use]
    pub fn new(from: PeerCard, purpose: PollPurpose) -> Self {
        Self {
            from,
            purpose,
            known: None,
            wait: Millis(0),
            centre_vms: 0,
            age: None,
            evidence: Vec::new(),
            loads: LoadTotals::default(),
            held_sessions: HeldSessionUpdate::default(),
            held_known: None,
            crashes: CrashUpdate::default(),
            crashes_known: None,
            leaving: Vec::new(),
            limits: LimitQuery::default(),
        }
    }
}

/// How recent a VM's copy of a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedAge {
    /// Time since the newest read that reached the end of the stream was sent.
    pub age: Millis,
    /// Offset at the end of the stream, from which to read next.
    pub end: Offset,
}

/// Answer to a [`RelayPoll`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayAnswer {
    /// The VM that answers.
    pub from: PeerCard,
    /// Sequence number of the last change that `records` includes.
    pub change: u64,
    /// The records that have changed since the change that the poll named, or all.
    pub records: Vec<StreamRecord>,
    /// How long the answer was held back. The age of a feed refers to the time of the answer, which
    /// is at least this long after the poll was sent.
    pub held: Millis,
    /// Age of the operator records. `None` if the VM has none.
    pub operators: Option<FeedAge>,
    /// Age of the server list. `None` if the VM has none.
    pub servers: Option<FeedAge>,
    /// Load that all VMs but the polling one have sent to the backend servers; for
    /// [`PollPurpose::Loads`], that of the answering VM's data centre.
    pub loads: LoadTotals,
    /// Held sessions that the polling VM does not know yet.
    pub held_sessions: HeldSessionUpdate,
    /// The last of the polling VM's held sessions that the answering VM has received.
    pub held_heard: u64,
    /// Crash events that the polling VM does not know yet.
    pub crashes: CrashUpdate,
    /// The last of the polling VM's crash events that the answering VM has received.
    pub crashes_heard: u64,
    /// Servers that have reported in their answers that they leave.
    pub leaving: Vec<ServerStart>,
    /// Time since the answering VM started.
    pub running: Millis,
    /// For [`PollPurpose::Loads`], the number of VMs known in the answering VM's data centre.
    pub centre_vms: u32,
    /// For [`PollPurpose::Records`], the number of VMs known in all data centres.
    pub all_vms: u32,
    /// Whether the answering VM is the hub of its data centre.
    pub is_hub: bool,
    /// Whether the store does not serve the answering VM.
    pub lacks_store: bool,
    /// The VM that read the records from the store.
    pub origin: Option<VmId>,
    /// For [`PollPurpose::Greeting`], the entry VMs of the polling VM's data centre and some of the
    /// others.
    pub cards: Vec<PeerCard>,
    /// Limits of servers, and permits.
    #[serde(default, skip_serializing_if = "LimitReply::is_empty")]
    pub limits: LimitReply,
}
