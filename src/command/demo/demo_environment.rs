use super::*;

/// The running stand-ins and entry VMs of the demo.
pub(super) struct DemoEnvironment {
    pub(super) engines: Vec<EngineStandIn>,
    pub(super) bookings: Vec<BookingStandIn>,
    pub(super) vms: Vec<EntryVm>,
    pub(super) document: ConfigurationDocument,
    platform: PlatformStandIn,
}

const EXAMPLE: &str = include_str!("../../../examples/ruedaparque/configuration.jsonc");

const DATA_CENTRES: [&str; 2] = ["norte", "sur"];

impl DemoEnvironment {
    const ENTRY_VMS: usize = 3;
    const ENGINES: usize = 6;
    const BOOKING_SERVERS: usize = 2;
    const READY_TIMEOUT: Millis = Millis(10_000);
    const BILL_TIMEOUT: Millis = Millis(10_000);
    const POLL: Duration = Duration::from_millis(5);

    /// Starts the stand-ins and the entry VMs. No configuration is published yet.
    pub(super) fn start() -> Result<Self, CommandError> {
        let document: ConfigurationDocument =
            parse_document("examples/ruedaparque/configuration.jsonc", EXAMPLE)?;
        let platform = PlatformStandIn::start();
        let setup = engine_setup(&document);
        let engines: Vec<_> =
            (0..Self::ENGINES).map(|_| EngineStandIn::start(setup.clone())).collect();
        let bookings: Vec<_> = (0..Self::BOOKING_SERVERS)
            .map(|_| BookingStandIn::start(Duration::from_millis(4)))
            .collect();
        for (index, engine) in engines.iter().enumerate() {
            list_server(&platform, "engine", index, "planning", engine.address());
        }
        for (index, booking) in bookings.iter().enumerate() {
            list_server(&platform, "booking", index, "crew-booking", booking.address());
        }
        let vms = (0..Self::ENTRY_VMS)
            .map(|index| start_vm(&platform, index))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Self { engines, bookings, vms, document, platform })
    }

    /// Publishes the example configuration and waits until every entry VM is ready, has it in force
    /// and knows all servers and peers.
    pub(super) async fn publish_first(&self) -> Result<(), CommandError> {
        let revision = self.publish(&self.document).await?;
        let servers = Self::ENGINES + Self::BOOKING_SERVERS;
        self.wait_until(|status| {
            let peers = status.peers.iter().filter(|peer| peer.in_reach).count();
            status.ready
                && status.revision >= revision
                && status.servers.len() == servers
                && peers + 1 == Self::ENTRY_VMS
        })
        .await
    }

    /// Publishes a document and returns its revision, or an error if it was not accepted.
    pub(super) async fn publish(
        &self,
        document: &ConfigurationDocument,
    ) -> Result<Revision, CommandError> {
        let request = OperatorRequest::Publish {
            publication: uuid::Uuid::now_v7().to_string().into(),
            base: None,
            change: ConfigurationChange::Document(Box::new(document.clone())),
            wait: Millis(30_000),
        };
        match self.vms[0].handle().ask(request).await {
            OperatorAnswer::Published(PublicationOutcome::Accepted(revision)) => Ok(revision),
            other => Err(CommandError::Publication(format!("{other:?}").into())),
        }
    }

    /// Waits until the status of every entry VM satisfies a condition.
    pub(super) async fn wait_until(
        &self,
        holds: impl Fn(&VmStatus) -> bool,
    ) -> Result<(), CommandError> {
        let clock = Clock::start();
        for vm in &self.vms {
            loop {
                let answer = vm.handle().ask(OperatorRequest::Status).await;
                if matches!(&answer, OperatorAnswer::Status(status) if holds(status)) {
                    break;
                }
                if clock.now() > Self::READY_TIMEOUT {
                    return Err(CommandError::NotReady(Self::READY_TIMEOUT));
                }
                tokio::time::sleep(Self::POLL).await;
            }
        }
        Ok(())
    }

    /// Waits until at least `expected` requests are settled or `BILL_TIMEOUT` has passed, and
    /// returns all bills.
    pub(super) async fn bills(&self, expected: u64) -> BillFold {
        let clock = Clock::start();
        loop {
            let fold = self.read_bills();
            let report = self.report(&fold);
            let settled = report.teams.values().map(|total| total.requests - total.unsettled);
            if settled.sum::<u64>() >= expected || clock.now() > Self::BILL_TIMEOUT {
                return fold;
            }
            tokio::time::sleep(Self::POLL).await;
        }
    }

    /// Returns what the team of an answered call owes: the cost of the answer and, if a cascade
    /// replaced an answer that was rated poor, the cost of that answer too (docs/design/billing.md).
    pub(super) fn due(&self, result: &DemoResult) -> Cost {
        let answer = answer_cost(&self.document, result);
        let poor = self.platform.ratings().rated_poor(&result.call.marker);
        let versions = poor.iter().filter_map(|version| version.parse::<VersionId>().ok());
        let replaced = versions.filter(|version| result.version().as_ref() != Some(version));
        replaced
            .filter_map(|version| model_cost(&self.document, result, &version))
            .fold(answer, |sum, cost| sum + cost)
    }

    /// Returns the totals of each team for the given bills.
    pub(super) fn report(&self, fold: &BillFold) -> BillReport {
        BillReport::of(fold, self.document.unsettled_bills, None, Millis(0))
    }

    fn read_bills(&self) -> BillFold {
        let mut fold = BillFold::default();
        let records = self.platform.log().records(BillLedger::stream().as_str());
        for (offset, record) in (0..).map(Offset).zip(records) {
            fold.fold(&LogRecord { offset, record });
        }
        fold
    }

    /// Returns how often a version ran, summed over all engines.
    pub(super) fn version_runs(&self, version: &str) -> u64 {
        self.engines.iter().map(|engine| engine.version_runs().runs(version)).sum()
    }

    /// Returns how often a chat request with this user message ran, summed over all engines.
    pub(super) fn question_runs(&self, text: &str) -> u64 {
        self.engines.iter().map(|engine| engine.runs().runs(text)).sum()
    }

    /// Returns how often a booking ran, summed over all servers.
    pub(super) fn booking_runs(&self, booking: &str) -> u64 {
        self.bookings.iter().map(|server| server.bookings().runs(booking)).sum()
    }

    /// Returns when a booking first ran on any server, or `None` if it never ran.
    pub(super) fn first_booking_run(&self, booking: &str) -> Option<Instant> {
        self.bookings.iter().filter_map(|server| server.bookings().first_start(booking)).min()
    }

    /// Returns the addresses and an example call, printed if the demo keeps running.
    pub(super) fn invitation(&self) -> String {
        let vms = self.vms.iter().enumerate().map(|(index, vm)| {
            let (callers, operators) = (vm.callers, vm.operators);
            format!("  vm-{index}: callers http://{callers}, operators http://{operators}\n")
        });
        let vms: String = vms.collect();
        let callers = self.vms[0].callers;
        format!(
            "\nEntry VMs:\n{vms}\nTry:\n  curl -N http://{callers}/v1/chat/completions \
             -H 'Authorization: Bearer plazas-key' \
             -d '{{\"model\": \"auto\", \"stream\": true, \
             \"messages\": [{{\"role\": \"user\", \"content\": \"Hello\"}}]}}'\n\
             \nInterrupt to end.\n"
        )
    }

    /// Shuts the entry VMs down and waits until they have finished their requests.
    pub(super) fn shut_down(self) {
        for vm in &self.vms {
            vm.shut_down();
        }
        for vm in self.vms {
            vm.wait();
        }
    }
}

