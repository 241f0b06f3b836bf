//! Answers of the stand-ins.

use super::*;

/// The body of an answer; an error in it closes the connection in the middle.
pub(super) type ReplyBody = UnsyncBoxBody<Bytes, ConnectionCut>;

/// An answer, or a connection that closes without one.
pub(super) type Answer = Result<Response<ReplyBody>, ConnectionCut>;

/// A connection that a stand-in closes on purpose.
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

/// Returns an answer with any body.
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

/// Returns an answer whose connection closes after half of the promised bytes.
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

/// Closes a connection after what was written has been sent.
pub(super) async fn cut_connection() -> Result<Frame<Bytes>, ConnectionCut> {
    tokio::task::yield_now().await;
    Err(ConnectionCut)
}

/// Returns the raw bytes of an answer that is longer than the length it states.
pub(super) fn overlong_answer(body: &Bytes) -> Bytes {
    let stated = body.len() / 2;
    let mut raw = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {stated}\r\n\r\n"
    )
    .into_bytes();
    raw.extend_from_slice(body);
    raw.into()
}

/// Returns a JSON answer with a fault, if there is one.
pub(super) fn faulty_reply(fault: AnswerFault, body: Bytes, tap: &FaultTap) -> Response<ReplyBody> {
    match fault {
        AnswerFault::None | AnswerFault::Stalled => {}
        AnswerFault::Truncated => return truncated_reply(&body),
        AnswerFault::NotJson => {
            return reply(StatusCode::OK, "application/json", full_body("%%% not JSON"));
        }
        AnswerFault::NotHttp => tap.replace_answer(Bytes::from_static(b"%%% not HTTP\r\n\r\n")),
        AnswerFault::TooLong => tap.replace_answer(overlong_answer(&body)),
    }
    reply(StatusCode::OK, "application/json", full_body(body))
}
