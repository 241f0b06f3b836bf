//! Parses the headers of callers' requests and builds those sent to backend servers.

use super::*;
use answer_headers::NOT_RUN;
use http::{HeaderMap, HeaderValue, header};

/// The path of the readiness probe that the load balancer calls.
pub const READY_PATH: &str = "/-/readyz";

/// The caller's id of a request, which the response repeats.
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
/// The value of the model header with which a caller lets the router choose the model.
const ANY_MODEL: &str = "*";
/// The largest priority that backend servers accept.
const MAX_RANK: u8 = 9;

/// Headers that only the router may set; they are removed from callers' requests.
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

/// Why the headers of a request are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// A required header is missing.
    #[error("The header {name} is missing; send it.")]
    Missing {
        /// The name of the header.
        name: &'static str,
    },
    /// A header has a malformed value.
    #[error("The header {name} must be {expected}.")]
    Wrong {
        /// The name of the header.
        name: &'static str,
        /// The required format.
        expected: &'static str,
    },
}

/// Parses a caller's request.
///
/// # Errors
///
/// Returns an error for the first header that is missing or malformed.
pub fn read_arrival(
    request: RequestNumber,
    head: &http::request::Parts,
    body: &[u8],
) -> Result<RoutedArrival, HeadError> {
    let headers = &head.headers;
    let caller_id =
        header_text(headers, CALLER_ID)?.ok_or(HeadError::Missing { name: CALLER_ID })?;
    let host = head
        .uri
        .host()
        .or(header_text(headers, "host")?)
        .ok_or(HeadError::Missing { name: "host" })?;
    let key = header_text(headers, KEY)?;
    let target = head.uri.path_and_query().map_or("", http::uri::PathAndQuery::as_str);
    let fingerprint = RequestFingerprint::of(key, head.method.as_str(), target, body);
    let (prompt_tokens, output_limit) = match header_text(headers, TOKENS)? {
        Some(tokens) => parse_token_usage(tokens)?,
        None => (Tokens(0), Tokens(0)),
    };
    let parts = header_text(headers, PARTS)?.map_or(Ok(Vec::new()), parse_prompt_parts)?;
    Ok(RoutedArrival {
        request,
        caller_id: caller_id.into(),
        fingerprint,
        host: host.into(),
        path: head.uri.path().into(),
        key: key.map(SmolStr::new),
        deadline: header_number(headers, DEADLINE)?.map(Millis),
        session: header_text(headers, SESSION)?.map(SmolStr::new),
        any_model: header_text(headers, MODEL)? == Some(ANY_MODEL),
        prompt_tokens,
        output_limit,
        parts,
        last_event: header_number(headers, LAST_EVENT)?,
    })
}

/// Returns the headers to send to the backend server that runs a request.
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
        headers.insert(RANK, HeaderValue::from(u64::from(rank.min(MAX_RANK))));
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

/// Removes hop-by-hop headers, including those that `Connection` lists.
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

fn parse_token_usage(value: &str) -> Result<(Tokens, Tokens), HeadError> {
    let wrong = HeadError::Wrong { name: TOKENS, expected: "two whole numbers with a comma" };
    let (prompt, output) = value.split_once(',').ok_or(wrong.clone())?;
    let read = |number: &str| number.trim().parse().map(Tokens).map_err(|_| wrong.clone());
    Ok((read(prompt)?, read(output)?))
}

fn parse_prompt_parts(value: &str) -> Result<Vec<PromptPart>, HeadError> {
    let wrong = HeadError::Wrong { name: PARTS, expected: "a list of ID:TOKENS" };
    let read = |entry: &str| {
        let (id, tokens) = entry.trim().split_once(':').ok_or(wrong.clone())?;
        let tokens = tokens.parse().map(Tokens).map_err(|_| wrong.clone())?;
        Ok(PromptPart { id: parse_part_id(id), tokens })
    };
    value.split(',').filter(|entry| !entry.trim().is_empty()).map(read).collect()
}

/// Parses a hexadecimal id; letter case and leading zeros do not matter. An id that is no number of
/// 64 bits is hashed.
fn parse_part_id(id: &str) -> u64 {
    let id = id.trim_start_matches('0').to_ascii_lowercase();
    let is_hexadecimal = id.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u64::from_str_radix(&id, 16).ok().filter(|_| is_hexadecimal);
    number.unwrap_or_else(|| if id.is_empty() { 0 } else { xxh3_64(id.as_bytes()) })
}

fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, HeadError> {
    let wrong = |_| HeadError::Wrong { name, expected: "printable ASCII" };
    headers.get(name).map(HeaderValue::to_str).transpose().map_err(wrong)
}

fn header_number(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, HeadError> {
    let wrong = |_| HeadError::Wrong { name, expected: "a whole number" };
    header_text(headers, name)?.map(|value| value.trim().parse().map_err(wrong)).transpose()
}
