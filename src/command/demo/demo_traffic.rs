use super::*;

/// Sends the demo's calls and withdraws a version while they run.
pub(super) struct DemoTraffic<'a> {
    environment: &'a DemoEnvironment,
    calls: Vec<DemoCall>,
}

/// The results of the traffic, as input of the report.
pub(super) struct TrafficRecord {
    /// All calls with their outcomes.
    pub(super) results: Vec<DemoResult>,
    /// The version that was withdrawn during the traffic.
    pub(super) withdrawn: VersionId,
    /// The time from the publication until the withdrawal was in force at every entry VM.
    pub(super) in_force: Millis,
    /// How often the withdrawn version had run once the withdrawal was in force.
    pub(super) runs_in_force: u64,
    /// How often the withdrawn version had run after the last call.
    pub(super) runs_at_end: u64,
    /// The bills after the last call.
    pub(super) bills: BillFold,
}

impl<'a> DemoTraffic<'a> {
    const SPAN: Duration = Duration::from_secs(3);
    const WITHDRAW_AT: Duration = Duration::from_millis(1_200);
    /// The time that an attempt routed before the withdrawal may take to reach its engine.
    const SETTLE: Duration = Duration::from_millis(200);

    pub(super) fn new(environment: &'a DemoEnvironment, seed: u64) -> Self {
        Self { environment, calls: DemoPlan::calls(seed, Self::SPAN, environment.vms.len()) }
    }

    /// Sends all calls, withdraws the version after `WITHDRAW_AT` and returns the results.
    pub(super) async fn run(self) -> Result<TrafficRecord, CommandError> {
        let withdrawn: VersionId =
            "planner-large@3.1".parse().expect("the version's name is valid");
        let addresses: Vec<_> = self.environment.vms.iter().map(|vm| vm.callers).collect();
        let calls = tokio::spawn(send_all(addresses, self.calls));
        tokio::time::sleep(Self::WITHDRAW_AT).await;
        let in_force = withdraw(self.environment, &withdrawn).await?;
        tokio::time::sleep(Self::SETTLE).await;
        let name = withdrawn.to_string();
        let runs_in_force = self.environment.version_runs(&name);
        let results = calls.await.map_err(std::io::Error::from)?;
        let runs_at_end = self.environment.version_runs(&name);
        let expected = DemoResult::billable(&results).count();
        let bills = self.environment.bills(expected as u64).await;
        Ok(TrafficRecord { results, withdrawn, in_force, runs_in_force, runs_at_end, bills })
    }
}

async fn withdraw(
    environment: &DemoEnvironment,
    version: &VersionId,
) -> Result<Millis, CommandError> {
    let mut document = environment.document.clone();
    if let Some(model) = document.models.get_mut(&version.model) {
        model.rollout = None;
        if let Some(entry) = model.versions.get_mut(&version.version) {
            entry.state = VersionState::Withdrawn;
        }
    }
    let clock = Clock::start();
    let revision = environment.publish(&document).await?;
    environment.wait_until(|status| status.revision >= revision).await?;
    Ok(clock.now())
}

async fn send_all(addresses: Vec<SocketAddr>, calls: Vec<DemoCall>) -> Vec<DemoResult> {
    let start = tokio::time::Instant::now();
    let callers: Vec<_> = addresses.into_iter().map(CallerStandIn::new).collect();
    let sends = calls.into_iter().map(|call| {
        let caller = callers[call.vm].clone();
        tokio::spawn(async move {
            tokio::time::sleep_until(start + call.at).await;
            let sent = Instant::now();
            let outcome = caller.send(&call.request).await;
            DemoResult { call, sent, outcome }
        })
    });
    let sends: Vec<_> = sends.collect();
    let mut results = Vec::with_capacity(sends.len());
    for send in sends {
        results.extend(send.await);
    }
    results
}
