//! Error responses in the format of the platform's callers.

use super::*;
use http::HeaderValue;

/// Returns the HTTP response for a refusal.
///
/// `Retry-After` has fractions of a second, which the platform's callers accept.
#[must_use]
pub fn refusal_response(refusal: &Refusal, request: RequestNumber) -> WebResponse {
    let mut response = reply::json(refusal.code.status(), &reply::refusal_body(refusal));
    let headers = response.headers_mut();
    headers.insert(reply::RUN_HEADER, HeaderValue::from_static(refusal.run.as_str()));
    reply::insert_text(headers, "guavapass-request", &request.to_string());
    if let Some(retry_after) = refusal.retry_after {
        let seconds = format!("{:.3}", retry_after.0 as f64 / 1_000.0);
        reply::insert_text(headers, "retry-after", &seconds);
    }
    response
}
