use super::*;

/// The printed result of the demo: totals by team, runs by version and booking, and the checks.
pub(super) struct DemoReport {
    pub(super) teams: BTreeMap<TeamId, TeamSummary>,
    pub(super) versions: BTreeMap<SmolStr, u64>,
    pub(super) bookings: BTreeMap<SmolStr, u64>,
    pub(super) promises: Vec<GuaranteeCheck>,
}

impl DemoReport {
    /// Computes the report from the recorded traffic and the run counters of the stand-ins.
    pub(super) fn new(environment: &DemoEnvironment, record: &TrafficRecord) -> Self {
        let mut versions = BTreeMap::new();
        for (version, runs) in
            environment.engines.iter().flat_map(|engine| engine.version_runs().all())
        {
            *versions.entry(version).or_default() += runs;
        }
        let mut bookings = BTreeMap::new();
        for (booking, runs) in
            environment.bookings.iter().flat_map(|server| server.bookings().all())
        {
            *bookings.entry(booking).or_default() += runs;
        }
        Self {
            teams: TeamSummary::all(environment, &record.results),
            versions,
            bookings,
            promises: GuaranteeCheck::all(environment, record),
        }
    }

    /// Returns whether no guarantee was violated.
    pub(super) fn all_held(&self) -> bool {
        self.promises.iter().all(|promise| promise.held)
    }

    /// Returns the report as one JSON document.
    pub(super) fn json(&self) -> serde_json::Value {
        let teams: serde_json::Map<_, _> = self
            .teams
            .iter()
            .map(|(team, summary)| (team.to_string(), team_json(summary)))
            .collect();
        serde_json::json!({
            "teams": teams,
            "versions": self.versions,
            "bookings": {"run": self.bookings.len(), "run_more_than_once": self.run_twice()},
            "promises": self.promises,
            "held": self.all_held(),
        })
    }

    fn run_twice(&self) -> usize {
        self.bookings.values().filter(|runs| **runs > 1).count()
    }
}

fn team_json(summary: &TeamSummary) -> serde_json::Value {
    serde_json::json!({
        "requests": summary.requests,
        "answered": summary.answered,
        "refused": summary.refused,
        "failed": summary.failed,
        "cost": summary.cost,
        "first_token_ms": {"p50": summary.first_token_ms(0.5), "p99": summary.first_token_ms(0.99)},
        "whole_ms": {"p50": summary.whole_ms(0.5), "p99": summary.whole_ms(0.99)},
    })
}

impl Display for DemoReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<18}{:>9}{:>10}{:>9}{:>8}{:>11}{:>20}{:>20}",
            "team",
            "requests",
            "answered",
            "refused",
            "failed",
            "cost",
            "first token ms",
            "whole answer ms"
        )?;
        writeln!(formatter, "{:>85}{:>20}", "p50 / p99", "p50 / p99")?;
        for (team, summary) in &self.teams {
            writeln!(
                formatter,
                "{:<18}{:>9}{:>10}{:>9}{:>8}{:>11.5}{:>20}{:>20}",
                team.as_str(),
                summary.requests,
                summary.answered,
                summary.refused,
                summary.failed,
                summary.cost.0,
                format!("{:.1} / {:.1}", summary.first_token_ms(0.5), summary.first_token_ms(0.99)),
                format!("{:.1} / {:.1}", summary.whole_ms(0.5), summary.whole_ms(0.99)),
            )?;
        }
        writeln!(formatter, "\nversion                runs")?;
        for (version, runs) in &self.versions {
            writeln!(formatter, "{version:<20}{runs:>7}")?;
        }
        writeln!(
            formatter,
            "\nbookings run: {}, more than once: {}\n",
            self.bookings.len(),
            self.run_twice()
        )?;
        for promise in &self.promises {
            let verdict = if promise.held { "held  " } else { "BROKEN" };
            writeln!(formatter, "{verdict}  {}: {}", promise.promise, promise.evidence)?;
        }
        Ok(())
    }
}
