//! Drives one gateway core with a configuration and backend servers, event by event.

use guavapass::{
    control::{Refusal, VmIdentity},
    gateway::*,
    health::RequestFingerprint,
    ids::{
        AttemptId, Incarnation, ModelId, Offset, PoolId, RequestNumber, Revision, ServerId, TeamId,
    },
    ports::MemberState,
    units::{ByteSize, Millis, Share, Tokens},
};
use smol_str::SmolStr;
use std::{net::SocketAddr, sync::Arc};

pub const KEY: &str = "key-of-plaza";
pub const ENGINES: &str = "engines";
pub const BOOKINGS: &str = "bookings";

/// A core, the current time, and all commands that it has returned.
pub struct GatewayFixture {
    pub gateway: Gateway,
    pub now: Millis,
    pub commands: Vec<GatewayCommand>,
    requests: u64,
    offset: u64,
}

pub fn text<T: std::str::FromStr>(name: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    name.parse().unwrap()
}

pub fn identity(vm: &str) -> VmIdentity {
    VmIdentity { vm: text(vm), incarnation: Incarnation(1), data_centre: text("norte") }
}

pub fn bounds() -> GatewayBounds {
    GatewayBounds {
        key_removal_ms: Millis(5_000),
        drain_ms: Millis(2_000),
        shutdown_ms: Millis(8_000),
        resend_share: Share::new(0.9).unwrap(),
        resend_extra: 52,
        resend_window_ms: Millis(10_000),
        session_s: 5.0,
        exposure_share: Share::new(0.15).unwrap(),
        longest_backoff_ms: Millis(30_000),
        ..GatewayBounds::default()
    }
}

pub fn route(prefix: &str, kind: RouteKind, pool: &str) -> RouteEntry {
    RouteEntry {
        name: prefix.trim_matches('/').into(),
        host: "plaza.example".into(),
        prefix: prefix.into(),
        kind,
        timeout: Millis(6_000),
        objective: Millis(2_000),
        pause: None,
        attempt_limit: 3,
        rank: 1,
        keyless: false,
        pools: vec![PoolWeight { pool: text(pool), weight: 1.0 }],
        models: Vec::new(),
    }
}

pub fn document(revision: u64) -> GatewayDocument {
    let stream = RouteKind::Stream { resumable: true };
    let mut sized = route("/sized/", stream, ENGINES);
    sized.models = vec![text("small"), text("middle"), text("large")];
    let mut free = route("/free/", RouteKind::Idempotent, BOOKINGS);
    free.keyless = true;
    let routes = vec![
        sized,
        free,
        route("/plan/", stream, ENGINES),
        route("/frail/", RouteKind::Stream { resumable: false }, ENGINES),
        route("/book/", RouteKind::Once, BOOKINGS),
        route("/slot/", RouteKind::Idempotent, BOOKINGS),
    ];
    let holder = KeyHolder { team: text::<TeamId>("plaza"), rank: None };
    GatewayDocument {
        revision: Revision(revision),
        routes: RouteTable::new(routes),
        keys: TeamKeys::Named([(SmolStr::new(KEY), holder)].into()),
        body_limit: ByteSize(1_000_000),
        head_limit: ByteSize(16_384),
        ..GatewayDocument::default()
    }
}

pub fn server(id: &str, pool: &str, software: &str) -> ServerEntry {
    let number: u16 = id.bytes().map(u16::from).sum();
    ServerEntry {
        id: text(id),
        pool: text(pool),
        address: ([127, 0, 0, 1], number).into(),
        data_centre: text("norte"),
        software: software.into(),
        slots: 8,
        state: MemberState::Live,
        born: None,
        cold: Millis(0),
    }
}

pub fn card(vm: &str, data_centre: &str) -> PeerCard {
    let port: u16 = vm.bytes().map(u16::from).sum();
    PeerCard {
        vm: text(vm),
        incarnation: Incarnation(1),
        data_centre: text(data_centre),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        processor: 12,
    }
}

