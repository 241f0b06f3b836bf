use super::*;

/// What an operator asks of an entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Publish a change of the configuration.
    Publish {
        /// A unique name of the publication.
        publication: SmolStr,
        /// The revision that it was made against; the one in force if none.
        base: Option<Revision>,
        /// What changes.
        change: ConfigurationChange,
        /// How long to wait for the outcome.
        #[serde(default = "default_publish_wait")]
        wait: Millis,
    },
    /// Return the document in force.
    Configuration,
    /// Describe the entry VM.
    Status,
    /// Describe the placement of versions on servers.
    Placement,
}

const fn default_publish_wait() -> Millis {
    Millis(30_000)
}

/// The answer to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorAnswer {
    /// What became of a publication.
    Published(PublicationOutcome),
    /// The document in force and its revision.
    Configuration(Revision, Option<Box<ConfigurationDocument>>),
    /// The state of the entry VM.
    Status(Box<VmStatus>),
    /// The placement in each pool, as the entry VM sees it.
    Placement(Vec<PlacementStatus>),
    /// The call cannot be answered now.
    Failed(SmolStr),
}

/// The state of an entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The VM.
    pub vm: VmId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The revision in force at it.
    pub revision: Revision,
    /// The preset in force at it.
    pub preset: Option<PresetId>,
    /// Whether it takes new work.
    pub ready: bool,
    /// The requests that it works on.
    pub requests: usize,
    /// The requests that wait.
    pub queued: usize,
    /// How long ago the log was last read; none if never.
    pub log_age: Option<Millis>,
    /// How long ago the membership list was last read; none if never.
    pub members_age: Option<Millis>,
    /// The entry VMs that it knows, as it sees them.
    pub peers: Vec<PeerStatus>,
    /// How many entry VMs are at each revision, with the names of some.
    pub revisions: BTreeMap<Revision, RevisionShare>,
    /// The versions withdrawn by evidence.
    pub withdrawals: Vec<Withdrawal>,
    /// Whether it missed records of the log and waits for a snapshot or a peer.
    pub log_gap: bool,
    /// The backend servers.
    pub servers: Vec<ServerStatus>,
}

/// The state of a peer as one entry VM sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The VM.
    pub vm: VmId,
    /// Its incarnation, once it has been heard.
    pub incarnation: Option<Incarnation>,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it is leaving.
    pub state: MemberState,
    /// Whether it is in reach.
    pub in_reach: bool,
    /// How long ago it was last heard; none if never.
    pub heard_age: Option<Millis>,
    /// The revision last heard of it.
    pub revision: Revision,
}

/// The state of a backend server as one entry VM sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The server.
    pub server: ServerId,
    /// Its pool.
    pub pool: PoolId,
    /// Whether it is leaving.
    pub state: MemberState,
    /// The requests of this entry VM that run on it.
    pub in_flight: u32,
    /// Its last trouble, if nothing has gone right since.
    pub trouble: Option<AttemptFault>,
}

impl Control {
    pub(super) fn on_operator(&mut self, now: Millis, call: CallId, request: OperatorRequest) {
        match request {
            OperatorRequest::Publish { publication, base, change, wait } => {
                self.publish(now, call, publication, base, change, wait);
            }
            OperatorRequest::Configuration => {
                let document = self.configuration.document();
                let document = document.map(|document| Box::new((**document).clone()));
                let answer = OperatorAnswer::Configuration(self.configuration.revision(), document);
                self.emit(Command::AnswerOperator { call, answer });
            }
            OperatorRequest::Status => {
                let answer = OperatorAnswer::Status(Box::new(self.status(now)));
                self.emit(Command::AnswerOperator { call, answer });
            }
            OperatorRequest::Placement => {
                let answer = OperatorAnswer::Placement(self.placement_status(now));
                self.emit(Command::AnswerOperator { call, answer });
            }
        }
    }

    /// Returns the number of requests that wait for a pause before another attempt to end.
    fn pausing(&self) -> usize {
        let pausing = |state: &&RequestState| state.phase == RequestPhase::Pausing;
        self.requests.values().filter(pausing).count()
    }

    /// Returns the state of this entry VM.
    #[must_use]
    pub fn status(&self, now: Millis) -> VmStatus {
        let servers = self.servers.iter().map(|server| ServerStatus {
            server: server.id.clone(),
            pool: server.pool.clone(),
            state: server.member,
            in_flight: server.in_flight(),
            trouble: server.trouble.map(|trouble| trouble.fault),
        });
        let peers = self.peers.iter().map(|peer| PeerStatus {
            vm: peer.vm.clone(),
            incarnation: peer.incarnation,
            data_centre: peer.data_centre.clone(),
            state: peer.member,
            in_reach: peer.is_in_reach(),
            heard_age: peer.heard.map(|at| now.since(at)),
            revision: peer.revision,
        });
        VmStatus {
            vm: self.identity.vm.clone(),
            incarnation: self.identity.incarnation,
            data_centre: self.identity.data_centre.clone(),
            revision: self.configuration.revision(),
            preset: self.configuration.document().map(|document| document.preset.clone()),
            ready: self.is_ready(),
            requests: self.requests.len(),
            queued: self.queues.values().map(FairQueue::len).sum::<usize>() + self.pausing(),
            log_age: self.log_read.map(|at| now.since(at)),
            members_age: self.members_read.map(|at| now.since(at)),
            peers: peers.collect(),
            revisions: self.revisions(now),
            withdrawals: self.withdrawals().cloned().collect(),
            log_gap: self.configuration.has_gap(),
            servers: servers.collect(),
        }
    }
}
