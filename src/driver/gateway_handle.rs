use super::*;
use tokio::sync::mpsc::{
    Receiver, Sender, UnboundedReceiver, UnboundedSender, error::TrySendError,
};

/// A message to the gateway's control thread.
#[derive(Debug)]
pub enum GatewayInput {
    /// An event that belongs to no new request.
    Event(GatewayEvent),
    /// A new request and the channel for its directives.
    Request(Box<RoutedArrival>, GatewayMailbox),
    /// A poll from another entry VM and the channel for its answer.
    Poll(Box<RelayPoll>, tokio::sync::oneshot::Sender<RelayAnswer>),
    /// Stops the thread immediately, without finishing open requests.
    Halt,
}

/// A cloneable sender to the gateway's control thread.
///
/// New requests go through a bounded channel, so that they are refused when the control thread
/// falls behind. Events of requests that have been accepted go through an unbounded channel and are
/// never dropped.
#[derive(Clone, Debug)]
pub struct GatewayHandle {
    arrivals: Sender<GatewayInput>,
    events: UnboundedSender<GatewayInput>,
}

/// The receiving ends of the channels of a [`GatewayHandle`].
pub(super) struct GatewayInbox {
    pub(super) arrivals: Receiver<GatewayInput>,
    pub(super) events: UnboundedReceiver<GatewayInput>,
}

impl GatewayHandle {
    /// The number of new requests that may wait for the control thread.
    const ARRIVAL_LIMIT: usize = 1_024;
    /// The `Retry-After` time of requests that are refused because the control thread is behind.
    const OVERLOAD_RETRY_AFTER_MS: u64 = 500;

    pub(super) fn new() -> (Self, GatewayInbox) {
        let (arrivals, arrivals_out) = tokio::sync::mpsc::channel(Self::ARRIVAL_LIMIT);
        let (events, events_out) = tokio::sync::mpsc::unbounded_channel();
        (Self { arrivals, events }, GatewayInbox { arrivals: arrivals_out, events: events_out })
    }

    /// Sends an event; does nothing if the control thread has ended.
    pub fn send(&self, event: GatewayEvent) {
        let _ = self.events.send(GatewayInput::Event(event));
    }

    /// Passes on the poll of another entry VM and waits for the answer; `None` if the control
    /// thread has ended.
    pub async fn poll(&self, poll: RelayPoll) -> Option<RelayAnswer> {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let _ = self.events.send(GatewayInput::Poll(Box::new(poll), sender));
        receiver.await.ok()
    }

    /// Stops the control thread immediately, without finishing open requests.
    pub fn halt(&self) {
        let _ = self.events.send(GatewayInput::Halt);
    }

    /// Sends a new request; its directives arrive through `mailbox`.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the channel for new requests is full or the control thread has ended.
    pub fn arrive(&self, arrival: RoutedArrival, mailbox: GatewayMailbox) -> Result<(), Refusal> {
        let input = GatewayInput::Request(Box::new(arrival), mailbox);
        self.arrivals.try_send(input).map_err(|error| {
            let message = match error {
                TrySendError::Full(_) => "This entry VM is overloaded; send the request later.",
                TrySendError::Closed(_) => "This entry VM has ended; send the request again.",
            };
            Refusal::not_run(RefusalCode::Unavailable, message)
                .with_retry_after(Millis(Self::OVERLOAD_RETRY_AFTER_MS))
        })
    }
}
