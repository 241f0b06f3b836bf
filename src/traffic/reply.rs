//! Responses that guavapass generates itself.

use super::*;
use http::{HeaderValue, header};

/// Returns a response with a JSON body.
pub(crate) fn json(status: u16, body: &impl Serialize) -> WebResponse {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = plain(status, bytes);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns a response with a body and without a content type.
pub(crate) fn plain(status: u16, body: impl Into<Bytes>) -> WebResponse {
    let mut response = http::Response::new(ResponseBody::bytes(body.into()));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Returns the JSON body of a refusal.
pub(crate) fn refusal_body(refusal: &Refusal) -> serde_json::Value {
    let mut error = serde_json::json!({
        "code": refusal.code.as_str(),
        "message": refusal.message,
    });
    if let Some(retry_after) = refusal.retry_after {
        error["retry_after_ms"] = retry_after.0.into();
    }
    serde_json::json!({ "error": error })
}

/// Returns the response of a refusal. The connection is closed if the request body may not have
/// been read completely.
pub(crate) fn refusal(refusal: &Refusal, request: &RequestId) -> WebResponse {
    let mut response = json(refusal.code.status(), &refusal_body(refusal));
    let headers = response.headers_mut();
    headers.insert(RUN_HEADER, HeaderValue::from_static(refusal.run.as_str()));
    insert_text(headers, "guavapass-request", &request.to_string());
    if let Some(retry_after) = refusal.retry_after {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(retry_after.0.div_ceil(1_000)));
    }
    if matches!(refusal.code, RefusalCode::TooLarge | RefusalCode::Timeout) {
        headers.insert(header::CONNECTION, CLOSE);
    }
    response
}

/// Inserts a header; does nothing if the text is not a valid header value.
pub(crate) fn insert_text(headers: &mut http::HeaderMap, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

/// The value of the header `Connection` that ends a connection after the response.
pub(crate) const CLOSE: HeaderValue = HeaderValue::from_static("close");
/// The header that states whether a request has run. Only guavapass sets it, never a server.
pub(crate) const RUN_HEADER: &str = "guavapass-run";

/// Removes the hop-by-hop headers, and the length, which is set anew for each connection.
pub(crate) fn strip_hop_headers(headers: &mut http::HeaderMap) {
    const HOP_HEADERS: [header::HeaderName; 7] = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        header::UPGRADE,
        header::TE,
        header::TRAILER,
        header::PROXY_AUTHENTICATE,
    ];
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