/// Returns the names of three VMs in the order in which they become readers of the store.
pub fn names_by_reader_rank() -> Vec<String> {
    let mut names: Vec<String> = (1..=3).map(|number| format!("front-{number}")).collect();
    names.sort_by_key(|name| xxhash_rust::xxh3::xxh3_64(name.as_bytes()));
    names
}

pub fn said(entry: ServerEntry) -> StoreRecord {
    StoreRecord::Server(ServerChange::Said(Box::new(entry)))
}

impl GatewayFixture {
    /// Returns a core with a configuration and three servers in each pool.
    pub fn new() -> Self {
        Self::new_as("front-1")
    }

    /// Returns such a core under another VM name.
    pub fn new_as(vm: &str) -> Self {
        let mut world = Self::empty();
        world.gateway = Gateway::new(identity(vm), bounds());
        world.tick(0);
        let document = StoreRecord::Configuration(Arc::new(document(1)));
        world.newest(StoreStream::Operators, vec![document]);
        let mut servers = Vec::new();
        for number in 1..=3 {
            servers.push(said(server(&format!("e{number}"), ENGINES, "v1")));
            servers.push(said(server(&format!("b{number}"), BOOKINGS, "v1")));
        }
        world.newest(StoreStream::Servers, servers);
        world
    }

    /// Returns a core without configuration and servers.
    pub fn empty() -> Self {
        let gateway = Gateway::new(identity("front-1"), bounds());
        Self { gateway, now: Millis(1_000), commands: Vec::new(), requests: 0, offset: 10 }
    }

    pub fn handle(&mut self, event: GatewayEvent) {
        let commands = self.gateway.handle(self.now, event);
        self.commands.extend(commands);
    }

    /// Advances time by one step.
    pub fn tick(&mut self, ms: u64) {
        self.now = self.now + Millis(ms);
        self.handle(GatewayEvent::Tick);
    }

