use super::*;
use crossbeam_channel::{Receiver, Sender, TrySendError};

/// Something that another thread tells the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// An event without a mailbox.
    Event(Event),
    /// A request, and where its directives go.
    Request(Arrival, RequestMailbox),
    /// The thread ends at once and leaves everything as it is.
    Halt,
    /// An operator's call, and where its answer goes.
    Operator(OperatorRequest, tokio::sync::oneshot::Sender<OperatorAnswer>),
}

/// Sends to the control thread.
///
/// New requests go through a bounded channel, so that a control thread that falls behind sheds
/// them; what concerns requests already under way always gets through.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    arrivals: Sender<ControlInput>,
    events: Sender<ControlInput>,
}

/// The receiving ends for the control thread.
pub(super) struct ControlInbox {
    pub(super) arrivals: Receiver<ControlInput>,
    pub(super) events: Receiver<ControlInput>,
}

impl ControlHandle {
    /// The requests that may wait for the control thread.
    const ARRIVAL_LIMIT: usize = 1_024;

    pub(super) fn new() -> (Self, ControlInbox) {
        let (arrivals, arrivals_out) = crossbeam_channel::bounded(Self::ARRIVAL_LIMIT);
        let (events, events_out) = crossbeam_channel::unbounded();
        let inbox = ControlInbox { arrivals: arrivals_out, events: events_out };
        (Self { arrivals, events }, inbox)
    }

    /// Sends an event.
    pub fn send(&self, event: Event) {
        let _ = self.events.send(ControlInput::Event(event));
    }

    /// Ends the control thread at once.
    pub(super) fn halt(&self) {
        let _ = self.events.send(ControlInput::Halt);
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the control thread is too far behind or has ended.
    pub fn arrive(&self, arrival: Arrival, mailbox: RequestMailbox) -> Result<(), Refusal> {
        let request = arrival.request;
        self.arrivals.try_send(ControlInput::Request(arrival, mailbox)).map_err(|error| {
            let message = match error {
                TrySendError::Full(_) => "This entry VM is overloaded; send the request later.",
                TrySendError::Disconnected(_) => "This entry VM has ended; send the request again.",
            };
            Refusal::not_run(RefusalCode::Unavailable, message)
                .with_retry_after(Control::retry_after(request))
        })
    }

    /// Asks on behalf of an operator and waits for the answer.
    pub async fn ask(&self, request: OperatorRequest) -> OperatorAnswer {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let _ = self.events.send(ControlInput::Operator(request, sender));
        receiver.await.unwrap_or_else(|_| {
            OperatorAnswer::Failed("This entry VM ended before it could answer.".into())
        })
    }
}
