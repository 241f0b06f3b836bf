//! The core of an entry VM that serves the routes which a platform publishes as hosts, paths and
//! pools.
//!
//! [`Gateway::handle`] takes the current time and one [`GatewayEvent`] and returns the resulting
//! [`GatewayCommand`]s. Like [`Control`] it opens no socket, reads no clock and starts no thread,
//! so that tests drive the code that ships. It persists nothing: the configuration, the list of
//! backend servers and the states of roll-outs are read from the platform's store, and everything
//! else is soft state.
//!
//! A request is admitted ([`admit`]) and sent to a server ([`send`]). Each run at a server
//! ([`runs`]) ends with an answer that is delivered, with an answer that is discarded in favour of
//! a larger model ([`escalation`]), or with a fault. After a fault the request is retried
//! ([`resend`]), waits for a server with a free slot ([`crowded`]) or is refused ([`finish`]). A
//! request that repeatedly crashes servers is quarantined ([`crashes`]). Servers may announce in
//! their answers that they are leaving or need a backoff ([`server_hints`]), or name a limit on the
//! requests of all VMs together ([`limits`], [`permits`]). [`store_access`]
//! decides whether this VM reads the store itself ([`reads`]) or through another VM ([`relay`]).
//! [`rollouts`] advances roll-outs. [`forecasts`] learns when answers begin and end. [`room`] decides
//! who waits or is turned away where a pool has too little room, and [`breaks`] what is done about
//! servers and data centres that fall silent. Operators may order that the servers of a data centre
//! get no more requests ([`zones`]).

use super::*;

mod admit;
mod answer_counts;
mod asked_issuer;
mod backend_server;
mod breaks;
mod crashes;
mod crowded;
mod escalation;
mod finish;
mod forecasts;
mod freshness_lease;
mod gateway_bounds;
mod gateway_command;
mod gateway_core;
mod gateway_document;
mod gateway_event;
mod held_sessions;
mod hub_support;
mod latency_histogram;
mod limit_message;
mod limit_statement;
mod limits;
mod load_sample;
mod outstanding_load;
mod peer_loads;
mod permit_issuer;
mod permit_issuing;
mod permit_stock;
mod permit_waits;
mod permits;
mod pool_latency_model;
mod probe_result;
mod reads;
mod record_cache;
mod record_store;
mod relay;
mod relay_answers;
mod relay_message;
mod relay_peers;
mod relay_start;
mod rendezvous_servers;
mod request_rate;
mod resend;
mod retry_budget;
mod rollout_order;
mod rollout_track;
mod rollouts;
mod room;
mod route_entry;
mod route_table;
mod routed_arrival;
mod routed_request;
mod run_order;
mod run_report;
mod runs;
mod send;
mod server_entry;
mod server_estimate;
mod server_hint;
mod server_hints;
mod server_limit;
mod server_registry;
mod server_selection;
mod session_versions;
mod sessions;
mod store_access;
mod store_error;
mod store_feed;
mod store_record;
mod sync_positions;
mod team_keys;
mod team_shares;
mod version_latencies;
mod zones;

pub use {
    answer_counts::AnswerCounts,
    backend_server::BackendServer,
    escalation::{EscalationInputs, MeanWork, PoolPressure},
    forecasts::{
        AnswerForecast, ForecastError, ModelForecast, PromptPace, ServerSpeed, StreamPace,
    },
    freshness_lease::FreshnessLease,
    gateway_bounds::GatewayBounds,
    gateway_command::GatewayCommand,
    gateway_core::Gateway,
    gateway_document::GatewayDocument,
    gateway_event::GatewayEvent,
    held_sessions::{HeldSessionUpdate, HeldSessions},
    hub_support::HubSupport,
    latency_histogram::{LatencyHistogram, LatencyMeasure, WorkKind},
    limit_message::{LimitQuery, LimitReply, LimitReport, PermitDemand, PermitGrant},
    limit_statement::LimitStatement,
    load_sample::{DatedLoad, LoadSample},
    outstanding_load::{LoadTotals, OutstandingLoad, ServerTag},
    peer_loads::PeerLoads,
    permit_stock::PermitStock,
    pool_latency_model::PoolLatencyModel,
    probe_result::ProbeResult,
    record_cache::{RecordCache, StreamRecord},
    record_store::RecordStore,
    relay_message::{FeedAge, PeerCard, PollPurpose, RelayAnswer, RelayPoll},
    relay_peers::RelayPeers,
    retry_budget::RetryBudget,
    rollout_order::{EvidenceRecord, RolloutOrder, RolloutRecord, RolloutState},
    rollout_track::{RolloutTrack, VersionSide},
    room::{Bid, PoolRoom, RoomCounts, RoomDecision},
    route_entry::{PoolWeight, RouteEntry, RouteKind},
    route_table::RouteTable,
    routed_arrival::{PromptPart, RoutedArrival},
    routed_request::{RoutedRequest, RunRecord, RunStage},
    run_order::RunOrder,
    run_report::{AnswerHead, NotRunCause, RunOutcome, RunReport},
    server_entry::{ServerChange, ServerEntry},
    server_hint::{ServerHint, ServerStart},
    server_limit::ServerLimit,
    server_registry::{ServerRegistry, ServerUpdate},
    server_selection::{SelectedServer, ServerCriteria, SoftwareRule, select_server},
    session_versions::SessionVersions,
    store_error::StoreError,
    store_feed::{FeedAnswer, FeedProgress, FeedRead, StoreFeed},
    store_record::{NewestPage, StorePage, StoreRecord, StoreStream},
    team_keys::{KeyHolder, TeamKeys},
    version_latencies::{LatencyComparison, VersionLatencies},
    zones::{ColdReport, ColdStart, EvacuatedCentres, EvacuationOrder, ServerWarmth},
};

use {
    asked_issuer::AskedIssuer,
    breaks::{CentreReach, ServerProgress, StartWait},
    crashes::CrashWatch,
    crowded::FullPoolQueue,
    limits::LimitState,
    permit_issuer::PermitIssuer,
    relay::RelayState,
    relay_answers::WaitingPoll,
    relay_start::RelayStart,
    rendezvous_servers::RendezvousServers,
    request_rate::RequestRate,
    room::RetryPurpose,
    server_estimate::ServerEstimate,
    store_access::{StoreAccess, StoreUse},
    sync_positions::SyncPositions,
    team_shares::TeamShares,
    zones::EvacuationReads,
};
