//! A fake model engine.

use super::*;
use {
    engine_run::EngineRun,
    engine_state::{EngineOrder, OrderKind},
    fault_switches::pause,
    reply::{error_reply, json_reply},
};

/// A model engine whose answers repeat the last user message. It has slots, a queue, a prefix cache,
/// load reports and placement orders.
pub struct EngineStandIn {
    host: ServerHost,
    handler: Arc<EngineHandler>,
}

pub(super) struct EngineHandler {
    pub(super) setup: EngineSetup,
    pub(super) faults: FaultSwitches,
    pub(super) runs: RunCounter,
    version_runs: RunCounter,
    orders: RunCounter,
    pub(super) state: Mutex<EngineState>,
    pub(super) slots: Arc<SlotQueue>,
    commands: OnceLock<mpsc::UnboundedSender<HostCommand>>,
}

impl EngineStandIn {
    /// Starts an engine on a free loopback port.
    #[must_use]
    pub fn start(setup: EngineSetup) -> Self {
        let handler = Arc::new(EngineHandler {
            faults: FaultSwitches::default(),
            runs: RunCounter::default(),
            version_runs: RunCounter::default(),
            orders: RunCounter::default(),
            state: Mutex::new(EngineState::new(&setup)),
            slots: Arc::new(SlotQueue::new(setup.slots, setup.queue_limit)),
            commands: OnceLock::new(),
            setup,
        });
        let host = ServerHost::start("engine", Arc::clone(&handler) as Arc<dyn HttpHandler>);
        let _ = handler.commands.set(host.commands());
        Self { host, handler }
    }

    /// Returns the address that the engine listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns the server, for crashes and connection faults.
    #[must_use]
    pub const fn host(&self) -> &ServerHost {
        &self.host
    }

    /// Returns the faults injected into the answers.
    #[must_use]
    pub fn faults(&self) -> &FaultSwitches {
        &self.handler.faults
    }

    /// Returns the counter of runs, by the text of the last user message.
    #[must_use]
    pub fn runs(&self) -> &RunCounter {
        &self.handler.runs
    }

    /// Returns the counter of runs, by version.
    #[must_use]
    pub fn version_runs(&self) -> &RunCounter {
        &self.handler.version_runs
    }

    /// Returns the counter of accepted orders, by version, and of refused ones.
    #[must_use]
    pub fn orders(&self) -> &RunCounter {
        &self.handler.orders
    }

    /// Returns the versions that have finished loading.
    #[must_use]
    pub fn versions(&self) -> BTreeSet<SmolStr> {
        lock(&self.handler.state).versions.clone()
    }
}

impl HttpHandler for EngineHandler {
    fn answer(
        self: Arc<Self>,
        request: Request<Bytes>,
        connection_faults: Arc<ConnectionFaults>,
    ) -> BoxFuture<'static, Answer> {
        Box::pin(async move {
            if self.faults.outage() {
                return Ok(error_reply(StatusCode::SERVICE_UNAVAILABLE, "outage"));
            }
            match request.uri().path() {
                "/v1/chat/completions" => self.chat(request.body(), &connection_faults).await,
                "/load" => Ok(self.load()),
                "/orders" => Ok(self.order(request.body())),
                _ => Ok(error_reply(StatusCode::NOT_FOUND, "no_such_path")),
            }
        })
    }

    fn reset(&self) {
        lock(&self.state).reset(&self.setup);
    }
}

impl EngineHandler {
    async fn chat(self: Arc<Self>, body: &Bytes, connection_faults: &ConnectionFaults) -> Answer {
        if self.faults.crashes(body) {
            self.crash().await;
        }
        let Ok(request) = serde_json::from_slice::<ChatRequest>(body) else {
            return Ok(error_reply(StatusCode::BAD_REQUEST, "bad_request"));
        };
        if !self.has_version(&request.model) {
            self.runs.refuse();
            return Ok(error_reply(StatusCode::NOT_FOUND, "model_not_loaded"));
        }
        let Some(run) = self.start_run(&request).await else {
            self.runs.refuse();
            return Ok(error_reply(StatusCode::SERVICE_UNAVAILABLE, "queue_full"));
        };
        pause(self.faults.delay()).await;
        pause(self.faults.slowed(run.first_token)).await;
        if self.faults.take_lost_answer() {
            return Err(ConnectionCut);
        }
        if request.stream {
            Ok(run.stream_answer(connection_faults))
        } else {
            run.plain_answer(connection_faults).await
        }
    }

