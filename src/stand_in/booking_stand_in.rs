//! A fake booking service.

use super::*;
use {
    fault_switches::pause,
    reply::{error_reply, faulty_reply, json_reply},
};

/// A plain HTTP service that makes a booking on POST and looks one up on GET.
///
/// A POST names its booking in the JSON field `booking`, a GET in the last segment of its path.
pub struct BookingStandIn {
    host: ServerHost,
    handler: Arc<BookingHandler>,
}

struct BookingHandler {
    call_time: Duration,
    faults: FaultSwitches,
    bookings: RunCounter,
    lookups: RunCounter,
    honours_keys: AtomicBool,
    keys: Mutex<BTreeMap<SmolStr, Bytes>>,
    commands: OnceLock<mpsc::UnboundedSender<HostCommand>>,
}

impl BookingStandIn {
    /// Starts a service whose calls each take `call_time`.
    #[must_use]
    pub fn start(call_time: Duration) -> Self {
        let handler = Arc::new(BookingHandler {
            call_time,
            faults: FaultSwitches::default(),
            bookings: RunCounter::default(),
            lookups: RunCounter::default(),
            honours_keys: AtomicBool::new(false),
            keys: Mutex::default(),
            commands: OnceLock::new(),
        });
        let host = ServerHost::start("booking", Arc::clone(&handler) as Arc<dyn HttpHandler>);
        let _ = handler.commands.set(host.commands());
        Self { host, handler }
    }

    /// Returns the address that the service listens on.
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

    /// Returns the counter of bookings made, by booking.
    #[must_use]
    pub fn bookings(&self) -> &RunCounter {
        &self.handler.bookings
    }

    /// Returns the counter of look-ups, by booking.
    #[must_use]
    pub fn lookups(&self) -> &RunCounter {
        &self.handler.lookups
    }

    /// Sets whether a repeated `Idempotency-Key` gets the first answer again without another
    /// booking. Off by default.
    pub fn set_honours_keys(&self, honours: bool) {
        self.handler.honours_keys.store(honours, Ordering::SeqCst);
    }
}

impl HttpHandler for BookingHandler {
    fn answer(
        self: Arc<Self>,
        request: Request<Bytes>,
        connection_faults: Arc<ConnectionFaults>,
    ) -> BoxFuture<'static, Answer> {
        Box::pin(async move {
            if self.faults.outage() {
                return Ok(error_reply(StatusCode::SERVICE_UNAVAILABLE, "outage"));
            }
            if self.faults.crashes(request.body())
                && let Some(commands) = self.commands.get()
            {
                self.faults.crash(commands).await;
            }
            match *request.method() {
                Method::GET => Ok(self.look_up(request.uri().path()).await),
                _ => self.book(&request, &connection_faults).await,
            }
        })
    }
}

impl BookingHandler {
    async fn look_up(&self, path: &str) -> Response<ReplyBody> {
        let booking = path.rsplit('/').next().unwrap_or_default();
        pause(self.faults.slowed(self.call_time) + self.faults.delay()).await;
        self.lookups.start(booking);
        let body = serde_json::json!({"booking": booking, "ran": self.bookings.runs(booking)});
        json_reply(StatusCode::OK, &body)
    }

    async fn book(&self, request: &Request<Bytes>, connection_faults: &ConnectionFaults) -> Answer {
        let parsed = serde_json::from_slice::<serde_json::Value>(request.body()).ok();
        let Some(booking) = parsed.as_ref().and_then(|body| body["booking"].as_str()) else {
            self.bookings.refuse();
            return Ok(error_reply(StatusCode::UNPROCESSABLE_ENTITY, "no_booking"));
        };
        let body = self.run_once(request, booking);
        // The booking has taken effect here, even if the caller disconnects during the delay.
        pause(self.faults.slowed(self.call_time) + self.faults.delay()).await;
        let fault = self.faults.answer();
        if fault == AnswerFault::Stalled {
            std::future::pending::<()>().await;
        }
        if self.faults.take_lost_answer() {
            return Err(ConnectionCut);
        }
        self.bookings.finish();
        Ok(faulty_reply(fault, body, connection_faults))
    }

    /// Makes the booking and returns the answer. If keys are honoured and the request's key was seen
    /// before, returns the earlier answer instead.
    fn run_once(&self, request: &Request<Bytes>, booking: &str) -> Bytes {
        let key = request.headers().get("idempotency-key").and_then(|key| key.to_str().ok());
        let key = key.filter(|_| self.honours_keys.load(Ordering::SeqCst));
        let mut keys = lock(&self.keys);
        if let Some(body) = key.and_then(|key| keys.get(key)) {
            return body.clone();
        }
        self.bookings.start(booking);
        let body = serde_json::json!({
            "booking": booking,
            "confirmed": true,
            "path": request.uri().path(),
        });
        let body = Bytes::from(body.to_string());
        if let Some(key) = key {
            keys.insert(key.into(), body.clone());
        }
        body
    }
}
