use super::*;

/// An operator's call to an entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// Publish a change of the configuration.
    Publish {
        /// A name that no other publication has.
        publication: SmolStr,
        /// The revision that the change was made against; the one in force if none.
        base: Option<Revision>,
        /// The new document or preset.
        change: ConfigurationChange,
        /// How long to wait for the outcome; 30 seconds if not given.
        #[serde(default = "default_publish_wait")]
        wait: Millis,
    },
    /// Return the document in force and its revision.
    Configuration,
    /// Return the state of the entry VM.
    Status,
    /// Return the placement of versions on servers.
    Placement,
}

const fn default_publish_wait() -> Millis {
    Millis(30_000)
}

/// The answer to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorAnswer {
    /// Whether the publication was accepted or rejected, or that this is unknown.
    Published(PublicationOutcome),
    /// The revision in force, and its document; none before the first one.
    Configuration(Revision, Option<Box<ConfigurationDocument>>),
    /// The state of the entry VM.
    Status(Box<VmStatus>),
    /// The placement of each pool as this entry VM sees it.
    Placement(Vec<PlacementStatus>),
    /// Why the call could not be answered.
    Failed(SmolStr),
}

/// The state of an entry VM as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The name of the VM.
    pub vm: VmId,
    /// The start of its process.
    pub incarnation: Incarnation,
    /// The data centre that it runs in.
    pub data_centre: DataCentreId,
    /// The revision in force on it.
    pub revision: Revision,
    /// The preset in force on it; none without a configuration.
    pub preset: Option<PresetId>,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// The requests under way on it, including queued ones.
    pub requests: usize,
    /// The requests in a queue or waiting for a retry.
    pub queued: usize,
    /// How long ago it or a peer last read the log; none if never.
    pub log_age: Option<Millis>,
    /// How long ago it or a peer last read the membership list; none if never.
    pub members_age: Option<Millis>,
    /// The other entry VMs as it sees them.
    pub peers: Vec<PeerStatus>,
    /// How many entry VMs are at each revision, with the names of some of them.
    pub revisions: BTreeMap<Revision, RevisionCount>,
    /// The versions withdrawn because of their evidence.
    pub withdrawals: Vec<Withdrawal>,
    /// Whether it missed records of the log and needs a snapshot or a peer's configuration.
    pub log_gap: bool,
    /// The backend servers as it sees them.
    pub servers: Vec<ServerStatus>,
}

/// The state of a peer as one entry VM sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The name of the peer.
    pub vm: VmId,
    /// The start of its process; none before its first message.
    pub incarnation: Option<Incarnation>,
    /// The data centre that it runs in.
    pub data_centre: DataCentreId,
    /// Whether it is live or leaving, by the membership list.
    pub state: MemberState,
    /// Whether it answers exchanges.
    pub in_reach: bool,
    /// How long ago its last message arrived; none if never.
    pub heard_age: Option<Millis>,
    /// The revision that it last reported.
    pub revision: Revision,
}

/// The state of a backend server as one entry VM sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The id of the server.
    pub server: ServerId,
    /// The pool that it serves.
    pub pool: PoolId,
    /// Whether it is live or leaving, by the membership list.
    pub state: MemberState,
    /// The attempts of this entry VM that run on it.
    pub in_flight: u32,
    /// Its last fault; none after a success.
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

    /// Returns the number of requests that wait for a retry.
    fn waiting_for_retry(&self) -> usize {
        let pausing = |state: &&RequestState| state.phase == RequestPhase::AwaitingRetry;
        self.requests.values().filter(pausing).count()
    }

    /// Returns the state of this entry VM as shown to operators.
    #[must_use]
    pub fn status(&self, now: Millis) -> VmStatus {
        let servers = self.servers.iter().map(|server| ServerStatus {
            server: server.id.clone(),
            pool: server.pool.clone(),
            state: server.member,
            in_flight: server.in_flight(),
            trouble: server.last_failure.map(|failure| failure.fault),
        });
        let peers = self.peers.iter().map(|peer| PeerStatus {
            vm: peer.vm.clone(),
            incarnation: peer.incarnation,
            data_centre: peer.data_centre.clone(),
            state: peer.member,
            in_reach: peer.is_in_reach(),
            heard_age: peer.last_heard.map(|at| now.since(at)),
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
            queued: self.queues.values().map(FairQueue::len).sum::<usize>()
                + self.waiting_for_retry(),
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
