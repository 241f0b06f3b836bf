//! Passes a request on to the entry VM that its idempotency key belongs to.

use super::{caller_request::CallerOrigin, *};
use http_body_util::{BodyExt, Full, Limited};

/// The path under which an entry VM takes requests that another one passes on.
pub const FORWARD_PATH: &str = "/guavapass/v1/forward";
const FORWARD_SIGNATURE: &str = "guavapass-forward";
const PURPOSE: &str = "guavapass forward";
const FORWARD_TIMEOUT_MS: u64 = 120_000;

/// Returns the other entry VM's answer; none if it cannot be had.
pub(super) async fn forward(
    client: &upstream::UpstreamClient,
    keys: &KeyRing,
    address: SocketAddr,
    request: &CallerRequest,
    limit: ByteSize,
) -> Option<WebResponse> {
    let exchange = async {
        let response = client.request(outgoing(keys, address, request)?).await.ok()?;
        let (head, body) = response.into_parts();
        head.headers.get("guavapass-request")?;
        let body = Limited::new(body, limit.0 as usize).collect().await.ok()?.to_bytes();
        let mut answer = reply::plain(head.status.as_u16(), body);
        *answer.headers_mut() = head.headers;
        reply::strip_hop_headers(answer.headers_mut());
        Some(answer)
    };
    tokio::time::timeout(Duration::from_millis(FORWARD_TIMEOUT_MS), exchange).await.ok()?
}

fn outgoing(
    keys: &KeyRing,
    address: SocketAddr,
    request: &CallerRequest,
) -> Option<http::Request<Full<Bytes>>> {
    let CallerOrigin { path, authorization } = &request.origin;
    let signature = hex::encode(keys.sign(PURPOSE, path.as_bytes())?);
    let mut outgoing = http::Request::builder()
        .method(request.method.clone())
        .uri(format!("http://{address}{FORWARD_PATH}{path}"))
        .body(Full::new(request.body.clone()))
        .ok()?;
    let headers = outgoing.headers_mut();
    *headers = request.headers.clone();
    headers.insert(FORWARD_SIGNATURE, http::HeaderValue::from_str(&signature).ok()?);
    if let Some(authorization) = authorization {
        headers.insert(http::header::AUTHORIZATION, authorization.clone());
    }
    Some(outgoing)
}

/// Returns the request as its caller sent it; none if no entry VM has passed it on.
pub(super) fn incoming(keys: &KeyRing, mut request: WebRequest) -> Option<WebRequest> {
    let path = request.uri().path_and_query()?.as_str().strip_prefix(FORWARD_PATH)?;
    let signature = hex::decode(request.headers().get(FORWARD_SIGNATURE)?).ok()?;
    if !keys.verify(PURPOSE, path.as_bytes(), &signature) {
        return None;
    }
    let uri = path.parse().ok()?;
    *request.uri_mut() = uri;
    request.headers_mut().remove(FORWARD_SIGNATURE);
    Some(request)
}
