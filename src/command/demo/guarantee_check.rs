use super::*;

/// The result of checking one guarantee of the system.
#[derive(Clone, Debug, Serialize)]
pub(super) struct GuaranteeCheck {
    /// The guarantee, as printed in the report.
    pub(super) promise: &'static str,
    /// Whether the traffic showed no violation.
    pub(super) held: bool,
    /// The counts that the result is based on.
    pub(super) evidence: String,
}

impl GuaranteeCheck {
    const COST_TOLERANCE: f64 = 1e-9;
    const IN_FORCE_LIMIT: Millis = Millis(5_000);

    /// Checks every guarantee that the demo's traffic exercises.
    pub(super) fn all(environment: &DemoEnvironment, record: &TrafficRecord) -> Vec<Self> {
        vec![
            Self::every_call_answered(record),
            Self::whole_and_own(record),
            Self::allowed_versions(environment, record),
            Self::withdrawn_version(record),
            Self::in_force(record),
            Self::bookings_once(environment, record),
            Self::not_run(environment, record),
            Self::billed_once(environment, record),
        ]
    }

    fn every_call_answered(record: &TrafficRecord) -> Self {
        let lacks_run_state =
            |result: &&DemoResult| !result.outcome.is_whole() && result.run().is_none();
        let count = record.results.iter().filter(lacks_run_state).count();
        Self {
            promise: "every call gets a whole answer or a word on whether it ran",
            held: count == 0 && !record.results.is_empty(),
            evidence: format!("{} calls, {count} without", record.results.len()),
        }
    }

    fn whole_and_own(record: &TrafficRecord) -> Self {
        let whole = record.results.iter().filter(|result| result.outcome.is_whole());
        let (own, foreign): (Vec<_>, Vec<_>) = whole.partition(|result| result.is_answered());
        Self {
            promise: "a caller receives the answer to its own request",
            held: foreign.is_empty() && !own.is_empty(),
            evidence: format!("{} whole answers, {} foreign", own.len(), foreign.len()),
        }
    }

    fn allowed_versions(environment: &DemoEnvironment, record: &TrafficRecord) -> Self {
        let allowed = |result: &DemoResult, version: &VersionId| {
            environment.document.teams[&result.call.team].allows(version)
        };
        let mut answered = 0;
        let mut wrong = 0;
        for result in &record.results {
            if let Some(version) = result.version() {
                answered += 1;
                wrong += u64::from(!allowed(result, &version));
            }
        }
        Self {
            promise: "a request runs only on a version that its team allows",
            held: wrong == 0 && answered > 0,
            evidence: format!("{answered} answers name a version, {wrong} are not allowed"),
        }
    }

    fn withdrawn_version(record: &TrafficRecord) -> Self {
        let after = record.runs_at_end - record.runs_in_force;
        Self {
            promise: "a withdrawn version receives no new work",
            held: after == 0 && record.runs_in_force > 0,
            evidence: format!(
                "{} ran {} times before its withdrawal and {after} times after",
                record.withdrawn, record.runs_in_force
            ),
        }
    }

    fn in_force(record: &TrafficRecord) -> Self {
        Self {
            promise: "an accepted configuration is in force everywhere within seconds",
            held: record.in_force <= Self::IN_FORCE_LIMIT,
            evidence: format!("{}", record.in_force),
        }
    }

    fn bookings_once(environment: &DemoEnvironment, record: &TrafficRecord) -> Self {
        let calls = record.results.iter().filter(|result| result.call.kind == CallKind::Booking);
        let sent = calls.clone().count();
        let bookings: BTreeSet<_> = calls.map(|result| result.call.marker.as_str()).collect();
        let runs = bookings.iter().map(|booking| environment.booking_runs(booking));
        let (mut ran, mut twice) = (0, 0);
        for count in runs {
            ran += u64::from(count > 0);
            twice += u64::from(count > 1);
        }
        Self {
            promise: "a booking runs at most once",
            held: twice == 0 && ran > 0,
            evidence: format!(
                "{} bookings sent {sent} times, {ran} ran, {twice} more than once",
                bookings.len()
            ),
        }
    }

