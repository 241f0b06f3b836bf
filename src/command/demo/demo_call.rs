use super::*;

/// What a call of the demo is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// A short question.
    Question,
    /// A dossier, whose answer is streamed.
    Dossier,
    /// A booking, which may not be repeated.
    Booking,
    /// A look-up of a booking.
    Lookup,
}

/// One planned call.
#[derive(Clone, Debug)]
pub(super) struct DemoCall {
    /// When it is sent, after the start.
    pub(super) at: Duration,
    /// The index of the entry VM that it goes to.
    pub(super) vm: usize,
    /// The team that sends it.
    pub(super) team: TeamId,
    /// What it is.
    pub(super) kind: CallKind,
    /// A text that only this call has.
    pub(super) marker: String,
    /// The text of its question, if it is a chat request.
    pub(super) text: String,
    /// The call itself.
    pub(super) request: CallRequest,
}

/// A call and what came of it.
#[derive(Clone, Debug)]
pub(super) struct DemoResult {
    /// The call.
    pub(super) call: DemoCall,
    /// When it was sent.
    pub(super) sent: Instant,
    /// Its answer.
    pub(super) outcome: CallOutcome,
}

impl DemoResult {
    /// Returns the version that answered.
    pub(super) fn version(&self) -> Option<VersionId> {
        self.outcome.header("guavapass-version")?.parse().ok()
    }

    /// Returns what the answer says about the run, if it is not a whole one.
    pub(super) fn run(&self) -> Option<&str> {
        self.outcome.header("guavapass-run")
    }

    /// Returns whether the answer says that the call did not run.
    pub(super) fn is_not_run(&self) -> bool {
        self.run() == Some("not-run")
    }

    /// Returns whether the call got a whole answer that is its own.
    pub(super) fn is_answered(&self) -> bool {
        self.outcome.is_whole() && self.is_own()
    }

    /// Returns the answered calls, each booking once however often it was sent.
    pub(super) fn billable(results: &[Self]) -> impl Iterator<Item = &Self> {
        let mut bookings = BTreeSet::new();
        results.iter().filter(move |result| {
            let is_booking = result.call.kind == CallKind::Booking;
            result.is_answered() && (!is_booking || bookings.insert(&result.call.marker))
        })
    }

    fn is_own(&self) -> bool {
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
