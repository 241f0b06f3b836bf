use super::{upstream::UpstreamAttempt, *};
use tokio::sync::mpsc::UnboundedReceiver;

/// The exchange with one caller: carries out the directives of the control thread and sends the
/// released answer to the caller.
pub(super) struct CallerExchange {
    shared: Arc<CallerShared>,
    request: Arc<CallerRequest>,
    number: RequestNumber,
    directives: UnboundedReceiver<Directive>,
    connection: Option<OpenRequest>,
    reader: Arc<OpenReader>,
    attempts: Vec<ExchangeAttempt>,
    released: Option<AttemptId>,
    answered: bool,
}

struct ExchangeAttempt {
    id: AttemptId,
    target: WorkTarget,
    session: Option<SmolStr>,
    session_moved: Option<SessionEnd>,
    events: Option<QueueReceiver<AttemptEvent>>,
}

/// The next input that an exchange handles.
enum ExchangeInput {
    Directive(Option<Directive>),
    Event(AttemptEvent),
    CallerGone,
}

impl CallerExchange {
    pub(super) fn new(
        shared: Arc<CallerShared>,
        request: Arc<CallerRequest>,
        number: RequestNumber,
        directives: UnboundedReceiver<Directive>,
        connection: Option<OpenRequest>,
    ) -> Self {
        let reader = shared.readers.open(number, connection.as_ref().map(OpenRequest::connection));
        Self {
            shared,
            request,
            number,
            directives,
            connection,
            reader,
            attempts: Vec::new(),
            released: None,
            answered: false,
        }
    }

    /// Handles inputs until the head of the response is known. The body of a stream continues the
    /// exchange.
    pub(super) async fn respond(mut self) -> WebResponse {
        loop {
            match self.next_input().await {
                ExchangeInput::Directive(None) => {
                    let message = "This entry VM ended before the request did; ask again.";
                    let refusal = Refusal::not_run(RefusalCode::Unavailable, message)
                        .with_run(RunState::Unknown);
                    return self.refuse(&refusal);
                }
                ExchangeInput::Directive(Some(Directive::Refuse(refusal))) => {
                    return self.refuse(&refusal);
                }
                ExchangeInput::Directive(Some(Directive::ListModels(models))) => {
                    self.answered = true;
                    return Self::list(&models);
                }
                ExchangeInput::Directive(Some(Directive::Ticket(ticket))) => {
                    self.answered = true;
                    return self.ticket(&ticket);
                }
                ExchangeInput::Directive(Some(Directive::Replay { first, otherwise })) => {
                    return self.replay(first, &otherwise);
                }
                ExchangeInput::Directive(Some(Directive::Forward { address, otherwise })) => {
                    return self.forward(address, &otherwise).await;
                }
                ExchangeInput::Directive(Some(directive)) => self.apply(directive),
                ExchangeInput::Event(AttemptEvent::Whole { head, body }) => {
                    self.answered = true;
                    return self.head(*head, HeldBody::wrap(body, &self.reader));
                }
                ExchangeInput::Event(AttemptEvent::Head(head)) => return self.stream(*head),
                ExchangeInput::Event(AttemptEvent::Chunk(_) | AttemptEvent::End) => {}
                ExchangeInput::CallerGone => {
                    let mut response = reply::plain(499, "");
                    let run = RunState::Unknown.as_str();
                    reply::insert_text(response.headers_mut(), "guavapass-run", run);
                    return response;
                }
            }
        }
    }

