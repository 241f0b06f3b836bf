//! Forwards a request to the entry VM that owns its idempotency key.

use super::{caller_request::CallerOrigin, *};
use http_body_util::Full;

/// The path prefix under which an entry VM accepts forwarded requests; the original path follows.
pub const FORWARD_PATH: &str = "/guavapass/v1/forward";
const FORWARD_SIGNATURE: &str = "guavapass-forward";
const PURPOSE: &str = "guavapass forward";
const FORWARD_TIMEOUT_MS: u64 = 120_000;

/// Forwards a request and returns the answer; `None` if there is no complete answer in time.
pub(super) async fn forward(
    client: &upstream::UpstreamClient,
    keys: &KeyRing,
    address: SocketAddr,
    request: &CallerRequest,
    limit: ByteSize,
    reader: &Arc<OpenReader>,
) -> Option<WebResponse> {
    let exchange = async {
        let response = client.request(outgoing(keys, address, request)?).await.ok()?;
        let (head, body) = response.into_parts();
        head.headers.get("guavapass-request")?;
        let body = HeldBuffer::collect(body, limit, reader.budget()).await.ok()?;
        let mut answer = http::Response::new(HeldBody::wrap(body, reader));
        *answer.status_mut() = head.status;
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
        .body(Full::new(request.body.bytes.clone()))
        .ok()?;
    let headers = outgoing.headers_mut();
    *headers = request.headers.clone();
    headers.insert(FORWARD_SIGNATURE, http::HeaderValue::from_str(&signature).ok()?);
    if let Some(authorization) = authorization {
        headers.insert(http::header::AUTHORIZATION, authorization.clone());
    }
    Some(outgoing)
}

/// Restores the original request from a forwarded one; `None` if the signature is missing or wrong.
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
