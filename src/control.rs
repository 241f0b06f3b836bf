//! The control core: makes every decision of an entry VM and does no input or output.
//!
//! [`Control::handle`] takes the current time and one [`Event`] and returns the [`Command`]s that
//! follow. It opens no socket, reads no system clock, starts no thread and uses no unseeded random
//! numbers, so tests and benchmarks drive the same code as the server.
//!
//! A request passes through these steps: it arrives ([`arrive`]), waits in the queue of its pool,
//! is dispatched to a backend server ([`dispatch`]), and each attempt ends with a whole answer or a
//! fault ([`attempt`]). Every attempt has to pass the check in `Control::may_start`.

use super::*;

mod arrive;
mod attempt;
mod bills;
mod cascade;
mod claims;
mod cluster;
mod command;
mod core;
mod decision;
mod dispatch;
mod event;
mod gate;
mod gather;
mod hedge;
mod learn;
mod load_state;
mod members;
mod operate;
mod output_history;
mod peers;
mod placement;
mod policy_digest;
mod publish;
mod rating_desk;
mod refusal;
mod request;
mod sessions;
mod shares;
mod shed;
mod shutdown;
mod spread;
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
    operate::{OperatorAnswer, OperatorRequest, PeerStatus, ServerStatus, VmStatus},
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
    rating_desk::PendingRatings,
    timers::{RequestTimers, TimerKind},
};
