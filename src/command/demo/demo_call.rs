use super::*;

/// The kind of work that a call of the demo requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// A chat request with a short prompt.
    Question,
    /// A chat request with a long prompt and a streamed answer.
    Dossier,
    /// A booking, which must run at most once.
    Booking,
    /// A query for the state of a booking, which may be repeated.
    Lookup,
}

/// One call in the plan of the demo.
#[derive(Clone, Debug)]
pub(super) struct DemoCall {
    /// The delay from the start of the traffic until the call is sent.
    pub(super) at: Duration,
    /// The index of the entry VM that receives the call.
    pub(super) vm: usize,
    /// The team whose key the call carries.
    pub(super) team: TeamId,
    /// The kind of work requested.
    pub(super) kind: CallKind,
    /// A text that identifies the call, or its booking, in the answer.
    pub(super) marker: String,
    /// The text of the user's message; empty unless this is a chat request.
    pub(super) text: String,
    /// The HTTP request to send.
    pub(super) request: CallRequest,
}

/// A call and its outcome.
#[derive(Clone, Debug)]
pub(super) struct DemoResult {
    /// The planned call.
    pub(super) call: DemoCall,
    /// The time at which the call was sent.
    pub(super) sent: Instant,
    /// The answer, whole or not.
    pub(super) outcome: CallOutcome,
}

impl DemoResult {
    /// Returns the model version that answered, or `None` if the answer names none.
    pub(super) fn version(&self) -> Option<VersionId> {
        self.outcome.header("guavapass-version")?.parse().ok()
    }

    /// Returns the value of the header `guavapass-run`, which answers other than successful ones
    /// carry to state whether the request ran.
    pub(super) fn run(&self) -> Option<&str> {
        self.outcome.header("guavapass-run")
    }

    /// Returns whether the answer states that the call did not run.
    pub(super) fn is_not_run(&self) -> bool {
        self.run() == Some("not-run")
    }

    /// Returns whether the call got a complete answer that belongs to this call.
    pub(super) fn is_answered(&self) -> bool {
        self.outcome.is_whole() && self.contains_marker()
    }

    /// Returns the answered calls, with each booking only once even if it was sent several times.
    pub(super) fn billable(results: &[Self]) -> impl Iterator<Item = &Self> {
        let mut bookings = BTreeSet::new();
        results.iter().filter(move |result| {
            let is_booking = result.call.kind == CallKind::Booking;
            result.is_answered() && (!is_booking || bookings.insert(&result.call.marker))
        })
    }

    fn contains_marker(&self) -> bool {
        match self.call.kind {
            CallKind::Question | CallKind::Dossier => {
                self.outcome.text().contains(&self.call.marker)
            }
            CallKind::Booking | CallKind::Lookup => {
                self.outcome.json()["booking"].as_str() == Some(&self.call.marker)
            }
        }
    }
}
