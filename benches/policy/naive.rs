//! The naive router: the dearest allowed version, a random server with a free slot, one FIFO.

use crate::router::BenchRouter;
use guavapass::{
    configuration::{ConfigurationDocument, KeyIndex, VersionState},
    control::{
        Arrival, AttemptReport, AttemptStart, Command, Event, ReleaseMode, RepeatRule, WorkTarget,
    },
    ids::{AttemptId, RequestNumber, ServerId, VersionId},
    units::Millis,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

pub struct NaiveRouter {
    document: ConfigurationDocument,
    keys: KeyIndex,
    slots: u32,
    free: BTreeMap<ServerId, u32>,
    queue: VecDeque<(RequestNumber, VersionId)>,
    running: BTreeMap<RequestNumber, ServerId>,
    random: ChaCha8Rng,
}

impl NaiveRouter {
    pub fn new(document: &ConfigurationDocument, slots: u32, seed: u64) -> Self {
        Self {
            keys: KeyIndex::of(document),
            document: document.clone(),
            slots,
            free: BTreeMap::new(),
            queue: VecDeque::new(),
            running: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn dearest(&self, arrival: &Arrival) -> VersionId {
        let (team, _) = self.keys.get(arrival.key.as_deref().unwrap()).unwrap();
        let team = &self.document.teams[team];
        let live = self
            .document
            .versions()
            .filter(|(id, entry)| team.allows(id) && entry.state == VersionState::Live);
        let cost =
            |entry: &guavapass::configuration::VersionEntry| entry.cost_per_million_output_tokens.0;
        live.max_by(|a, b| cost(a.1).total_cmp(&cost(b.1))).unwrap().0
    }

    fn dispatch(&mut self) -> Vec<Command> {
        let mut commands = Vec::new();
        loop {
            let open: Vec<ServerId> =
                self.free.iter().filter(|(_, free)| **free > 0).map(|(id, _)| id.clone()).collect();
            if open.is_empty() {
                return commands;
            }
            let Some((request, version)) = self.queue.pop_front() else { return commands };
            let server = open[self.random.random_range(0..open.len())].clone();
            *self.free.get_mut(&server).unwrap() -= 1;
            self.running.insert(request, server.clone());
            commands.push(Command::Start(AttemptStart {
                request,
                attempt: AttemptId(1),
                target: WorkTarget::Version(version),
                server,
                address: "127.0.0.1:9".parse().unwrap(),
                progress_timeout: Millis(10_000),
                release: ReleaseMode::Immediate,
                repeat: RepeatRule::Repeatable,
                priority: 0,
                session: None,
                session_moved: None,
            }));
        }
    }
}

impl BenchRouter for NaiveRouter {
    fn handle(&mut self, _now: Millis, event: Event) -> Vec<Command> {
        match event {
            Event::Arrived(arrival) => {
                let version = self.dearest(&arrival);
                self.queue.push_back((arrival.request, version));
            }
            Event::MembersRead(Ok(list)) => {
                for server in list.backend_servers {
                    self.free.entry(server.id).or_insert(self.slots);
                }
            }
            Event::Attempt { request, report: AttemptReport::Ended(_), .. } => {
                if let Some(server) = self.running.remove(&request) {
                    *self.free.get_mut(&server).unwrap() += 1;
                }
            }
            _ => return Vec::new(),
        }
        self.dispatch()
    }
}
