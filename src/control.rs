//! The control core: makes every decision of an entry VM and does no input or output.
//!
//! [`Control::handle`] takes the current time and one [`Event`] and returns the [`Command`]s that
//! follow. It opens no socket, reads no system clock, starts no thread and uses no unseeded random
//! numbers, so tests and benchmarks drive the same code as the server.
//!
//! A request passes through these steps: it arrives ([`arrival`]), waits in the queue of its pool,
//! is dispatched to a backend server ([`dispatch`]), and each attempt ends with a whole answer or a
//! fault ([`attempt`]). Every attempt has to pass the check in `Control::may_start`.

use super::*;

mod arrival;
mod attempt;
mod bills;
mod cascade;
mod claim_batching;
mod claims;
mod cluster;
mod command;
mod configuration_fetch;
mod core;
mod decision;
mod dispatch;
mod event;
mod gate;
mod hedge;
mod load_state;
mod members;
mod operator_calls;
mod output_history;
mod peers;
mod pending_ratings;
mod placement;
mod platform_results;
mod policy_digest;
mod publish;
mod refusal;
mod reports;
mod request;
mod sessions;
mod shed;
mod shutdown;
mod status;
mod suspects;
mod tickets;
mod timers;
mod withdraw;

use {
    bills::BillingState,
    claims::ClaimState,
    gate::{GateStage, GatedArrival},
};

pub use {
    cluster::ClusterSettings,
    command::{AttemptStart, Command, ReleaseMode, RepeatRule},
    core::{Control, VmIdentity},
    decision::{RejectedCandidate, RouteDecision},
    event::{
        AnswerMode, Arrival, ArrivalSource, ArrivalTarget, AttemptFault, AttemptOutcome,
        AttemptReport, Event, TokenUsage,
    },
    operator_calls::{OperatorAnswer, OperatorRequest, PeerStatus, ServerStatus, VmStatus},
    policy_digest::PolicyDigest,
    refusal::{Refusal, RefusalCode},
    request::{AttemptProgress, AttemptState, RequestPhase, RequestState, RunState, WorkTarget},
    shutdown::ShutdownStage,
};

use {
    cluster::{ClusterState, WantedConfiguration},
    publish::PendingPublication,
    sessions::SessionWaits,
};
use {
    load_state::LoadState,
    output_history::OutputHistory,
    pending_ratings::PendingRatings,
    timers::{RequestTimers, TimerKind},
};
