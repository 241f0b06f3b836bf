//! Backend servers: membership, load, latency and failures.
//!
//! [`ServerTable`] keeps the servers of each pool ordered by load, so that selecting one does not
//! scan the whole pool. [`PaceBook`] holds the pools' usual latencies, with which servers are
//! compared; [`AttemptBudget`] bounds hedges and retries. [`CrashBook`] detects requests that crash
//! the servers that run them.

use super::*;

mod attempt_budget;
mod crash_book;
mod crash_news;
mod news_log;
mod pace_book;
mod peer_share;
mod pool_servers;
mod quantile_estimate;
mod request_fingerprint;
mod server_choice;
mod server_state;
mod server_table;
mod suspect_table;

pub use {
    attempt_budget::AttemptBudget,
    crash_book::{CrashBook, ServerCrash},
    crash_news::{CrashNews, CrashReport},
    news_log::NewsLog,
    pace_book::{PaceBook, PaceKey},
    quantile_estimate::QuantileEstimate,
    request_fingerprint::RequestFingerprint,
    server_choice::StartWish,
    server_state::{ServerState, ServerTrouble},
    server_table::ServerTable,
    suspect_table::{CrashId, SuspectNotice, SuspectStanding, SuspectTable},
};
use {peer_share::PeerInFlight, pool_servers::PoolServers};
