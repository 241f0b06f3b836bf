use super::*;
use crossbeam_channel::{Receiver, Sender, TrySendError};

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// An event that belongs to no new request.
    Event(Event),
    /// A new request and the channel for its directives.
    Request(Arrival, RequestMailbox),
    /// Stops the thread immediately, without finishing open requests.
    Halt,
    /// An operator's call and the channel for its answer.
    Operator(OperatorRequest, tokio::sync::oneshot::Sender<OperatorAnswer>),
}

/// A cloneable sender to the control thread.
///
/// New requests go through a bounded channel, so that they are refused when the control thread
/// falls behind. Events of requests that have been accepted go through an unbounded channel and are
/// never dropped.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    arrivals: Sender<ControlInput>,
    events: Sender<ControlInput>,
}

/// The receiving ends of the channels of a [`ControlHandle`].
pub(super) struct ControlInbox {
    pub(super) arrivals: Receiver<ControlInput>,
    pub(super) events: Receiver<ControlInput>,
}

impl ControlHandle {
    /// The number of new requests that may wait for the control thread.
    const ARRIVAL_LIMIT: usize = 1_024;

    pub(super) fn new() -> (Self, ControlInbox) {
        let (arrivals, arrivals_out) = crossbeam_channel::bounded(Self::ARRIVAL_LIMIT);
        let (events, events_out) = crossbeam_channel::unbounded();
        let inbox = ControlInbox { arrivals: arrivals_out, events: events_out };
        (Self { arrivals, events }, inbox)
    }

    /// Sends an event; does nothing if the control thread has ended.
    pub fn send(&self, event: Event) {
        let _ = self.events.send(ControlInput::Event(event));
    }

    /// Stops the control thread immediately, without finishing open requests.
    pub(super) fn halt(&self) {
        let _ = self.events.send(ControlInput::Halt);
    }

    /// Sends a new request; its directives arrive through `mailbox`.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the channel for new requests is full or the control thread has ended.
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

    /// Sends an operator's call and waits for the answer.
    pub async fn ask(&self, request: OperatorRequest) -> OperatorAnswer {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let _ = self.events.send(ControlInput::Operator(request, sender));
        receiver.await.unwrap_or_else(|_| {
            OperatorAnswer::Failed("This entry VM ended before it could answer.".into())
        })
    }
}
