//! Parses the headers of backend servers' responses.

use super::*;
use http::{HeaderMap, HeaderValue, header};
use request_headers::CALLER_ID;

const SIGNATURE: &str = "x-response-signature";
/// Set by a server that did not execute the request, so that it is safe to retry.
pub(super) const NOT_RUN: &str = "x-not-executed";
const LOAD: &str = "x-server-load";
const CONFIDENCE: &str = "x-confidence";
/// Set to `1` by a server that is shutting down and takes no new requests.
const LEAVING: &str = "server-leaving";
/// The requests per second that a server in need accepts from all VMs together.
const LIMIT: &str = "server-limit";
/// How many milliseconds longer a server is cold.
const COLD: &str = "x-cold-ms";
/// In a 503: the number of seconds for which the server wants no requests.
const RETRY_AFTER: &str = "retry-after";

/// The status and headers of a server's response, parsed.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerFacts {
    /// The part that the gateway's core uses: status, load and confidence.
    pub head: AnswerHead,
    /// The caller's id of the request, as repeated by the server.
    pub caller_id: Option<SmolStr>,
    /// Whether the response has a signature header; the signature is not verified.
    pub is_signed: bool,
    /// Why the server did not execute the request; none if it may have.
    pub not_run: Option<NotRunCause>,
    /// Whether the connection can be reused.
    pub keeps: bool,
    /// How long the server keeps an idle connection open, if it sent `Keep-Alive: timeout=N`.
    pub idle_limit: Option<Millis>,
    /// What the server reports about its own availability.
    pub hint: ServerHint,
}

/// Parses the status and headers of a server's response.
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
    let confidence =
        header_text(headers, CONFIDENCE).and_then(|value| value.trim().parse::<f64>().ok());
    AnswerFacts {
        head: AnswerHead {
            status,
            load: header_text(headers, LOAD).and_then(parse_load),
            confidence: confidence.map(|confidence| confidence.clamp(0.0, 100.0) as u8),
        },
        caller_id: header_text(headers, CALLER_ID).map(SmolStr::new),
        is_signed: headers.contains_key(SIGNATURE),
        not_run,
        keeps: !has_connection_close(headers),
        idle_limit: header_text(headers, "keep-alive").and_then(parse_idle_limit),
        hint,
    }
}

/// Parses a server's availability headers. A repeated or malformed header is ignored and listed as
/// unreadable.
fn read_hint(status: u16, headers: &HeaderMap) -> ServerHint {
    let mut hint = ServerHint::default();
    match single_value(headers, LEAVING) {
        Some("1") => hint.leaves = true,
        Some(_) => hint.unreadable.push(LEAVING),
        None => {}
    }
    if let Some(value) = single_value(headers, LIMIT) {
        if let Some(rate) = parse_decimal(value) {
            hint.limit = LimitStatement::Named(RequestsPerSecond(rate));
        } else {
            hint.limit = LimitStatement::Unreadable;
            hint.unreadable.push(LIMIT);
        }
    }
    if let Some(value) = single_value(headers, COLD) {
        match parse_decimal(value) {
            Some(left) if left > 0.0 => hint.cold = Some(Millis(left as u64)),
            Some(_) => {}
            None => hint.unreadable.push(COLD),
        }
    }
    // In other responses, Retry-After is addressed to the caller.
    if status == 503 {
        hint.backoff = single_value(headers, RETRY_AFTER).and_then(parse_seconds);
        if hint.backoff.is_none() && headers.contains_key(RETRY_AFTER) {
            hint.unreadable.push(RETRY_AFTER);
        }
    }
    hint
}

/// Returns a header's value, or an empty string if it is repeated or not printable ASCII.
fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?.to_str().unwrap_or_default();
    let is_repeated = values.next().is_some();
    Some(if is_repeated { "" } else { first.trim() })
}

fn parse_seconds(value: &str) -> Option<Millis> {
    Some(Millis((parse_decimal(value)? * 1_000.0) as u64))
}

/// Parses a decimal number; rejects signs, exponents, `NaN` and `inf`.
fn parse_decimal(value: &str) -> Option<f64> {
    let is_plain = value.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    value.parse().ok().filter(|_| is_plain)
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut names =
        values.filter_map(|value| value.to_str().ok()).flat_map(|value| value.split(','));
    names.any(|name| name.trim().eq_ignore_ascii_case("close"))
}

/// Parses "running, waiting, slots", followed on shared machines by the slowdown in percent.
fn parse_load(value: &str) -> Option<LoadSample> {
    let numbers: Vec<u32> = value
        .split(',')
        .map(|number| number.trim().parse::<f64>().ok().map(|number| number as u32))
        .collect::<Option<_>>()?;
    let [running, waiting, slots, rest @ ..] = numbers.as_slice() else { return None };
    let slowdown = rest.first().copied().unwrap_or(LoadSample::USUAL_SLOWDOWN);
    Some(LoadSample { running: *running, waiting: *waiting, slots: *slots, slowdown })
}

/// Parses the `timeout=N` parameter of `Keep-Alive`, in seconds.
fn parse_idle_limit(value: &str) -> Option<Millis> {
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse::<u64>().ok().map(|seconds| Millis(seconds * 1_000))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).map(HeaderValue::to_str)?.ok()
}