    async fn next_input(&mut self) -> ExchangeInput {
        let connection = self.connection.as_ref().map(OpenRequest::connection);
        let gone = async {
            match connection {
                Some(connection) => connection.closed().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            input = self.next_message() => input,
            () = gone => ExchangeInput::CallerGone,
        }
    }

    async fn next_message(&mut self) -> ExchangeInput {
        let released = self.released;
        let events = self
            .attempts
            .iter_mut()
            .find(|attempt| Some(attempt.id) == released)
            .and_then(|attempt| attempt.events.as_mut());
        let Some(events) = events else {
            return ExchangeInput::Directive(self.directives.recv().await);
        };
        let event = tokio::select! {
            biased;
            event = events.recv() => event,
            directive = self.directives.recv() => return ExchangeInput::Directive(directive),
        };
        if let Some(event) = event {
            return ExchangeInput::Event(event);
        }
        self.drop_attempt(released);
        ExchangeInput::Directive(self.directives.recv().await)
    }

    /// Closes the channel of an attempt, which cancels the attempt if it is still running.
    fn drop_attempt(&mut self, id: Option<AttemptId>) {
        for attempt in &mut self.attempts {
            if Some(attempt.id) == id {
                attempt.events = None;
            }
        }
    }

    fn apply(&mut self, directive: Directive) {
        match directive {
            Directive::Start(start) => self.start(*start),
            Directive::Release(attempt) => self.released = Some(attempt),
            Directive::Cancel(attempt) => self.drop_attempt(Some(attempt)),
            Directive::Refuse(_)
            | Directive::ListModels(_)
            | Directive::Ticket(_)
            | Directive::Replay { .. }
            | Directive::Forward { .. } => {}
        }
    }

    fn start(&mut self, start: AttemptStart) {
        let (sender, receiver) = queue(&self.reader);
        if start.release == ReleaseMode::Immediate {
            self.released = Some(start.attempt);
        }
        self.attempts.push(ExchangeAttempt {
            id: start.attempt,
            target: start.target.clone(),
            session: start.session.clone(),
            session_moved: start.session_moved,
            events: Some(receiver),
        });
        let attempt = UpstreamAttempt {
            start,
            request: Arc::clone(&self.request),
            client: CallerShared::client(),
            shared: Arc::clone(&self.shared),
            answer_limit: self.shared.settings.answer_limit_bytes,
            events: sender,
        };
        tokio::spawn(attempt.run());
    }

    fn refuse(&mut self, refusal: &Refusal) -> WebResponse {
        self.answered = true;
        reply::refusal(refusal, &self.shared.request_id(self.number))
    }

    fn ticket(&self, ticket: &SmolStr) -> WebResponse {
        let body = serde_json::json!({ "ticket": ticket, "valid_ms": Ticket::VALID_MS });
        let mut response = reply::json(201, &body);
        let id = self.shared.request_id(self.number);
        reply::insert_text(response.headers_mut(), "guavapass-request", &id.to_string());
        response
    }

    /// Returns the stored answer to an earlier request with the same idempotency key.
    fn replay(&mut self, first: RequestNumber, otherwise: &Refusal) -> WebResponse {
        let Some(answer) = self.shared.store.get(first) else { return self.refuse(otherwise) };
        self.answered = true;
        let body = HeldBytes::shared(&self.shared.bodies, answer.body);
        let mut response = http::Response::new(HeldBody::wrap(body, &self.reader));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        let headers = response.headers_mut();
        reply::strip_hop_headers(headers);
        let id = self.shared.request_id(first);
        reply::insert_text(headers, "guavapass-request", &id.to_string());
        response
    }

    /// Forwards the request to the entry VM that owns its idempotency key and returns the answer.
    async fn forward(&mut self, address: SocketAddr, otherwise: &Refusal) -> WebResponse {
        let (client, limit) = (CallerShared::client(), self.shared.settings.answer_limit_bytes);
        let keys = &self.shared.peer_keys;
        let answer =
            forward::forward(&client, keys, address, &self.request, limit, &self.reader).await;
        self.shared.handle.send(Event::Forwarded { request: self.number });
        self.answered = true;
        answer.unwrap_or_else(|| self.refuse(otherwise))
    }

    fn list(models: &[SmolStr]) -> WebResponse {
        let data: Vec<_> = models
            .iter()
            .map(|model| serde_json::json!({ "id": model, "object": "model" }))
            .collect();
        reply::json(200, &serde_json::json!({ "object": "list", "data": data }))
    }

    fn head(&self, head: http::response::Parts, body: ResponseBody) -> WebResponse {
        let mut response = http::Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        let headers = response.headers_mut();
        reply::strip_hop_headers(headers);
        headers.remove(reply::RUN_HEADER);
        let id = self.shared.request_id(self.number);
        reply::insert_text(headers, "guavapass-request", &id.to_string());
        let attempt = self.attempts.iter().find(|attempt| Some(attempt.id) == self.released);
        if let Some(attempt) = attempt {
            if let WorkTarget::Version(version) = &attempt.target {
                reply::insert_text(headers, "guavapass-version", &version.to_string());
            }
            if let Some(session) = &attempt.session {
                reply::insert_text(headers, "guavapass-session", session);
            }
            if let Some(end) = attempt.session_moved {
                reply::insert_text(headers, "guavapass-session-moved", end.as_str());
            }
        }
        response
    }

    /// Returns the response of a stream, whose body continues the exchange.
    fn stream(self, head: http::response::Parts) -> WebResponse {
        let mut response = self.head(head, ResponseBody::empty());
        let parts = futures_util::stream::unfold(Some(self), |exchange| async move {
            let mut exchange = exchange?;
            let (chunk, last) = exchange.next_chunk().await;
            let rest = (!last).then_some(exchange);
            chunk.map(|chunk| (Ok::<_, Infallible>(chunk), rest))
        });
        *response.body_mut() = ResponseBody::boxed(StreamDataBody::new(parts));
        response
    }

    /// Returns the next chunk of a stream, and whether the stream ends with it.
    async fn next_chunk(&mut self) -> (Option<Bytes>, bool) {
        loop {
            match self.next_input().await {
                ExchangeInput::Event(AttemptEvent::Chunk(chunk)) => return (Some(chunk), false),
                ExchangeInput::Event(AttemptEvent::End) => {
                    self.answered = true;
                    return (None, true);
                }
                ExchangeInput::Event(_) => {}
                ExchangeInput::CallerGone => return (None, true),
                ExchangeInput::Directive(Some(Directive::Refuse(refusal))) => {
                    self.answered = true;
                    return (Some(Self::error_event(&refusal)), true);
                }
                ExchangeInput::Directive(Some(directive)) => self.apply(directive),
                ExchangeInput::Directive(None) => {
                    self.answered = true;
                    let message = "This entry VM ended before the stream did.";
                    let refusal =
                        Refusal::not_run(RefusalCode::Unavailable, message).with_run(RunState::Ran);
                    return (Some(Self::error_event(&refusal)), true);
                }
            }
        }
    }

    /// Returns the error event that ends an incomplete stream.
    fn error_event(refusal: &Refusal) -> Bytes {
        let mut body = reply::refusal_body(refusal);
        body["error"]["run"] = refusal.run.as_str().into();
        format!("event: error\ndata: {body}\n\n").into()
    }
}

impl Drop for CallerExchange {
    fn drop(&mut self) {
        if !self.answered {
            self.shared.handle.send(Event::CallerGone { request: self.number });
        }
    }
}
