//! The HTTP traffic: requests of callers and answers of backend servers.
//!
//! A [`CallerDesk`] reads a request, reports it to the control thread and carries out the
//! directives that come back. Each attempt is a separate task ([`upstream`]) that passes the answer
//! on through a small bounded channel. This applies backpressure to the backend server when the
//! caller is slow, and cancels the attempt when the caller disconnects.

use super::*;

mod answer_body;
mod answer_shelf;
mod answer_store;
mod attempt_event;
mod caller_desk;
mod caller_listener;
mod caller_request;
mod event_framer;
mod exchange;
mod exchange_count;
mod forward;
mod gateway_desk;
mod gateway_exchange;
mod operator_desk;
mod peer_desk;
mod progress_limit;
pub(crate) mod reply;
mod server_connections;
mod server_probe;
mod server_run;
mod sse_scanner;
mod stream_order;
mod upstream;

pub use {
    answer_shelf::AnswerShelf,
    answer_store::{AnswerStore, StoredAnswer},
    caller_desk::CallerDesk,
    caller_listener::{CallerConnection, CallerListener, ConnectionTable},
    event_framer::{EventFramer, FramedEvent},
    exchange_count::ExchangeCount,
    forward::FORWARD_PATH,
    gateway_desk::{GatewayDesk, GatewayFlags, GatewayShared, RELAY_PATH, RoutedCall},
    operator_desk::{OPERATOR_PATH, OperatorDesk},
    peer_desk::{PEER_PATH, PeerDesk},
    server_probe::probe_server,
    sse_scanner::SseScanner,
    stream_order::{EventPlace, StreamOrder},
};

use {
    answer_body::AnswerBody,
    attempt_event::AttemptEvent,
    caller_desk::{DeskShared, read_body},
    caller_request::{CallerRequest, RequestError},
    exchange::CallerExchange,
    exchange_count::CountedBody,
    gateway_exchange::GatewayExchange,
    progress_limit::{ProgressAllowance, ProgressLimited},
    server_connections::ServerConnection,
    server_run::{AnswerPart, ServerRun},
};

/// A request as received from xitca-web.
pub type WebRequest = http::Request<RequestExt<RequestBody>>;
/// A response as returned to xitca-web.
pub type WebResponse = http::Response<ResponseBody>;
