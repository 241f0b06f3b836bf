//! The choice of a backend server for one run.
//!
//! Every VM expects a shared part of a prompt to be cached at its home, the server that ranks first
//! for the part by rendezvous hashing, so that VMs need not communicate. A request goes where its
//! first event is expected soonest: to the home unless that is much busier than other servers,
//! otherwise to a server that has to process the part again. Of these, all VMs prefer the server
//! that ranks second, so that a part that one VM had processed there is cached for the others too.
//!
//! This handles more requests for one part than its home can serve. If each VM chose another server
//! by itself, each would have the part processed again, which would use up the pool's capacity.

use super::*;

/// The software versions that a run may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SoftwareRule {
    /// Any version.
    Any,
    /// Only this version.
    Only(SmolStr),
    /// Any version but this one.
    Not(SmolStr),
}

impl SoftwareRule {
    /// Returns whether the rule permits a version.
    #[must_use]
    pub fn allows(&self, software: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == software,
            Self::Not(not) => not != software,
        }
    }
}

/// The criteria for the choice of a server.
#[derive(Clone, Debug)]
pub struct ServerCriteria<'a> {
    /// The pool.
    pub pool: &'a PoolId,
    /// The permitted software versions.
    pub software: &'a SoftwareRule,
    /// The servers that have had the request; they are chosen only if there is no other.
    pub tried: &'a [ServerId],
    /// The data centre of this VM.
    pub data_centre: &'a DataCentreId,
    /// The parts of the prompt; empty for a plain service.
    pub parts: &'a [PromptPart],
    /// The speed of the pool's servers.
    pub pace: PoolLatencyModel,
    /// Whether servers that have named a request limit may be used.
    pub may_use_limited: bool,
    /// A number that differs between requests, to break ties.
    pub tie: u64,
}

/// The server chosen for a run, with estimates.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectedServer {
    /// The server.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// The version of its software.
    pub software: SmolStr,
    /// The estimated prompt tokens that it has to process because they are not cached.
    pub unread: f64,
    /// The estimated time to the first event.
    pub expected: Millis,
}

/// Returns the server with the lowest cost. Prefers servers that the request has not tried and that
/// are reachable, then untried ones that are being avoided, then tried ones. None if no server of
/// the pool is open, accepts requests of this VM and runs a permitted version.
#[must_use]
pub fn select_server(
    now: Millis,
    book: &ServerRegistry,
    wish: &ServerCriteria<'_>,
) -> Option<SelectedServer> {
    let fit: Vec<&BackendServer> = book
        .open(wish.pool)
        .filter(|server| {
            let is_permitted = wish.may_use_limited || server.permit_rate().is_none();
            wish.software.allows(&server.entry.software) && server.accepts(now) && is_permitted
        })
        .collect();
    let subject = wish.parts.iter().rev().nth(1).or(wish.parts.last());
    let fit = book.without_left(now, fit, subject.map_or(wish.tie, |part| part.id));
    let homes = RendezvousServers::of(&home_candidates(&fit), wish.parts);
    let mean_failure_rate =
        fit.iter().map(|server| server.failure_rate).sum::<f64>() / fit.len().max(1) as f64;
    let estimates: Vec<ServerEstimate<'_>> = fit
        .iter()
        .map(|server| ServerEstimate::of(now, server, wish, &homes, mean_failure_rate))
        .collect();
    let untried =
        || estimates.iter().filter(|estimate| !wish.tried.contains(&estimate.server.entry.id));
    let is_reachable = |estimate: &&ServerEstimate<'_>| estimate.server.is_reachable(now);
    let best = ServerEstimate::cheapest(untried().filter(is_reachable))
        .or_else(|| untried().min_by_key(|estimate| estimate.server.avoid_until))
        .or_else(|| ServerEstimate::cheapest(estimates.iter().filter(is_reachable)))?;
    Some(best.place())
}

/// Returns the servers that may be the home of prompt parts: those without a request limit, unless
/// all have one. A home gets all requests for its parts, which is what a limit forbids.
fn home_candidates<'a>(fit: &[&'a BackendServer]) -> Vec<&'a BackendServer> {
    let unlimited = fit.iter().copied().filter(|server| server.permit_rate().is_none());
    let unlimited: Vec<&BackendServer> = unlimited.collect();
    if unlimited.is_empty() { fit.to_vec() } else { unlimited }
}