    async fn crash(&self) {
        if let Some(commands) = self.commands.get() {
            self.faults.crash(commands).await;
        }
    }

    fn has_version(&self, version: &str) -> bool {
        self.setup.versions.is_empty() || lock(&self.state).versions.contains(version)
    }

    async fn start_run(self: &Arc<Self>, request: &ChatRequest) -> Option<EngineRun> {
        let slot = self.slots.acquire(request.priority).await?;
        self.runs.start(request.question());
        self.version_runs.start(&request.model);
        let prompt = request.prompt();
        let mut state = lock(&self.state);
        let cached_bytes = state.cache.admit(prompt.as_bytes());
        state.record_load(&self.slots, self.setup.load_lag);
        drop(state);
        Some(EngineRun::new(Arc::clone(self), slot, request, prompt.len(), cached_bytes))
    }

    fn load(&self) -> Response<ReplyBody> {
        let mut state = lock(&self.state);
        state.record_load(&self.slots, self.setup.load_lag);
        let report = state.load_report(&self.setup);
        json_reply(StatusCode::OK, &report)
    }

    fn order(self: Arc<Self>, body: &[u8]) -> Response<ReplyBody> {
        let Ok(order) = serde_json::from_slice::<EngineOrder>(body) else {
            return error_reply(StatusCode::BAD_REQUEST, "bad_order");
        };
        let mut state = lock(&self.state);
        if self.setup.fence_rule == FenceRule::Refuses && order.fence < state.fence {
            self.orders.refuse();
            return error_reply(StatusCode::CONFLICT, "old_fence");
        }
        state.fence = state.fence.max(order.fence);
        self.orders.start(&order.version);
        match order.order {
            OrderKind::Unload => drop(state.versions.remove(&order.version)),
            OrderKind::Role | OrderKind::Fence => {}
            OrderKind::Load => self.start_load(&mut state, order.version),
            OrderKind::Desired => {
                state.versions.retain(|version| order.versions.contains(version));
                state.loading.retain(|version| order.versions.contains(version));
                for version in order.versions {
                    self.start_load(&mut state, version);
                }
            }
        }
        json_reply(StatusCode::OK, &serde_json::json!({"fence": state.fence}))
    }

    fn start_load(self: &Arc<Self>, state: &mut EngineState, version: SmolStr) {
        if !state.versions.contains(&version) && state.loading.insert(version.clone()) {
            tokio::spawn(Arc::clone(self).load_version(version));
        }
    }

    async fn load_version(self: Arc<Self>, version: SmolStr) {
        if let Some(address) = self.setup.weight_store {
            download_weights(address, &version).await;
        }
        let mut state = lock(&self.state);
        // The version is no longer loading if the engine crashed or got another order meanwhile.
        if state.loading.remove(&version) {
            state.versions.insert(version);
        }
    }
}

/// Downloads the weights of a version. Retries after the time in `Retry-After` if the store refuses,
/// and after 1 s if it cannot be reached.
async fn download_weights(address: SocketAddr, version: &str) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let Ok(uri) = format!("http://{address}/weights/{version}").parse::<http::Uri>() else {
        return;
    };
    loop {
        let Ok(response) = client.get(uri.clone()).await else {
            tokio::time::sleep(Duration::from_secs(1)).await;
            continue;
        };
        if response.status() == StatusCode::OK {
            return;
        }
        let wait = response.headers().get(RETRY_AFTER).and_then(|value| value.to_str().ok());
        let seconds = wait.and_then(|text| text.parse().ok()).unwrap_or(1);
        tokio::time::sleep(Duration::from_secs(seconds)).await;
    }
}
