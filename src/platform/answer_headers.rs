//! The headers of backend servers' answers.

use super::*;
use http::{HeaderMap, HeaderValue, header};
use request_headers::CALLER_ID;

const SIGNATURE: &str = "x-response-signature";
/// Says that a server did not run a request.
pub(super) const NOT_RUN: &str = "x-not-executed";
const LOAD: &str = "x-server-load";
const CONFIDENCE: &str = "x-confidence";
/// Says that a server takes no new work.
const LEAVING: &str = "server-leaving";
/// Says in the 503 of a server for how long it wants nothing.
const RETRY_AFTER: &str = "retry-after";

/// What the head of a server's answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerFacts {
    /// What the core is told.
    pub head: AnswerHead,
    /// The caller's id of the request that the answer belongs to.
    pub caller_id: Option<SmolStr>,
    /// Whether the server has signed the answer.
    pub is_signed: bool,
    /// Why the server has not run the request, if it says so.
    pub not_run: Option<NotRunCause>,
    /// Whether the connection may be used again.
    pub keeps: bool,
    /// The time for which the server keeps an idle connection.
    pub idle_limit: Option<Millis>,
    /// What the server says of itself.
    pub hint: ServerHint,
}

/// Reads the head of a server's answer.
#[must_use]
pub fn read_answer(status: http::StatusCode, headers: &HeaderMap) -> AnswerFacts {
    let status = status.as_u16();
    let says_not_run = headers.contains_key(NOT_RUN) || status == 421;
    let not_run = says_not_run.then_some(match status {
        421 => NotRunCause::Misdirected,
        400 => NotRunCause::Rejected,
        _ => NotRunCause::Full,
    });
    let hint = read_hint(status, headers);
    let confidence = text(headers, CONFIDENCE).and_then(|value| value.trim().parse::<f64>().ok());
    AnswerFacts {
        head: AnswerHead {
            status,
            load: text(headers, LOAD).and_then(load),
            confidence: confidence.map(|confidence| confidence.clamp(0.0, 100.0) as u8),
        },
        caller_id: text(headers, CALLER_ID).map(SmolStr::new),
        is_signed: headers.contains_key(SIGNATURE),
        not_run,
        keeps: !closes(headers),
        idle_limit: text(headers, "keep-alive").and_then(idle_limit),
        hint,
    }
}

/// Reads what a server says of itself. A header that is doubled or cannot be read says nothing.
fn read_hint(status: u16, headers: &HeaderMap) -> ServerHint {
    let mut hint = ServerHint::default();
    match single(headers, LEAVING) {
        Some("1") => hint.leaves = true,
        Some(_) => hint.unreadable.push(LEAVING),
        None => {}
    }
    // In other answers this header is the caller's to read.
    if status == 503 {
        hint.backoff = single(headers, RETRY_AFTER).and_then(seconds);
        if hint.backoff.is_none() && headers.contains_key(RETRY_AFTER) {
            hint.unreadable.push(RETRY_AFTER);
        }
    }
    hint
}

/// Returns a header's value, without a text if it is doubled or not printable.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?.to_str().unwrap_or_default();
    let is_doubled = values.next().is_some();
    Some(if is_doubled { "" } else { first.trim() })
}

/// Reads a number of seconds with or without a fraction.
fn seconds(value: &str) -> Option<Millis> {
    let is_plain = value.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds = value.parse::<f64>().ok().filter(|_| is_plain)?;
    Some(Millis((seconds * 1_000.0) as u64))
}

fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut names =
        values.filter_map(|value| value.to_str().ok()).flat_map(|value| value.split(','));
    names.any(|name| name.trim().eq_ignore_ascii_case("close"))
}

/// Reads "running, waiting, slots" and, on shared machines, the slowdown in percent.
fn load(value: &str) -> Option<LoadSample> {
    let numbers: Vec<u32> = value
        .split(',')
        .map(|number| number.trim().parse::<f64>().ok().map(|number| number as u32))
        .collect::<Option<_>>()?;
    let [running, waiting, slots, rest @ ..] = numbers.as_slice() else { return None };
    let slowdown = rest.first().copied().unwrap_or(LoadSample::USUAL_SLOWDOWN);
    Some(LoadSample { running: *running, waiting: *waiting, slots: *slots, slowdown })
}

/// Reads the seconds of `timeout=N`.
fn idle_limit(value: &str) -> Option<Millis> {
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse::<u64>().ok().map(|seconds| Millis(seconds * 1_000))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).map(HeaderValue::to_str)?.ok()
}
