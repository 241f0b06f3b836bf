//! The HTTP traffic: requests of callers and answers of backend servers.
//!
//! A [`CallerHandler`] reads a request, reports it to the control thread and carries out the
//! directives that come back. Each attempt is a separate task ([`upstream`]) that passes the answer
//! on through a small bounded channel. This applies backpressure to the backend server when the
//! caller is slow, and cancels the attempt when the caller disconnects.

use super::*;

mod answer_body;
mod answer_store;
mod attempt_event;
mod byte_budget;
mod caller_handler;
mod caller_listener;
mod caller_request;
mod event_framer;
mod event_sequence;
mod exchange;
mod exchange_count;
mod forward;
mod gateway_exchange;
mod gateway_handler;
mod held_bytes;
mod internal_listener;
mod operator_handler;
mod peer_handler;
mod progress_limit;
mod rating_text_cache;
mod readers;
pub(crate) mod reply;
mod server_connections;
mod server_probe;
mod server_run;
mod sse_scanner;
mod upstream;

pub use {
    answer_store::{AnswerStore, StoredAnswer},
    byte_budget::{BudgetExceeded, ByteBudget, ByteReservation},
    caller_handler::CallerHandler,
    caller_listener::{CallerConnection, CallerListener, ConnectionTable, OpenRequest},
    event_framer::{EventFramer, FramedEvent},
    event_sequence::{EventPosition, EventSequence},
    exchange_count::ExchangeCount,
    forward::FORWARD_PATH,
    gateway_handler::{
        BodyLimits, GatewayFlags, GatewayHandler, GatewayShared, RELAY_PATH, RoutedCall,
    },
    held_bytes::{CollectError, HeldBuffer, HeldBytes},
    internal_listener::InternalListener,
    operator_handler::{OPERATOR_PATH, OperatorHandler},
    peer_handler::{PEER_PATH, PeerHandler},
    rating_text_cache::RatingTextCache,
    readers::{LossCause, PassVerdict, ReaderBounds, ReaderTable, ReaderView},
    server_probe::probe_server,
    sse_scanner::SseScanner,
};

use {
    answer_body::AnswerBody,
    attempt_event::AttemptEvent,
    caller_handler::{CallerShared, check_complete, declared_length, read_body},
    caller_request::{CallerRequest, RequestError},
    exchange::CallerExchange,
    exchange_count::CountedBody,
    gateway_exchange::GatewayExchange,
    held_bytes::HeldBody,
    progress_limit::{ProgressAllowance, ProgressLimited},
    readers::{OpenReader, PassFault, QueueReceiver, QueueSender, QueuedPart, queue},
    server_connections::ServerConnection,
    server_run::{AnswerPart, ServerRun},
};

/// A request as received from xitca-web.
pub type WebRequest = http::Request<RequestExt<RequestBody>>;
/// A response as returned to xitca-web.
pub type WebResponse = http::Response<ResponseBody>;
