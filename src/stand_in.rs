//! In-process fakes ("stand-ins") of the platform, model engines, plain services and callers, used
//! only by `demo` and tests.
//!
//! Each server listens on a loopback port chosen by the system, runs on its own thread, stops when
//! it is dropped, and offers methods that inject faults.

use super::*;
use {
    base64::{Engine as _, prelude::BASE64_STANDARD as BASE64},
    bytes::Buf,
    futures_util::future::BoxFuture,
    http::{
        HeaderValue, Method, Request, Response, StatusCode,
        header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER},
    },
    http_body_util::{BodyExt, Empty, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::body::Frame,
    hyper_util::{
        client::legacy::Client,
        rt::{TokioExecutor, TokioIo},
    },
    std::{
        io,
        sync::{
            Mutex, MutexGuard, OnceLock, PoisonError, Weak,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        task::{Context, Poll, ready},
        thread::JoinHandle,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{TcpListener, TcpStream},
        sync::{Notify, mpsc, oneshot},
        task::JoinSet,
    },
};

mod answer_rater;
mod booking_stand_in;
mod call_outcome;
mod call_request;
mod caller_stand_in;
mod chat_request;
mod connection_faults;
mod core_cluster;
mod engine_run;
mod engine_setup;
mod engine_stand_in;
mod engine_state;
mod fault_switches;
mod faulty_stream;
mod load_history;
mod log_store;
mod member_list;
mod platform_stand_in;
mod prefix_cache;
mod reply;
mod run_counter;
mod server_host;
mod slot_queue;
mod weight_store;

use {
    chat_request::ChatRequest,
    connection_faults::ConnectionFaults,
    engine_state::EngineState,
    faulty_stream::FaultyStream,
    load_history::LoadHistory,
    prefix_cache::PrefixCache,
    reply::{Answer, ConnectionCut, ReplyBody},
    server_host::{HostCommand, HostState, HttpHandler},
    slot_queue::{SlotGuard, SlotQueue},
};

pub use {
    answer_rater::AnswerRater,
    booking_stand_in::BookingStandIn,
    call_outcome::CallOutcome,
    call_request::CallRequest,
    caller_stand_in::CallerStandIn,
    core_cluster::{CoreCluster, CoreFaults, CoreLog, CoreState, CoreVm, TrafficCounts},
    engine_setup::EngineSetup,
    engine_stand_in::EngineStandIn,
    fault_switches::{AnswerFault, FaultSwitches},
    log_store::LogStore,
    member_list::MemberList,
    platform_stand_in::PlatformStandIn,
    run_counter::RunCounter,
    server_host::ServerHost,
    weight_store::WeightStore,
};

/// Locks a mutex and ignores poisoning: the state it protects is valid even if a holder panicked.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
