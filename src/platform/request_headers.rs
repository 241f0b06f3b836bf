//! The headers of callers' requests, and those that backend servers get.

use super::*;
use answer_headers::NOT_RUN;
use http::{HeaderMap, HeaderValue, header};

/// The path at which the balancer asks whether this VM takes new work.
pub const READY_PATH: &str = "/-/readyz";

/// The caller's id of a request, which its answer repeats.
pub(super) const CALLER_ID: &str = "x-attempt-id";
const DEADLINE: &str = "x-deadline-ms";
const KEY: &str = "api-key";
const SESSION: &str = "session";
const LAST_EVENT: &str = "last-event-id";
const MODEL: &str = "x-model";
const TOKENS: &str = "x-token-usage";
const PARTS: &str = "x-prompt-prefix";
const SERVER: &str = "x-target-instance";
const TEAM: &str = "x-tenant";
const RANK: &str = "x-request-priority";
/// What a caller sends as its model where the router is to choose one.
const ANY_MODEL: &str = "*";
/// The last rank that servers know.
const LAST_RANK: u8 = 9;

/// Headers that only the router may set; what a caller sends under these names is dropped.
const RESERVED: [&str; 11] = [
    KEY,
    SERVER,
    TEAM,
    RANK,
    "x-expected-version",
    "x-hold",
    "x-pin-ms",
    "x-kv-backup",
    "kv-from",
    "kv-fetch",
    NOT_RUN,
];

/// Why the head of a request cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// A header is missing.
    #[error("The header {name} is missing; send it.")]
    Missing {
        /// The header.
        name: &'static str,
    },
    /// A header cannot be read.
    #[error("The header {name} must be {expected}.")]
    Wrong {
        /// The header.
        name: &'static str,
        /// What it must be.
        expected: &'static str,
    },
}

/// Reads a caller's request.
///
/// # Errors
///
/// Returns the first header that cannot be used.
pub fn read_arrival(
    request: RequestNumber,
    head: &http::request::Parts,
    body: &[u8],
) -> Result<RoutedArrival, HeadError> {
    let headers = &head.headers;
    let caller_id = text(headers, CALLER_ID)?.ok_or(HeadError::Missing { name: CALLER_ID })?;
    let host =
        head.uri.host().or(text(headers, "host")?).ok_or(HeadError::Missing { name: "host" })?;
    let key = text(headers, KEY)?;
    let target = head.uri.path_and_query().map_or("", http::uri::PathAndQuery::as_str);
    let fingerprint = RequestFingerprint::of(key, head.method.as_str(), target, body);
    let (prompt_tokens, output_limit) = match text(headers, TOKENS)? {
        Some(tokens) => token_usage(tokens)?,
        None => (Tokens(0), Tokens(0)),
    };
    let parts = text(headers, PARTS)?.map_or(Ok(Vec::new()), prompt_parts)?;
    Ok(RoutedArrival {
        request,
        caller_id: caller_id.into(),
        fingerprint,
        host: host.into(),
        path: head.uri.path().into(),
        key: key.map(SmolStr::new),
        deadline: number(headers, DEADLINE)?.map(Millis),
        session: text(headers, SESSION)?.map(SmolStr::new),
        any_model: text(headers, MODEL)? == Some(ANY_MODEL),
        prompt_tokens,
        output_limit,
        parts,
        last_event: number(headers, LAST_EVENT)?,
    })
}

/// Returns the headers of a run for its backend server.
#[must_use]
pub fn run_headers(caller: &HeaderMap, order: &RunOrder) -> HeaderMap {
    let mut headers = caller.clone();
    strip_connection_headers(&mut headers);
    for name in RESERVED {
        headers.remove(name);
    }
    headers.insert(DEADLINE, HeaderValue::from(order.time_left.0));
    insert(&mut headers, SERVER, order.server.as_str());
    if let Some(team) = &order.team {
        insert(&mut headers, TEAM, team.as_str());
    }
    if let Some(model) = &order.model {
        insert(&mut headers, MODEL, model.as_str());
    }
    if let Some(rank) = order.rank {
        headers.insert(RANK, HeaderValue::from(u64::from(rank.min(LAST_RANK))));
    }
    if let Some(event) = order.after_event {
        headers.insert(LAST_EVENT, HeaderValue::from(event));
    }
    headers
}

fn insert(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Removes the headers that concern one connection only, those that `Connection` names included.
fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| name != CALLER_ID)
        .collect();
    for name in named {
        headers.remove(name);
    }
    reply::strip_hop_headers(headers);
    headers.remove(header::EXPECT);
}

fn token_usage(value: &str) -> Result<(Tokens, Tokens), HeadError> {
    let wrong = HeadError::Wrong { name: TOKENS, expected: "two whole numbers with a comma" };
    let (prompt, output) = value.split_once(',').ok_or(wrong.clone())?;
    let read = |number: &str| number.trim().parse().map(Tokens).map_err(|_| wrong.clone());
    Ok((read(prompt)?, read(output)?))
}

fn prompt_parts(value: &str) -> Result<Vec<PromptPart>, HeadError> {
    let wrong = HeadError::Wrong { name: PARTS, expected: "a list of ID:TOKENS" };
    let read = |entry: &str| {
        let (id, tokens) = entry.trim().split_once(':').ok_or(wrong.clone())?;
        let tokens = tokens.parse().map(Tokens).map_err(|_| wrong.clone())?;
        Ok(PromptPart { id: xxh3_64(id.as_bytes()), tokens })
    };
    value.split(',').filter(|entry| !entry.trim().is_empty()).map(read).collect()
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, HeadError> {
    let wrong = |_| HeadError::Wrong { name, expected: "printable ASCII" };
    headers.get(name).map(HeaderValue::to_str).transpose().map_err(wrong)
}

fn number(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, HeadError> {
    let wrong = |_| HeadError::Wrong { name, expected: "a whole number" };
    text(headers, name)?.map(|value| value.trim().parse().map_err(wrong)).transpose()
}