fn engine_setup(document: &ConfigurationDocument) -> EngineSetup {
    EngineSetup {
        slots: 8,
        queue_limit: 16,
        first_token: Duration::from_millis(10),
        prompt_token: Duration::from_micros(5),
        next_token: Duration::from_millis(1),
        output_tokens: 512,
        load_lag: Duration::from_millis(300),
        versions: document.versions().map(|(id, _)| id.to_string().into()).collect(),
        ..EngineSetup::default()
    }
}

fn list_server(
    platform: &PlatformStandIn,
    name: &str,
    index: usize,
    pool: &str,
    address: SocketAddr,
) {
    platform.members().add_backend_server(ServerMember {
        id: known(&format!("{name}-{index}")),
        address,
        data_centre: known(DATA_CENTRES[index % DATA_CENTRES.len()]),
        pool: known(pool),
        state: MemberState::Live,
    });
}

fn start_vm(platform: &PlatformStandIn, index: usize) -> Result<EntryVm, CommandError> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = || ListenerSettings { listen: any, secret_files: Vec::new() };
    let data_centre: DataCentreId = known(DATA_CENTRES[index % DATA_CENTRES.len()]);
    let settings = EntrySettings {
        vm: known(&format!("vm-{index}")),
        data_centre: data_centre.clone(),
        callers: CallerSettings::at(any),
        operators: listener(),
        peers: listener(),
        seeds: Vec::new(),
        platform: PlatformSettings { address: platform.address() },
        log: LogSettings::default(),
        metrics: None,
        shutdown: ShutdownSettings { balancer_lag_ms: Millis(0) },
    };
    let secret = |name: &str| vec![Secret::new(format!("demo secret of {name}").as_bytes())];
    let secrets = |name| secret(name).into_iter().flatten().collect::<Vec<_>>();
    let vm = EntryVm::start(&settings, secrets("operators"), secrets("peers"))?;
    platform.members().add_entry_vm(VmMember {
        id: settings.vm.clone(),
        address: vm.peers,
        data_centre,
        state: MemberState::Live,
    });
    Ok(vm)
}

/// Parses an identifier that is a constant of the demo.
fn known<T: FromStr<Err: fmt::Debug>>(name: &str) -> T {
    name.parse().expect("the demo's names are valid")
}
