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
        .filter(|server| wish.software.allows(&server.entry.software))
        .collect();
    let homes = PartHomes::of(&fit, wish.parts);
    let mean_fail =
        fit.iter().map(|server| server.fail_share).sum::<f64>() / fit.len().max(1) as f64;
    let cost = |server: &&&BackendServer| expected_cost(now, server, wish, &homes, mean_fail);
    let untried = |server: &&&BackendServer| !wish.tried.contains(&server.entry.id);
    let reachable = |server: &&&BackendServer| server.is_reachable(now);
    let best = fit
        .iter()
        .filter(untried)
        .filter(reachable)
        .min_by(|left, right| cost(left).total_cmp(&cost(right)));
    let server = best
        .or_else(|| fit.iter().filter(untried).min_by_key(|server| server.avoid_until))
        .or_else(|| {
            fit.iter().filter(reachable).min_by(|left, right| cost(left).total_cmp(&cost(right)))
        })?;
    Some(Place {
        server: server.entry.id.clone(),
        address: server.entry.address,
        software: server.entry.software.clone(),
        unread: unread_tokens(now, server, wish.parts, &homes),
        expected: Millis(expected_first(now, server, wish, &homes) as u64),
    })
}

/// The servers at which all VMs expect the last shared part of a prompt.
#[derive(Clone, Copy, Debug, Default)]
struct PartHomes<'a> {
    first: Option<&'a ServerId>,
    second: Option<&'a ServerId>,
}

impl<'a> PartHomes<'a> {
    /// The share of the shared parts that the second home is taken to have cached, if this VM has
    /// not sent them there: little, so that nobody leaves the first home for the second one sooner
    /// than for another server, but enough to choose it then.
    const SECOND_SHARE: f64 = 0.2;

    fn of(servers: &[&'a BackendServer], parts: &[PromptPart]) -> Self {
        let shared = parts.len().checked_sub(2).and_then(|last| parts.get(last));
        let Some(shared) = shared else { return Self::default() };
        let rank = |server: &BackendServer| {
            let own = xxh3_64(server.entry.id.as_str().as_bytes()).rotate_left(17);
            xxh3_64(&(own ^ shared.id.wrapping_mul(0x9E37_79B9_7F4A_7C15)).to_le_bytes())
        };
        let mut ranked: [Option<(u64, &'a ServerId)>; 2] = [None, None];
        for server in servers {
            let ranking = Some((rank(server), &server.entry.id));
            if ranking > ranked[0] {
                ranked = [ranking, ranked[0]];
            } else if ranking > ranked[1] {
                ranked[1] = ranking;
            }
        }
        let [first, second] = ranked.map(|ranking| ranking.map(|(_, server)| server));
        Self { first, second }
    }

    /// Returns the share of the shared parts that a server is taken to have cached.
    fn cached_share(&self, server: &ServerId) -> f64 {
        if self.first == Some(server) {
            1.0
        } else if self.second == Some(server) {
            Self::SECOND_SHARE
        } else {
            0.0
        }
    }
}

/// Returns the tokens of a prompt that a server has to read: those after the cached parts.
fn unread_tokens(
    now: Millis,
    server: &BackendServer,
    parts: &[PromptPart],
    homes: &PartHomes<'_>,
) -> f64 {
    let shared = parts.len().saturating_sub(1);
    let (shared, own) = parts.split_at(shared);
    let sum = |parts: &[PromptPart]| parts.iter().map(|part| part.tokens.0 as f64).sum::<f64>();
    let sent = shared.iter().take_while(|part| server.has_part(now, part.id)).count();
    let unsent = sum(&shared[sent..]);
    sum(own) + unsent * (1.0 - homes.cached_share(&server.entry.id))
}

fn expected_first(
    now: Millis,
    server: &BackendServer,
    wish: &PlaceWish<'_>,
    homes: &PartHomes<'_>,
) -> f64 {
    let unread = unread_tokens(now, server, wish.parts, homes);
    let requests = server.expected_requests(now);
    let waiting = server.expected_waiting(now);
    let slots = f64::from(server.entry.slots.max(1));
    let over = (requests - slots + 1.0).max(0.0).max(waiting);
    let reading = server.expected_backlog() + unread * wish.pace.token_ms;
    let work = reading + requests * wish.pace.neighbour_ms;
    (work + over * wish.pace.queue_ms) * server.slowdown(now)
}

fn expected_cost(
    now: Millis,
    server: &BackendServer,
    wish: &PlaceWish<'_>,
    homes: &PartHomes<'_>,
    mean_fail: f64,
) -> f64 {
    /// The time that a call to another data centre takes longer.
    const DISTANCE_MS: f64 = 3.0;
    /// What a request loses by a failure that could have been avoided.
    const FAILURE_MS: f64 = 2_000.0;
    /// How far a server's share of failures may lie above the mean by chance.
    const FAIL_SLACK: f64 = 0.12;
    /// What reading a prompt costs the requests behind it, as a share of the time that it takes: at
    /// least one request waits for it where servers are busy, and callers accept far longer times
    /// than one reading where they are not.
    const READING_WEIGHT: f64 = 1.0;
    /// Spreads requests over servers that are as good as each other.
    const TIE_MS: f64 = 1.0;
    let is_far = server.entry.data_centre != *wish.data_centre;
    let distance = if is_far { DISTANCE_MS } else { 0.0 };
    let reading = unread_tokens(now, server, wish.parts, homes) * wish.pace.token_ms;
    let delay = reading * READING_WEIGHT;
    let failing = (server.fail_share - mean_fail - FAIL_SLACK).max(0.0) * FAILURE_MS;
    let tie = wish.tie ^ xxh3_64(server.entry.id.as_str().as_bytes());
    let tie = (tie % 1_000) as f64 / 1_000.0 * TIE_MS;
    expected_first(now, server, wish, homes) + delay + distance + failing + tie
}
