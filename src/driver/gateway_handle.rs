use super::*;
use tokio::sync::mpsc::{
    Receiver, Sender, UnboundedReceiver, UnboundedSender, error::TrySendError,
};

/// Something that another thread tells the gateway's control thread.
#[derive(Debug)]
pub enum GatewayInput {
    /// An event without a mailbox.
    Event(GatewayEvent),
    /// A request, and where its directives go.
    Request(Box<RoutedArrival>, GatewayMailbox),
    /// Another entry VM's question, and where its answer goes.
    Poll(Box<RelayPoll>, tokio::sync::oneshot::Sender<RelayAnswer>),
    /// The thread ends at once.
    Halt,
}

/// Sends to the gateway's control thread.
///
/// New requests go through a bounded channel, so that a control thread that falls behind sheds
/// them; what concerns requests already under way always gets through.
#[derive(Clone, Debug)]
pub struct GatewayHandle {
    arrivals: Sender<GatewayInput>,
    events: UnboundedSender<GatewayInput>,
}

/// The receiving ends for the control thread.
pub(super) struct GatewayInbox {
    pub(super) arrivals: Receiver<GatewayInput>,
    pub(super) events: UnboundedReceiver<GatewayInput>,
}

impl GatewayHandle {
    /// The requests that may wait for the control thread.
    const ARRIVAL_LIMIT: usize = 1_024;
    /// The time after which a caller may come back that a full control thread has refused.
    const OVERLOAD_MS: u64 = 500;

    pub(super) fn new() -> (Self, GatewayInbox) {
        let (arrivals, arrivals_out) = tokio::sync::mpsc::channel(Self::ARRIVAL_LIMIT);
        let (events, events_out) = tokio::sync::mpsc::unbounded_channel();
        (Self { arrivals, events }, GatewayInbox { arrivals: arrivals_out, events: events_out })
    }

    /// Sends an event.
    pub fn send(&self, event: GatewayEvent) {
        let _ = self.events.send(GatewayInput::Event(event));
    }

    /// Asks on behalf of another entry VM; no answer if the control thread has ended.
    pub async fn poll(&self, poll: RelayPoll) -> Option<RelayAnswer> {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let _ = self.events.send(GatewayInput::Poll(Box::new(poll), sender));
        receiver.await.ok()
    }

    /// Ends the control thread at once.
    pub fn halt(&self) {
        let _ = self.events.send(GatewayInput::Halt);
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the control thread is too far behind or has ended.
    pub fn arrive(&self, arrival: RoutedArrival, mailbox: GatewayMailbox) -> Result<(), Refusal> {
        let input = GatewayInput::Request(Box::new(arrival), mailbox);
        self.arrivals.try_send(input).map_err(|error| {
            let message = match error {
                TrySendError::Full(_) => "This entry VM is overloaded; send the request later.",
                TrySendError::Closed(_) => "This entry VM has ended; send the request again.",
            };
            Refusal::not_run(RefusalCode::Unavailable, message)
                .with_retry_after(Millis(Self::OVERLOAD_MS))
        })
    }
}
