//! Backend servers: membership, load, latency and failures.
//!
//! [`ServerTable`] keeps the servers of each pool ordered by load, so that selecting one does not
//! scan the whole pool. [`LatencyTracker`] holds the pools' usual latencies, with which servers are
//! compared; [`AttemptBudget`] bounds hedges and retries. [`CrashTracker`] detects requests, and
//! parts of prompts, that crash the servers that run them.

use super::*;

mod attempt_budget;
mod crash_entry;
mod crash_subject;
mod crash_tracker;
mod crash_update;
mod crash_verdict;
mod event_log;
mod latency_tracker;
mod peer_in_flight;
mod pool_servers;
mod quantile_estimate;
mod request_fingerprint;
mod server_choice;
mod server_crash;
mod server_state;
mod server_table;
mod shared_crashes;
mod suspect_table;

pub use {
    attempt_budget::AttemptBudget,
    crash_subject::CrashSubject,
    crash_tracker::{CrashQuarantine, CrashTracker},
    crash_update::{CrashReport, CrashUpdate},
    event_log::EventLog,
    latency_tracker::{LatencyKey, LatencyTracker},
    quantile_estimate::QuantileEstimate,
    request_fingerprint::RequestFingerprint,
    server_choice::ServerRequirements,
    server_crash::ServerCrash,
    server_state::{ServerFailure, ServerState},
    server_table::ServerTable,
    suspect_table::{CrashId, SuspectNotice, SuspectStatus, SuspectTable},
};
use {
    crash_entry::{AnswerWeight, CrashEntry},
    crash_verdict::CrashVerdict,
    peer_in_flight::PeerInFlight,
    pool_servers::PoolServers,
    shared_crashes::SharedCrashes,
};