    fn billed_once(environment: &DemoEnvironment, record: &TrafficRecord) -> Self {
        let summaries = TeamSummary::all(environment, &record.results);
        let bills = environment.report(&record.bills).teams;
        let answered = DemoResult::billable(&record.results).count() as u64;
        let failed: u64 = summaries.values().map(|summary| summary.failed).sum();
        let billed: u64 = bills.values().map(|total| total.requests).sum();
        let wrong = summaries.iter().filter(|(team, summary)| {
            let billed = bills.get(*team).map_or(0.0, |total| total.cost.0);
            summary.failed == 0 && (billed - summary.cost.0).abs() > Self::COST_TOLERANCE
        });
        let wrong = wrong.count();
        let differing = Self::differing_bills(environment, record);
        Self {
            promise: "each request is billed exactly once",
            held: (answered..=answered + failed).contains(&billed)
                && wrong == 0
                && differing.is_empty(),
            evidence: format!(
                "{answered} requests answered, {billed} billed, {wrong} teams billed wrongly{}",
                Self::violation_list(&differing)
            ),
        }
    }

    /// Describes the settled bills that differ from the cost that the demo computed itself.
    fn differing_bills(environment: &DemoEnvironment, record: &TrafficRecord) -> Vec<String> {
        let settled = record.bills.bills().filter_map(|(_, state)| match state {
            BillState::Settled(BillRecord {
                request,
                stage: BillStage::Final { cost, .. },
                ..
            }) => Some((request.to_string(), *cost)),
            BillState::Settled(_) | BillState::Unsettled(_) => None,
        });
        let settled: BTreeMap<String, Cost> = settled.collect();
        let mut differing = Vec::new();
        for result in DemoResult::billable(&record.results) {
            let request = result.outcome.header("guavapass-request").unwrap_or_default();
            let Some(cost) = settled.get(request) else { continue };
            let due = environment.due(result);
            if (cost.0 - due.0).abs() > Self::COST_TOLERANCE {
                differing.push(format!("{request} was billed {cost} and owes {due}"));
            }
        }
        differing
    }

    /// Formats the violations of a guarantee, to be appended to its evidence.
    fn violation_list(violations: &[String]) -> String {
        if violations.is_empty() { String::new() } else { format!(": {}", violations.join("; ")) }
    }

    fn not_run(environment: &DemoEnvironment, record: &TrafficRecord) -> Self {
        let refused = record.results.iter().filter(|result| result.is_not_run());
        let ran = |result: &&DemoResult| match result.call.kind {
            CallKind::Booking => Self::booking_ran(environment, record, result),
            CallKind::Lookup => false,
            CallKind::Question | CallKind::Dossier => {
                environment.question_runs(&result.call.text) > 0
            }
        };
        let wrong: Vec<String> = refused
            .clone()
            .filter(ran)
            .map(|result| Self::describe_sends(record, result))
            .collect();
        Self {
            promise: "a refusal that says \"not run\" is true",
            held: wrong.is_empty(),
            evidence: format!(
                "{} refusals say so, {} are wrong{}",
                refused.count(),
                wrong.len(),
                Self::violation_list(&wrong)
            ),
        }
    }

    /// Returns whether a booking ran although its refusal said "not run". Another call of the same
    /// booking may run it, so a run is not attributed to the refused call if it began after that
    /// call was sent and there are no more runs than calls that were not refused.
    fn booking_ran(
        environment: &DemoEnvironment,
        record: &TrafficRecord,
        refused: &DemoResult,
    ) -> bool {
        let marker = &refused.call.marker;
        let Some(first) = environment.first_booking_run(marker) else { return false };
        let is_same = |other: &&DemoResult| {
            other.call.kind == CallKind::Booking && other.call.marker == *marker
        };
        let others = record.results.iter().filter(is_same);
        let answering = others.filter(|other| !other.is_not_run()).count() as u64;
        first < refused.sent || environment.booking_runs(marker) > answering
    }

    /// Describes the outcomes of all calls with the same marker as a result.
    fn describe_sends(record: &TrafficRecord, result: &DemoResult) -> String {
        let marker = &result.call.marker;
        let same = record.results.iter().filter(|other| other.call.marker == *marker);
        let texts = same.map(|other| {
            let request = other.outcome.header("guavapass-request").unwrap_or("no request");
            let (status, run) = (other.outcome.status, other.run().unwrap_or("nothing said"));
            format!("{:?} {request}: status {status:?}, {run}", other.call.kind)
        });
        texts.collect::<Vec<_>>().join(", ")
    }
}
