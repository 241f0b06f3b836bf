use super::*;
use std::task::{Context, Poll};
use xitca_web::body::{Frame, SizeHint};

/// Counts the exchanges with callers that are open.
#[derive(Clone, Debug, Default)]
pub struct ExchangeCount {
    open: Arc<AtomicU64>,
}

/// Stands for one open exchange until it is dropped.
#[derive(Debug)]
pub(super) struct OpenExchange {
    open: Arc<AtomicU64>,
}

impl ExchangeCount {
    /// Returns the number of open exchanges.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.open.load(Ordering::Acquire)
    }

    pub(super) fn enter(&self) -> OpenExchange {
        self.open.fetch_add(1, Ordering::AcqRel);
        OpenExchange { open: Arc::clone(&self.open) }
    }
}

impl Drop for OpenExchange {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The body of a response, which keeps its exchange open until it has been sent.
pub(super) struct CountedBody {
    body: ResponseBody,
    _open: OpenExchange,
}

impl CountedBody {
    /// Keeps the exchange of a response open until its body has been sent.
    pub(super) fn wrap(response: WebResponse, open: OpenExchange) -> WebResponse {
        response.map(|body| ResponseBody::boxed(Self { body, _open: open }))
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = <ResponseBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
