//! Entry VMs with the requests of the target.

use super::*;

pub fn document() -> ConfigurationDocument {
    const TEAMS: usize = 100;
    const MODELS: usize = 9;
    let mut document: ConfigurationDocument = serde_json::from_str(DOCUMENT).unwrap();
    let pool = document.pools.values_mut().next().unwrap();
    (pool.slots, pool.long_slots) = (SLOTS, SLOTS);
    let model = document.models.values().next().unwrap().clone();
    for index in 0..MODELS {
        let name = format!("model-{index}").parse().unwrap();
        document.models.insert(name, model.clone());
    }
    let team = document.teams.values().next().unwrap().clone();
    for index in 0..TEAMS {
        let mut team = team.clone();
        team.keys.truncate(1);
        team.keys[0].sha256 = key(index);
        document.teams.insert(format!("team-{index}").parse().unwrap(), team);
    }
    document
}

pub fn key(team: usize) -> smol_str::SmolStr {
    format!("{team:064x}").into()
}

/// One VM's requests under way, by when their attempts end.
#[derive(Default)]
pub struct Caller {
    pub debt: f64,
    pub ends: VecDeque<(Millis, RequestNumber, AttemptId)>,
}

pub struct Stage {
    pub cluster: CoreCluster,
    pub callers: Vec<Caller>,
    pub requests: u64,
    pub ended: u64,
    pub refused: u64,
}

impl Stage {
    pub fn new(vms: usize) -> Self {
        let mut cluster = CoreCluster::new(11).with_vms(vms, &CENTRES);
        cluster.tick = Millis(10);
        for index in 0..vms * TARGET_SERVERS / TARGET_VMS {
            let centre = CENTRES[index % CENTRES.len()];
            cluster.list_server(&format!("engine-{index}"), "planning", centre);
        }
        cluster.run(Millis(3_000));
        let change = ConfigurationChange::Document(Box::new(document()));
        let wait = Millis(60_000);
        let publish =
            OperatorRequest::Publish { publication: "first".into(), base: None, change, wait };
        cluster.ask(0, 1, publish);
        let all = |cluster: &CoreCluster| cluster.revisions().iter().all(|found| found.0 >= 1);
        cluster.run_until(Millis(60_000), all).expect("the document must reach all");
        cluster.run(Millis(5_000));
        let callers = (0..vms).map(|_| Caller::default()).collect();
        Self { cluster, callers, requests: 0, ended: 0, refused: 0 }
    }

    /// Lets time pass under a rate of requests for each VM.
    pub fn run(&mut self, seconds: u64, rate: f64) {
        for _ in 0..seconds * 1_000 / STEP_MS {
            for vm in 0..self.callers.len() {
                self.callers[vm].debt += rate * STEP_MS as f64 / 1_000.0;
                while self.callers[vm].debt >= 1.0 {
                    self.callers[vm].debt -= 1.0;
                    self.ask(vm);
                }
                self.end_due(vm);
                self.follow(vm);
            }
            self.cluster.run(Millis(STEP_MS));
        }
    }

    pub fn ask(&mut self, vm: usize) {
        const TEAMS: u64 = 100;
        self.requests += 1;
        let arrival = Arrival {
            request: RequestNumber(self.requests),
            key: Some(key((self.requests % TEAMS) as usize)),
            target: ArrivalTarget::Model("auto".into()),
            mode: AnswerMode::Stream,
            prompt_tokens: Tokens(200),
            max_tokens: Tokens(244),
            prefix: 0,
            fingerprint: self.requests,
            session: None,
            idempotency_key: None,
            deadline: None,
            source: ArrivalSource::Caller,
        };
        self.cluster.handle(vm, Event::Arrived(arrival));
    }

    pub fn follow(&mut self, vm: usize) {
        for command in std::mem::take(&mut self.cluster.vms[vm].traffic) {
            match command {
                Command::Start(start) => {
                    let (request, attempt) = (start.request, start.attempt);
                    self.report(vm, request, attempt, AttemptReport::Writing);
                    self.report(vm, request, attempt, AttemptReport::Head);
                    let end = self.cluster.now + Millis(RUN_MS);
                    self.callers[vm].ends.push_back((end, request, attempt));
                }
                Command::Refuse { .. } => self.refused += 1,
                _ => {}
            }
        }
    }

    pub fn end_due(&mut self, vm: usize) {
        while let Some((end, request, attempt)) = self.callers[vm].ends.front().copied()
            && end <= self.cluster.now
        {
            self.callers[vm].ends.pop_front();
            self.ended += 1;
            let output_tokens = Tokens(244);
            self.report(vm, request, attempt, AttemptReport::Progress { output_tokens });
            let usage = TokenUsage { prompt: Tokens(200), output: output_tokens };
            let outcome = AttemptOutcome::Whole { status: 200, usage };
            self.report(vm, request, attempt, AttemptReport::Ended(outcome));
        }
    }

    pub fn report(
        &mut self,
        vm: usize,
        request: RequestNumber,
        attempt: AttemptId,
        report: AttemptReport,
    ) {
        self.cluster.handle(vm, Event::Attempt { request, attempt, report });
    }

    pub fn reset(&mut self) {
        (self.ended, self.refused) = (0, 0);
        self.cluster.message_counts.clear();
        for vm in &mut self.cluster.vms {
            vm.bytes = TrafficCounts::default();
            vm.handler_time = Duration::ZERO;
        }
    }

    /// Returns the roles of a VM, by the ranks that give them.
    pub fn roles(&self, vm: usize) -> Vec<&'static str> {
        let vm = &self.cluster.vms[vm];
        let own = VmIdentity {
            vm: vm.name.vm.clone(),
            incarnation: vm.name.incarnation,
            data_centre: vm.data_centre.clone(),
        };
        let peers = vm.control.peers();
        let rank = |duty: &str| {
            let ranked = peers.ranked_in(&own, &own.data_centre, duty);
            ranked.iter().position(|id| *id == own.vm).unwrap_or(usize::MAX)
        };
        let mut roles = Vec::new();
        if rank("configuration") < 2 {
            roles.push("config poller");
        }
        if rank("shares") == 0 {
            roles.push("bridge");
        }
        if roles.is_empty() {
            roles.push("plain");
        }
        roles
    }
}
