use super::*;
use std::task::{Context, Poll};
use xitca_web::body::{Frame, SizeHint};

/// A shared counter of the open exchanges with callers.
#[derive(Clone, Debug, Default)]
pub struct ExchangeCount {
    open: Arc<AtomicU64>,
}

/// A guard that counts one open exchange until it is dropped.
#[derive(Debug)]
pub(super) struct ExchangeGuard {
    open: Arc<AtomicU64>,
}

impl ExchangeCount {
    /// Returns the number of open exchanges.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.open.load(Ordering::Acquire)
    }

    pub(super) fn open_exchange(&self) -> ExchangeGuard {
        self.open.fetch_add(1, Ordering::AcqRel);
        ExchangeGuard { open: Arc::clone(&self.open) }
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A response body that holds the guard of its exchange until the body has been sent.
pub(super) struct CountedBody {
    body: ResponseBody,
    _open: ExchangeGuard,
}

impl CountedBody {
    /// Attaches the guard of an exchange to the body of its response.
    pub(super) fn wrap(response: WebResponse, open: ExchangeGuard) -> WebResponse {
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
