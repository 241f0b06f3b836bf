use super::*;

/// How other entry VMs reach one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerCard {
    /// The entry VM.
    pub vm: VmId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The address of its listener for other entry VMs.
    pub address: SocketAddr,
    /// Its share of a processor, in percent.
    pub processor: u32,
}

impl PeerCard {
    /// Returns the start of the entry VM by its name.
    #[must_use]
    pub fn name(&self) -> PeerName {
        PeerName { vm: self.vm.clone(), incarnation: self.incarnation }
    }

    /// Returns what orders the VMs of a data centre: those with most processor first, since a hub
    /// answers all others; among equals a hash, so that none is set aside by its name.
    #[must_use]
    pub fn rank(&self) -> (Reverse<u32>, u64) {
        (Reverse(self.processor), xxh3_64(self.vm.as_str().as_bytes()))
    }
}

/// What a poll is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PollPurpose {
    /// To tell of the asker and learn the entry VMs of its data centre.
    Greeting,
    /// To get what has changed in the store.
    Records,
    /// To exchange what two data centres have sent to the backend servers.
    Loads,
}

/// A question for what another entry VM has read from the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayPoll {
    /// Who asks.
    pub from: PeerCard,
    /// What it is for.
    pub purpose: PollPurpose,
    /// The start of the asked VM whose changes are known, and the last of them.
    pub known: Option<(PeerName, u64)>,
    /// How long the answer may wait for a change.
    pub wait: Millis,
    /// For [`PollPurpose::Loads`], the VMs that are known of the asker's data centre.
    pub centre_vms: u32,
    /// How old the asker's knowledge is of what operators publish.
    pub age: Option<Millis>,
    /// What the asker has seen of versions that are brought in.
    pub evidence: Vec<EvidenceRecord>,
    /// What the asker has sent to the backend servers, or its data centre for [`PollPurpose::Loads`].
    pub loads: LoadSum,
    /// The held sessions that are new to who is asked.
    pub held_sessions: HeldNews,
    /// The last of the held sessions of the asked VM, in the start that the asker knows, that the
    /// asker has.
    pub held_known: Option<(PeerName, u64)>,
    /// The events that are new to who is asked, of requests under which servers have ended.
    pub crashes: CrashNews,
    /// The last such event of the asked VM, in the start that the asker knows, that the asker has.
    pub crashes_known: Option<(PeerName, u64)>,
    /// The servers that have said in their answers that they leave.
    pub leaving: Vec<ServerStart>,
}

impl RelayPoll {
    /// Returns a poll that tells nothing but who asks.
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
            loads: LoadSum::default(),
            held_sessions: HeldNews::default(),
            held_known: None,
            crashes: CrashNews::default(),
            crashes_known: None,
            leaving: Vec::new(),
        }
    }
}

/// How fresh a VM's reading of a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedAge {
    /// The time since the newest read was sent that reached the stream's end.
    pub age: Millis,
    /// The offset to read next.
    pub end: Offset,
}

/// What an entry VM has read from the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayAnswer {
    /// Who answers.
    pub from: PeerCard,
    /// The last change that the records reach to.
    pub change: u64,
    /// The records that have changed.
    pub records: Vec<KeptRecord>,
    /// How long the answer was held back. The age of a feed counts from the answer, which was given
    /// at least this long after the poll was sent.
    pub held: Millis,
    /// How fresh what operators publish is.
    pub operators: Option<FeedAge>,
    /// How fresh the list of backend servers is.
    pub servers: Option<FeedAge>,
    /// What all others have sent to the backend servers, or the data centre of who answers for
    /// [`PollPurpose::Loads`].
    pub loads: LoadSum,
    /// The held sessions that are new to the asker.
    pub held_sessions: HeldNews,
    /// The last of the asker's held sessions that who answers has.
    pub held_heard: u64,
    /// The events that are new to the asker, of requests under which servers have ended.
    pub crashes: CrashNews,
    /// The last of the asker's such events that who answers has.
    pub crashes_heard: u64,
    /// The servers that have said in their answers that they leave.
    pub leaving: Vec<ServerStart>,
    /// How long who answers has been running.
    pub running: Millis,
    /// For [`PollPurpose::Loads`], the VMs that are known of the data centre of who answers.
    pub centre_vms: u32,
    /// For [`PollPurpose::Records`], the VMs that are known of all data centres.
    pub all_vms: u32,
    /// Whether who answers is the hub of its data centre.
    pub is_hub: bool,
    /// Whether the store does not answer who answers.
    pub lacks_store: bool,
    /// The VM whose reading of the store the answer rests on.
    pub origin: Option<VmId>,
    /// For [`PollPurpose::Greeting`], the entry VMs of the asker's data centre and some of others.
    pub cards: Vec<PeerCard>,
}
