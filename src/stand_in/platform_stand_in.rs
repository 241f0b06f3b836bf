//! A fake platform: log, membership list, rating service and weight store.

use super::*;
use reply::error_reply;

/// All services of the platform behind one listener.
pub struct PlatformStandIn {
    host: ServerHost,
    handler: Arc<PlatformHandler>,
}

struct PlatformHandler {
    log: LogStore,
    members: MemberList,
    ratings: AnswerRater,
    weights: WeightStore,
}

impl PlatformStandIn {
    const RATING_SEED: u64 = 7;

    /// Starts a platform without records and members, on a free loopback port.
    #[must_use]
    pub fn start() -> Self {
        let handler = Arc::new(PlatformHandler {
            log: LogStore::default(),
            members: MemberList::default(),
            ratings: AnswerRater::new(Self::RATING_SEED),
            weights: WeightStore::default(),
        });
        let host = ServerHost::start("platform", Arc::clone(&handler) as Arc<dyn HttpHandler>);
        Self { host, handler }
    }

    /// Returns the address that the platform listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Returns the server, for crashes and connection faults. A crash loses no records.
    #[must_use]
    pub const fn host(&self) -> &ServerHost {
        &self.host
    }

    /// Returns the log, to read, change and inject faults.
    #[must_use]
    pub fn log(&self) -> &LogStore {
        &self.handler.log
    }

    /// Returns the membership list, to add, change and remove members.
    #[must_use]
    pub fn members(&self) -> &MemberList {
        &self.handler.members
    }

    /// Returns the rating service, to set scores and inject faults.
    #[must_use]
    pub fn ratings(&self) -> &AnswerRater {
        &self.handler.ratings
    }

    /// Returns the weight store, to set its rate and read its counters.
    #[must_use]
    pub fn weights(&self) -> &WeightStore {
        &self.handler.weights
    }
}

impl HttpHandler for PlatformHandler {
    fn answer(
        self: Arc<Self>,
        request: Request<Bytes>,
        _tap: Arc<ConnectionFaults>,
    ) -> BoxFuture<'static, Answer> {
        Box::pin(async move {
            let path = request.uri().path().to_owned();
            if [APPEND_PATH, READ_PATH, NEWEST_PATH].contains(&path.as_str()) {
                return self.log.answer(&request).await;
            }
            let parts: Vec<_> = path.trim_matches('/').split('/').collect();
            match parts.as_slice() {
                ["members"] => Ok(self.members.answer()),
                ["ratings"] => self.ratings.answer(request.body()).await,
                ["weights", version] => Ok(self.weights.answer(version).await),
                _ => Ok(error_reply(StatusCode::NOT_FOUND, "no_such_path")),
            }
        })
    }
}
