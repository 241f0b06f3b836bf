use super::*;

/// Which data centres this VM cannot reach the servers of.
///
/// A data centre that is cut off takes all of its servers away at once, and each of them would cost
/// a request the time of a connection attempt. So several silent servers of a data centre, without
/// an answer from any of its servers in between, count for all of them.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct CentreReach {
    silent: BTreeMap<DataCentreId, SilentCentre>,
}

/// The servers of a data centre that did not answer since one of them last did.
#[derive(Clone, Debug, Default)]
struct SilentCentre {
    servers: BTreeSet<ServerId>,
    is_avoided: bool,
}

impl CentreReach {
    /// The number of silent servers from which on their data centre is avoided.
    const SERVERS: usize = 3;
    /// How long it is avoided before requests try it again.
    const AVOID_MS: u64 = 1_000;
    /// A server that refuses a connection does so sooner; its address can be reached.
    const SILENT_MS: u64 = 100;

    /// Records a silent server; returns whether its data centre is to be avoided from now on.
    fn record_silent(&mut self, centre: &DataCentreId, server: &ServerId) -> bool {
        let silent = self.silent.entry(centre.clone()).or_default();
        silent.servers.insert(server.clone());
        silent.is_avoided |= silent.servers.len() >= Self::SERVERS;
        silent.is_avoided
    }

    /// Records an answer from a data centre; returns whether it was avoided.
    fn record_answer(&mut self, centre: &DataCentreId) -> bool {
        self.silent.remove(centre).is_some_and(|silent| silent.is_avoided)
    }
}

impl Gateway {
    /// Records that a server has answered, so that its data centre can be reached.
    pub(in super::super) fn record_reached(&mut self, now: Millis, server: &ServerId) {
        self.progress.record(now, server);
        let Some(known) = self.servers.get(server) else { return };
        let centre = known.entry.data_centre.clone();
        if !self.reach.record_answer(&centre) {
            return;
        }
        tracing::info!(%centre, %server, "data centre answers again");
        let servers = self.servers.iter_mut();
        for server in servers.filter(|server| server.entry.data_centre == centre) {
            if server.consecutive_failures == 0 {
                server.avoid_until = Millis(0);
            }
        }
    }

    /// Records a run whose server could not be reached or fell silent. If other servers of its data
    /// centre did as well, requests avoid all of them, and those that wait for one go elsewhere.
    pub(in super::super) fn record_silent_run(&mut self, now: Millis, run: &RunRecord) {
        let Some(server) = self.servers.get(&run.server) else { return };
        let centre = server.entry.data_centre.clone();
        let is_refusal = now.since(run.started).0 < CentreReach::SILENT_MS;
        if is_refusal || !self.reach.record_silent(&centre, &run.server) {
            return;
        }
        tracing::info!(%centre, server = %run.server, "data centre avoided: its servers are silent");
        let until = now + Millis(CentreReach::AVOID_MS);
        let servers = self.servers.iter_mut();
        for server in servers.filter(|server| server.entry.data_centre == centre) {
            server.avoid_until = server.avoid_until.max(until);
        }
        for request in self.waiting_for(now, &centre) {
            self.move_run(now, request, "the data centre of its server does not answer");
        }
    }

    /// Returns the repeatable requests that wait for the first event of a silent server.
    fn waiting_for(&self, now: Millis, centre: &DataCentreId) -> Vec<RequestNumber> {
        let is_waiting = |state: &RoutedRequest| {
            let run = state.open_run().filter(|run| run.stage == RunStage::Waiting)?;
            let server = self.servers.get(&run.server)?;
            let is_silent = now.since(run.started).0 >= CentreReach::SILENT_MS
                && server.entry.data_centre == *centre
                && !self.progress.is_since(&run.server, run.started);
            Some(is_silent && state.route.kind.may_repeat())
        };
        let requests = self.requests.iter();
        let waiting = requests.filter(|(_, state)| is_waiting(state).unwrap_or(false));
        waiting.map(|(request, _)| *request).collect()
    }
}
