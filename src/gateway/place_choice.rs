//! The choice of a backend server for one run.
//!
//! Every VM expects a shared part of a prompt to be cached at its home, the server that ranks first
//! for the part by rendezvous hashing, without a word between VMs. A request goes where its first
//! event is expected soonest: at the home if that is not much busier than others, else at a server
//! that has to read the part again. Of these the one that ranks second is the first choice of all
//! VMs, so that what one of them had it read serves the others too.
//!
//! The load pattern that this answers: more requests for one part than its home can serve. If each
//! VM left the home for a server of its own choice, each would have the part read again, and the
//! reading would take the time that the pool lacks.

use super::*;

/// The software that a run may use.
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
    /// Returns whether the rule lets a version be used.
    #[must_use]
    pub fn allows(&self, software: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == software,
            Self::Not(not) => not != software,
        }
    }
}

/// What a run wants of a server.
#[derive(Clone, Debug)]
pub struct PlaceWish<'a> {
    /// The pool.
    pub pool: &'a PoolId,
    /// The software that may be used.
    pub software: &'a SoftwareRule,
    /// The servers that have had the request.
    pub tried: &'a [ServerId],
    /// The data centre of this VM.
    pub data_centre: &'a DataCentreId,
    /// The parts of the prompt; none for a plain service.
    pub parts: &'a [PromptPart],
    /// The pace of the pool.
    pub pace: PoolPace,
    /// A number that differs between requests, to break ties.
    pub tie: u64,
}

/// The server for a run, and what is expected of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The server.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// The version of its software.
    pub software: SmolStr,
    /// The tokens that it has to read.
    pub unread: f64,
    /// The time to the first event.
    pub expected: Millis,
}

/// Returns the server that is expected to answer first.
#[must_use]
pub fn choose_place(now: Millis, book: &ServerBook, wish: &PlaceWish<'_>) -> Option<Place> {
    let fit: Vec<&BackendServer> = book
        .open(wish.pool)
        .filter(|server| {
            wish.software.allows(&server.entry.software) && server.backoff(now).is_none()
        })
        .collect();
    let homes = PartHomes::of(&fit, wish.parts);
    let mean_fail =
        fit.iter().map(|server| server.fail_share).sum::<f64>() / fit.len().max(1) as f64;
    let estimates: Vec<PlaceEstimate<'_>> =
        fit.iter().map(|server| PlaceEstimate::of(now, server, wish, &homes, mean_fail)).collect();
    let untried =
        || estimates.iter().filter(|estimate| !wish.tried.contains(&estimate.server.entry.id));
    let is_reachable = |estimate: &&PlaceEstimate<'_>| estimate.server.is_reachable(now);
    let best = PlaceEstimate::cheapest(untried().filter(is_reachable))
        .or_else(|| untried().min_by_key(|estimate| estimate.server.avoid_until))
        .or_else(|| PlaceEstimate::cheapest(estimates.iter().filter(is_reachable)))?;
    Some(best.place())
}
