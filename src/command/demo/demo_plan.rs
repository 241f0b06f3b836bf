use super::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Builds the calls of the demo from a seed.
pub(super) struct DemoPlan {
    rng: ChaCha8Rng,
    span: Duration,
    vms: usize,
    calls: Vec<DemoCall>,
}

/// The number of calls of each kind that a team sends.
struct TeamTraffic {
    team: &'static str,
    model: &'static str,
    questions: usize,
    dossiers: usize,
    bookings: usize,
}

const TRAFFIC: &[TeamTraffic] = &[
    TeamTraffic { team: "plazas", model: "auto", questions: 40, dossiers: 16, bookings: 8 },
    TeamTraffic {
        team: "escuelas",
        model: "planner-large",
        questions: 30,
        dossiers: 8,
        bookings: 0,
    },
    TeamTraffic {
        team: "levantamientos",
        model: "planner-large@3.1",
        questions: 0,
        dossiers: 8,
        bookings: 0,
    },
    TeamTraffic {
        team: "cotizaciones",
        model: "planner-large@3",
        questions: 10,
        dossiers: 6,
        bookings: 0,
    },
    TeamTraffic {
        team: "permisos",
        model: "planner-medium",
        questions: 30,
        dossiers: 0,
        bookings: 0,
    },
    TeamTraffic {
        team: "cuadrillas-norte",
        model: "auto",
        questions: 60,
        dossiers: 0,
        bookings: 20,
    },
    TeamTraffic { team: "cuadrillas-sur", model: "auto", questions: 60, dossiers: 0, bookings: 20 },
    TeamTraffic {
        team: "oficina",
        model: "planner-small",
        questions: 20,
        dossiers: 0,
        bookings: 4,
    },
];

impl DemoPlan {
    const DOSSIER_BYTES: usize = 24_000;
    const QUESTION_TOKENS: u64 = 12;
    const DOSSIER_TOKENS: u64 = 120;
    const RESEND_AFTER: Duration = Duration::from_millis(60);

    /// Returns the calls for a span of time in sending order, distributed over the entry VMs.
    pub(super) fn calls(seed: u64, span: Duration, vms: usize) -> Vec<DemoCall> {
        let mut plan = Self { rng: ChaCha8Rng::seed_from_u64(seed), span, vms, calls: Vec::new() };
        for traffic in TRAFFIC {
            plan.add_team(traffic);
        }
        plan.calls.sort_by_key(|call| call.at);
        plan.calls
    }

    fn add_team(&mut self, traffic: &TeamTraffic) {
        for number in 0..traffic.questions {
            let marker = format!("question {} {number}.", traffic.team);
            let text = format!("{marker} Which anchor bolts fit a slope of 4 degrees?");
            let request = CallRequest::chat(traffic.model, &text).max_tokens(Self::QUESTION_TOKENS);
            let request = if number % 2 == 0 { request.stream() } else { request };
            self.add(traffic.team, CallKind::Question, marker, &text, request);
        }
        for number in 0..traffic.dossiers {
            let marker = format!("dossier {} {number}.", traffic.team);
            let text = format!("{marker} {}", self.dossier());
            let request = CallRequest::chat(traffic.model, &text).max_tokens(Self::DOSSIER_TOKENS);
            self.add(traffic.team, CallKind::Dossier, marker, &text, request.stream());
        }
        for number in 0..traffic.bookings {
            self.add_booking(traffic.team, number);
        }
    }

    /// Adds a booking and a look-up of it. Every second booking is sent twice, the second time to
    /// another entry VM.
    fn add_booking(&mut self, team: &str, number: usize) {
        let marker = format!("{team}-{number}");
        let body = serde_json::json!({"booking": marker, "item": "anchor bolts", "count": 48});
        let request = CallRequest::new(Method::POST, "/services/crew-booking/deliveries", body)
            .header("idempotency-key", &uuid::Uuid::now_v7().to_string());
        self.add(team, CallKind::Booking, marker.clone(), "", request);
        if number.is_multiple_of(2)
            && let Some(mut duplicate) = self.calls.last().cloned()
        {
            duplicate.at += Self::RESEND_AFTER;
            duplicate.vm = (duplicate.vm + 1) % self.vms;
            self.calls.push(duplicate);
        }
        let path = format!("/services/slot-status/deliveries/{marker}");
        let request = CallRequest::new(Method::GET, &path, serde_json::Value::Null);
        self.add(team, CallKind::Lookup, marker, "", request);
    }

    fn add(
        &mut self,
        team: &str,
        kind: CallKind,
        marker: String,
        text: &str,
        request: CallRequest,
    ) {
        let at = self.span.mul_f64(self.rng.random_range(0.0..1.0));
        let vm = self.rng.random_range(0..self.vms);
        let request = request.key(&format!("{}-key", subscriber(team)));
        let team = team.parse().expect("the teams of the example have valid names");
        self.calls.push(DemoCall { at, vm, team, kind, marker, text: text.into(), request });
    }

    fn dossier(&mut self) -> String {
        const WORDS: [&str; 6] = ["plaza", "survey", "permit", "slope", "anchor", "quote"];
        let mut text = String::with_capacity(Self::DOSSIER_BYTES);
        while text.len() < Self::DOSSIER_BYTES {
            text.push_str(WORDS[self.rng.random_range(0..WORDS.len())]);
            text.push(' ');
        }
        text
    }
}

/// Returns the subscriber of the example configuration whose key the demo uses for a team.
fn subscriber(team: &str) -> String {
    match team.strip_prefix("cuadrillas-") {
        Some(place) => format!("cuadrilla-{place}-1"),
        None => team.into(),
    }
}