    /// Advances time in steps of 100 ms, while the store answers that there are no new records.
    pub fn advance_with_store(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.tick(100);
            self.quiet(StoreStream::Operators);
        }
    }

    pub fn newest(&mut self, stream: StoreStream, records: Vec<StoreRecord>) {
        let records = self.keep(records);
        let page = NewestPage { records, end: Offset(self.offset), more_after: None };
        self.handle(GatewayEvent::Read { stream, answer: FeedAnswer::Newest(Ok(page)) });
    }

    pub fn page(&mut self, stream: StoreStream, records: Vec<StoreRecord>) {
        let records = self.keep(records);
        let end = Offset(self.offset);
        let page = StorePage { records, next: end, end };
        self.handle(GatewayEvent::Read { stream, answer: FeedAnswer::From(Ok(page)) });
    }

    /// Assigns the next offsets to records.
    pub fn keep(&mut self, records: Vec<StoreRecord>) -> Vec<StreamRecord> {
        let mut kept = Vec::new();
        for record in records {
            kept.push(StreamRecord { offset: Offset(self.offset), record });
            self.offset += 1;
        }
        kept
    }

    pub fn quiet(&mut self, stream: StoreStream) {
        self.page(stream, Vec::new());
    }

    /// Delivers a request for a path to the core.
    pub fn arrive(&mut self, path: &str) -> RequestNumber {
        self.arrive_with(path, |_| {})
    }

    pub fn arrive_with(
        &mut self,
        path: &str,
        change: impl FnOnce(&mut RoutedArrival),
    ) -> RequestNumber {
        self.requests += 1;
        let request = RequestNumber(self.requests);
        let is_engine = !path.starts_with("/book") && !path.starts_with("/slot");
        let part = |id, tokens| PromptPart { id, tokens: Tokens(tokens) };
        let parts = vec![part(7, 8_000), part(1_000 + self.requests, 1_000)];
        let mut arrival = RoutedArrival {
            request,
            caller_id: format!("call-{}", self.requests).into(),
            fingerprint: RequestFingerprint(self.requests),
            host: "plaza.example".into(),
            path: path.into(),
            key: Some(KEY.into()),
            deadline: Some(Millis(6_000)),
            session: None,
            any_model: path.starts_with("/sized"),
            prompt_tokens: Tokens(if is_engine { 9_000 } else { 0 }),
            output_limit: Tokens(100),
            parts: if is_engine { parts } else { Vec::new() },
            last_event: None,
        };
        change(&mut arrival);
        self.handle(GatewayEvent::Arrived(Box::new(arrival)));
        request
    }

    pub fn began(&mut self, request: RequestNumber, attempt: u64, confidence: Option<u8>) {
        let head = AnswerHead { status: 200, load: None, confidence };
        self.report(request, attempt, RunReport::Began { head });
    }

    pub fn whole(&mut self, request: RequestNumber, attempt: u64, status: u16) {
        let head = AnswerHead { status, load: None, confidence: None };
        self.report(request, attempt, RunReport::Ended(RunOutcome::Whole { head }));
    }

    pub fn not_run(&mut self, request: RequestNumber, attempt: u64, cause: NotRunCause) {
        let outcome = RunOutcome::NotRun { cause, load: None };
        self.report(request, attempt, RunReport::Ended(outcome));
    }

    pub fn broken(&mut self, request: RequestNumber, attempt: u64, last_event: Option<u64>) {
        let fault = guavapass::control::AttemptFault::Closed;
        let outcome = RunOutcome::Broken { fault, last_event };
        let known = self.commands.len();
        self.report(request, attempt, RunReport::Ended(outcome));
        // The server has only closed the connection and still runs.
        let probed = self.commands[known..].iter().filter_map(|command| match command {
            GatewayCommand::Probe { server, .. } => Some(server.clone()),
            _ => None,
        });
        for server in probed.collect::<Vec<_>>() {
            self.handle(GatewayEvent::Probed { server, result: ProbeResult::Listens });
        }
    }

    pub fn report(&mut self, request: RequestNumber, attempt: u64, report: RunReport) {
        self.handle(GatewayEvent::Run { request, attempt: AttemptId(attempt), report });
    }

    /// Returns the commands to send a request, oldest first.
    pub fn starts(&self, request: RequestNumber) -> Vec<&RunOrder> {
        let starts = self.commands.iter().filter_map(|command| match command {
            GatewayCommand::Start(order) if order.request == request => Some(order.as_ref()),
            _ => None,
        });
        starts.collect()
    }

    /// Returns the refusal of a request, if it was refused.
    pub fn refusal(&self, request: RequestNumber) -> Option<&Refusal> {
        self.commands.iter().find_map(|command| match command {
            GatewayCommand::Refuse { request: refused, refusal } if *refused == request => {
                Some(refusal)
            }
            _ => None,
        })
    }

    pub fn is_delivered(&self, request: RequestNumber, attempt: u64) -> bool {
        let wanted = GatewayCommand::Deliver { request, attempt: AttemptId(attempt) };
        self.commands.contains(&wanted)
    }

    pub fn is_broken_off(&self, request: RequestNumber) -> bool {
        self.commands.contains(&GatewayCommand::AbortResponse { request })
    }

    /// Returns the roll-out states that the core appended, each with the expected end of the
    /// stream.
    pub fn rollout_appends(&self) -> Vec<(RolloutState, Option<Offset>)> {
        let appends = self.commands.iter().filter_map(|command| match command {
            GatewayCommand::Append { record: StoreRecord::Rollout(record), at } => {
                Some((record.state, *at))
            }
            _ => None,
        });
        appends.collect()
    }
}

pub fn pool(name: &str) -> PoolId {
    text(name)
}

pub fn server_id(name: &str) -> ServerId {
    text(name)
}

pub fn model(name: &str) -> ModelId {
    text(name)
}
