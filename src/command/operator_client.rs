use super::*;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::{Client, connect::HttpConnector};

/// A blocking client of an entry VM's listener for operators.
pub(super) struct OperatorClient {
    address: SocketAddr,
    secret: Secret,
    runtime: tokio::runtime::Runtime,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Returns the arguments shared by all operator commands: the entry VM and the secret file.
pub(super) fn operator_args() -> [Arg; 2] {
    [
        Arg::new("vm")
            .long("vm")
            .value_name("ADDRESS")
            .required(true)
            .help("The listener for operators of any entry VM"),
        Arg::new("secret-file")
            .long("secret-file")
            .value_name("FILE")
            .required(true)
            .help("The file with the operators' secret"),
    ]
}

impl OperatorClient {
    const CONNECT_TIMEOUT_MS: u64 = 2_000;
    /// The time that a call may take in addition to the wait that the request asks for.
    const CALL_TIMEOUT_MS: u64 = 5_000;
    const ANSWER_LIMIT_BYTES: usize = 64 << 20;

    /// Returns a client for the address and the secret file given by the arguments.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is invalid or the secret is unreadable or too short.
    pub(super) fn new(matches: &ArgMatches) -> Result<Self, CommandError> {
        let text = matches.get_one::<String>("vm").map(String::as_str).unwrap_or_default();
        let address = text.parse().map_err(|_| CommandError::Address(text.into()))?;
        let file = matches.get_one::<String>("secret-file").map(String::as_str).unwrap_or_default();
        let unusable =
            |cause: String| CommandError::Secret { file: file.into(), cause: cause.into() };
        let text = std::fs::read_to_string(file).map_err(|error| unusable(error.to_string()))?;
        let secret = Secret::new(text.trim().as_bytes())
            .ok_or_else(|| unusable("it is shorter than 16 bytes".into()))?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let mut connector = HttpConnector::new();
        let timeout = Duration::from_millis(Self::CONNECT_TIMEOUT_MS);
        connector.set_connect_timeout(Some(timeout));
        let client = Client::builder(hyper_util::rt::TokioExecutor::new()).build(connector);
        Ok(Self { address, secret, runtime, client })
    }

    /// Sends a request to the entry VM and returns its answer. The call times out
    /// `CALL_TIMEOUT_MS` after `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer, or if the answer reports a failure.
    pub(super) fn ask(
        &self,
        request: &OperatorRequest,
        wait: Millis,
    ) -> Result<OperatorAnswer, CommandError> {
        let lost = |cause: String| CommandError::Operator {
            address: self.address,
            cause: cause.trim_end_matches('.').into(),
        };
        let body = serde_json::to_vec(request).map_err(|error| lost(error.to_string()))?;
        let secret = String::from_utf8_lossy(self.secret.bytes());
        let call = http::Request::post(format!("http://{}{OPERATOR_PATH}", self.address))
            .header(http::header::AUTHORIZATION, format!("Bearer {secret}"))
            .body(Full::new(body.into()))
            .map_err(|error| lost(error.to_string()))?;
        let timeout = (wait + Millis(Self::CALL_TIMEOUT_MS)).duration();
        let exchange = async {
            let response = self.client.request(call).await.map_err(|error| error.to_string())?;
            let status = response.status();
            let body = Limited::new(response.into_body(), Self::ANSWER_LIMIT_BYTES);
            let bytes = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
            if status == http::StatusCode::UNAUTHORIZED {
                return Err("it refused the operators' secret".to_owned());
            }
            if !status.is_success() {
                return Err(format!("it answered with status {}", status.as_u16()));
            }
            serde_json::from_slice(&bytes).map_err(|error| error.to_string())
        };
        let answer = self.runtime.block_on(async { tokio::time::timeout(timeout, exchange).await });
        match answer {
            Ok(Ok(OperatorAnswer::Failed(cause))) => Err(lost(cause.to_string())),
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(cause)) => Err(lost(cause)),
            Err(_) => Err(lost("it did not answer in time".into())),
        }
    }

    /// Returns the status of the entry VM.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer, or one of another kind.
    pub(super) fn status(&self) -> Result<VmStatus, CommandError> {
        match self.ask(&OperatorRequest::Status, Millis(0))? {
            OperatorAnswer::Status(status) => Ok(*status),
            _ => Err(self.unexpected_answer()),
        }
    }

    /// Returns the placement in each pool, as known to the entry VM.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer, or one of another kind.
    pub(super) fn placement(&self) -> Result<Vec<PlacementStatus>, CommandError> {
        match self.ask(&OperatorRequest::Placement, Millis(0))? {
            OperatorAnswer::Placement(pools) => Ok(pools),
            _ => Err(self.unexpected_answer()),
        }
    }

    fn unexpected_answer(&self) -> CommandError {
        CommandError::Operator {
            address: self.address,
            cause: "its answer is of another kind".into(),
        }
    }
}
