use super::{
    wire::{RatingAnswer, RatingBody},
    *,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::{Client, connect::HttpConnector};

/// An HTTP client of the membership list, the rating service and the servers' load reports.
pub struct HttpPlatform {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpPlatform {
    const CALL_TIMEOUT_MS: u64 = 5_000;
    const CONNECT_TIMEOUT_MS: u64 = 1_000;
    const ANSWER_LIMIT_BYTES: usize = 64 << 20;

    /// Creates a client of the platform at an address; it must be used inside a tokio runtime.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let connector = http_connector(Millis(Self::CONNECT_TIMEOUT_MS));
        let client = Client::builder(hyper_util::rt::TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { address, client }
    }

    async fn call(
        &self,
        address: SocketAddr,
        method: http::Method,
        path: String,
        body: Bytes,
        wait: Millis,
    ) -> Result<(u16, Bytes), PlatformError> {
        let name = SmolStr::new(address.to_string());
        let lost = |cause: &dyn Display| PlatformError::Lost {
            address: name.clone(),
            cause: cause.to_string().into(),
        };
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| lost(&error))?;
        let call = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    let cause = error.to_string().into();
                    PlatformError::Unreachable { address: name.clone(), cause }
                } else {
                    lost(&error)
                }
            })?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), Self::ANSWER_LIMIT_BYTES);
            let bytes = body.collect().await.map_err(|error| lost(&error))?.to_bytes();
            Ok((status, bytes))
        };
        let timeout = wait + Millis(Self::CALL_TIMEOUT_MS);
        match tokio::time::timeout(timeout.duration(), call).await {
            Ok(result) => result,
            Err(elapsed) => Err(lost(&elapsed)),
        }
    }

    async fn call_json<T: serde::de::DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: http::Method,
        path: String,
        body: Bytes,
        wait: Millis,
    ) -> Result<T, PlatformError> {
        let (status, bytes) = self.call(address, method, path, body, wait).await?;
        let name = || SmolStr::new(address.to_string());
        if status != 200 {
            return Err(PlatformError::Refused { address: name(), status });
        }
        serde_json::from_slice(&bytes).map_err(|error| PlatformError::Malformed {
            address: name(),
            cause: error.to_string().into(),
        })
    }
}

fn to_json(body: &impl Serialize) -> Bytes {
    serde_json::to_vec(body).unwrap_or_default().into()
}

impl MembershipService for HttpPlatform {
    fn members(&self) -> BoxFuture<'_, Result<MembershipList, PlatformError>> {
        let path = "/members".to_owned();
        Box::pin(self.call_json(self.address, http::Method::GET, path, Bytes::new(), Millis(0)))
    }
}

impl RatingService for HttpPlatform {
    fn rate<'a>(
        &'a self,
        version: &'a VersionId,
        request: &'a str,
        answer: &'a str,
    ) -> BoxFuture<'a, Result<Share, PlatformError>> {
        Box::pin(async move {
            let body = to_json(&RatingBody { request, version, answer });
            let path = "/ratings".to_owned();
            let answer: RatingAnswer =
                self.call_json(self.address, http::Method::POST, path, body, Millis(0)).await?;
            Ok(answer.score)
        })
    }
}

impl LoadReports for HttpPlatform {
    fn load(&self, address: SocketAddr) -> BoxFuture<'_, Result<LoadReport, PlatformError>> {
        let path = "/load".to_owned();
        Box::pin(self.call_json(address, http::Method::GET, path, Bytes::new(), Millis(0)))
    }
}
