//! HTTP answers of the fake servers, correct and faulty.

use super::*;

/// The body of an answer; an error in the body closes the connection before its end.
pub(super) type ReplyBody = UnsyncBoxBody<Bytes, ConnectionCut>;

/// An answer, or `ConnectionCut` to close the connection without one.
pub(super) type Answer = Result<Response<ReplyBody>, ConnectionCut>;

/// The error that makes the HTTP server close a connection, as an injected fault.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("The stand-in closed the connection without a whole answer.")]
pub(super) struct ConnectionCut;

/// Returns a body with a known length.
pub(super) fn full_body(bytes: impl Into<Bytes>) -> ReplyBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns an answer with a JSON body.
pub(super) fn json_reply(status: StatusCode, body: &serde_json::Value) -> Response<ReplyBody> {
    reply(status, "application/json", full_body(body.to_string()))
}

/// Returns an error answer in the form that callers of chat completions expect.
pub(super) fn error_reply(status: StatusCode, code: &str) -> Response<ReplyBody> {
    json_reply(status, &serde_json::json!({"error": {"code": code, "message": code}}))
}

/// Returns an answer with a status, a content type and a body.
pub(super) fn reply(
    status: StatusCode,
    kind: &'static str,
    body: ReplyBody,
) -> Response<ReplyBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

/// Returns an answer whose connection closes after half of the stated content length.
pub(super) fn truncated_reply(body: &Bytes) -> Response<ReplyBody> {
    let half = body.slice(..body.len() / 2);
    let stream = futures_util::stream::unfold(Some(half), |half| async move {
        match half {
            Some(half) if !half.is_empty() => Some((Ok(Frame::data(half)), Some(Bytes::new()))),
            Some(_) => Some((cut_connection().await, None)),
            None => None,
        }
    });
    let stream = StreamBody::new(stream);
    let mut response = reply(StatusCode::OK, "application/json", BodyExt::boxed_unsync(stream));
    response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    response
}

/// Returns the error that closes the connection, after a yield so that the server can first send what
/// was written.
pub(super) async fn cut_connection() -> Result<Frame<Bytes>, ConnectionCut> {
    tokio::task::yield_now().await;
    Err(ConnectionCut)
}

/// Returns the raw HTTP bytes of an answer whose body is twice as long as the stated content length.
pub(super) fn overlong_answer(body: &Bytes) -> Bytes {
    let stated = body.len() / 2;
    let mut raw = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {stated}\r\n\r\n"
    )
    .into_bytes();
    raw.extend_from_slice(body);
    raw.into()
}

/// Returns a JSON answer with a fault applied. A stalled answer is up to the caller.
pub(super) fn faulty_reply(
    fault: AnswerFault,
    body: Bytes,
    faults: &ConnectionFaults,
) -> Response<ReplyBody> {
    match fault {
        AnswerFault::None | AnswerFault::Stalled => {}
        AnswerFault::Truncated => return truncated_reply(&body),
        AnswerFault::NotJson => {
            return reply(StatusCode::OK, "application/json", full_body("%%% not JSON"));
        }
        AnswerFault::NotHttp => faults.replace_answer(Bytes::from_static(b"%%% not HTTP\r\n\r\n")),
        AnswerFault::TooLong => faults.replace_answer(overlong_answer(&body)),
    }
    reply(StatusCode::OK, "application/json", full_body(body))
}
