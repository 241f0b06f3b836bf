use super::*;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The body of an answer, as it arrives from the backend server.
pub(super) struct AnswerBody {
    body: Incoming,
    allowance: ProgressAllowance,
}

impl AnswerBody {
    /// Wraps the body of an answer that arrives on `link`.
    pub(super) fn new(body: Incoming, link: &ServerConnection) -> Self {
        Self { body, allowance: link.allowance.clone() }
    }

    /// Returns the next chunk of data, or `None` at the end of the body. Cancel-safe: no data is
    /// lost if the future is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptFault::Truncated`] if the connection ends before the body does.
    pub(super) async fn next_chunk(&mut self) -> Result<Option<Bytes>, AttemptFault> {
        while let Some(frame) = self.body.frame().await {
            self.allowance.reset();
            // Skips frames of trailers.
            if let Ok(data) = frame.map_err(|_| AttemptFault::Truncated)?.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }
}
