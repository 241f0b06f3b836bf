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
    },
    /// Return the document in force.
    Configuration,
    /// Describe the entry VM.
    Status,
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
    /// The backend servers.
    pub servers: Vec<ServerStatus>,
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
            OperatorRequest::Publish { publication, base, change } => {
                self.publish(call, publication, base, change);
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
        }
    }

    fn publish(
        &mut self,
        call: CallId,
        publication: SmolStr,
        base: Option<Revision>,
        change: ConfigurationChange,
    ) {
        let record = ConfigurationRecord {
            schema: ConfigurationDocument::SCHEMA,
            publication: publication.clone(),
            base: base.unwrap_or(self.configuration.revision()),
            change,
        };
        let Ok(bytes) = serde_json::to_vec(&record) else { return };
        let append = self.next_append();
        self.publications.insert(publication, (call, append));
        self.emit(Command::Append {
            append,
            stream: self.streams.configuration.clone(),
            records: vec![bytes.into()],
        });
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
        VmStatus {
            vm: self.identity.vm.clone(),
            incarnation: self.identity.incarnation,
            data_centre: self.identity.data_centre.clone(),
            revision: self.configuration.revision(),
            preset: self.configuration.document().map(|document| document.preset.clone()),
            ready: self.is_ready(),
            requests: self.requests.len(),
            queued: self.queues.values().map(FairQueue::len).sum(),
            log_age: self.log_read.map(|at| now.since(at)),
            members_age: self.members_read.map(|at| now.since(at)),
            servers: servers.collect(),
        }
    }
}
