use super::*;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The body of a backend server's answer, as it comes.
pub(super) struct AnswerBody {
    body: Incoming,
    allowance: ProgressAllowance,
}

impl AnswerBody {
    /// Returns the body of an answer on a connection.
    pub(super) fn new(body: Incoming, link: &ServerLink) -> Self {
        Self { body, allowance: link.allowance.clone() }
    }

    /// Returns the next piece, and none after the last one. Nothing is lost if the wait is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptFault::Truncated`] if the body breaks off.
    pub(super) async fn piece(&mut self) -> Result<Option<Bytes>, AttemptFault> {
        while let Some(frame) = self.body.frame().await {
            self.allowance.start();
            // Trailers are no piece.
            if let Ok(data) = frame.map_err(|_| AttemptFault::Truncated)?.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }
}
