use super::*;
use http_body_util::Full;
use hyper_util::client::legacy::{Client, connect::HttpConnector};

/// Sends orders to engines over HTTP.
pub struct HttpOrders {
    client: Client<HttpConnector, Full<Bytes>>,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    fence: Fence,
    #[serde(flatten)]
    kind: &'a OrderKind,
}

impl HttpOrders {
    const CALL_TIMEOUT_MS: u64 = 5_000;
    const CONNECT_TIMEOUT_MS: u64 = 1_000;
    const DEFAULT_WAIT_SECONDS: u64 = 10;

    /// Creates a client; it must be used inside a tokio runtime.
    #[must_use]
    pub fn new() -> Self {
        let connector = http_connector(Millis(Self::CONNECT_TIMEOUT_MS));
        let client = Client::builder(hyper_util::rt::TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    async fn send(&self, order: &EngineOrder) -> Result<(), OrderError> {
        let refused = |cause: &dyn Display| OrderError::Refused { cause: cause.to_string().into() };
        let body = OrderBody { fence: order.fence, kind: &order.kind };
        let body = serde_json::to_vec(&body).map_err(|error| refused(&error))?;
        let request = http::Request::builder()
            .method(http::Method::POST)
            .uri(format!("http://{}/orders", order.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| refused(&error))?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                refused(&error)
            } else {
                OrderError::Lost { cause: error.to_string().into() }
            }
        })?;
        match response.status().as_u16() {
            200 => Ok(()),
            409 => Err(OrderError::OldFence),
            429 => Err(OrderError::Busy { retry_after: Self::retry_after(response.headers()) }),
            status => Err(refused(&format!("status {status}"))),
        }
    }

    fn retry_after(headers: &http::HeaderMap) -> Millis {
        let header = headers.get(http::header::RETRY_AFTER).and_then(|value| value.to_str().ok());
        let seconds = header.and_then(|text| text.parse().ok());
        Millis(seconds.unwrap_or(Self::DEFAULT_WAIT_SECONDS).saturating_mul(1_000))
    }
}

impl Default for HttpOrders {
    fn default() -> Self {
        Self::new()
    }
}

impl EngineOrders for HttpOrders {
    fn order<'a>(&'a self, order: &'a EngineOrder) -> BoxFuture<'a, Result<(), OrderError>> {
        Box::pin(async move {
            let timeout = Millis(Self::CALL_TIMEOUT_MS).duration();
            match tokio::time::timeout(timeout, self.send(order)).await {
                Ok(result) => result,
                Err(elapsed) => Err(OrderError::Lost { cause: elapsed.to_string().into() }),
            }
        })
    }
}
