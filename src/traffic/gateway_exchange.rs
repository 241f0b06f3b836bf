//! The exchange with one caller of a route.

use super::*;
use std::io;
use tokio::sync::mpsc::UnboundedReceiver;

/// Carries out the directives of the control thread and sends the answer to the caller.
pub(super) struct GatewayExchange {
    shared: Arc<GatewayShared>,
    call: Arc<RoutedCall>,
    number: RequestNumber,
    directives: UnboundedReceiver<GatewayDirective>,
    connection: OpenRequest,
    reader: Arc<OpenReader>,
    runs: Vec<RunHandle>,
    delivering: Option<RunHandle>,
    is_answered: bool,
}

/// The exchange's handle to a run.
struct RunHandle {
    attempt: AttemptId,
    parts: QueueReceiver<AnswerPart>,
    resume: Arc<tokio::sync::Notify>,
}

/// The next input that an exchange handles.
enum ExchangeInput {
    Directive(Option<GatewayDirective>),
    Part(AnswerPart),
    CallerGone,
}

impl GatewayExchange {
    pub(super) fn new(
        shared: Arc<GatewayShared>,
        call: Arc<RoutedCall>,
        number: RequestNumber,
        directives: UnboundedReceiver<GatewayDirective>,
        connection: OpenRequest,
    ) -> Self {
        let reader = shared.readers.open(number, Some(connection.connection()));
        Self {
            shared,
            call,
            number,
            directives,
            connection,
            reader,
            runs: Vec::new(),
            delivering: None,
            is_answered: false,
        }
    }

    /// Handles inputs until the head of the response is known. The body of a stream continues the
    /// exchange.
    pub(super) async fn respond(mut self) -> WebResponse {
        let mut head = None;
        loop {
            match self.next_input().await {
                ExchangeInput::Directive(Some(GatewayDirective::Refuse(refusal))) => {
                    self.is_answered = true;
                    return refusal_response(&refusal, self.number);
                }
                ExchangeInput::Directive(None | Some(GatewayDirective::AbortResponse)) => {
                    self.is_answered = true;
                    let message = "This entry VM ended before the request did.";
                    let refusal = Refusal::not_run(RefusalCode::BadGateway, message)
                        .with_run(RunState::Unknown);
                    return refusal_response(&refusal, self.number);
                }
                ExchangeInput::Directive(Some(directive)) => self.apply(directive),
                ExchangeInput::Part(AnswerPart::Head(parts)) => head = Some(parts),
                ExchangeInput::Part(AnswerPart::Body(body)) => {
                    self.is_answered = true;
                    return Self::response(head, HeldBody::wrap(body, &self.reader));
                }
                ExchangeInput::Part(AnswerPart::Event(event)) => {
                    return self.stream(head, Some(event));
                }
                ExchangeInput::Part(AnswerPart::End) => {
                    self.is_answered = true;
                    return self.stream(head, None);
                }
                ExchangeInput::CallerGone => return reply::plain(499, ""),
            }
        }
    }

    async fn next_input(&mut self) -> ExchangeInput {
        let connection = self.connection.connection();
        tokio::select! {
            biased;
            input = self.next_message() => input,
            () = connection.closed() => ExchangeInput::CallerGone,
        }
    }

    async fn next_message(&mut self) -> ExchangeInput {
        loop {
            let Some(RunHandle { parts, .. }) = &mut self.delivering else {
                return ExchangeInput::Directive(self.directives.recv().await);
            };
            tokio::select! {
                biased;
                part = parts.recv() => match part {
                    Some(part) => return ExchangeInput::Part(part),
                    None => self.delivering = None,
                },
                directive = self.directives.recv() => {
                    // The control thread drops the channel of a request when its run has ended,
                    // although the last parts may still be queued.
                    let Some(directive) = directive else {
                        let part = parts.recv().await;
                        return part.map_or(ExchangeInput::Directive(None), ExchangeInput::Part);
                    };
                    return ExchangeInput::Directive(Some(directive));
                }
            }
        }
    }

    fn apply(&mut self, directive: GatewayDirective) {
        match directive {
            GatewayDirective::Start(order) => self.start(*order),
            GatewayDirective::Deliver(attempt) => {
                let found = self.runs.iter().position(|run| run.attempt == attempt);
                self.delivering = found.map(|index| self.runs.swap_remove(index));
            }
            GatewayDirective::Continue(attempt) => {
                let runs = self.delivering.iter().chain(&self.runs);
                if let Some(run) = runs.into_iter().find(|run| run.attempt == attempt) {
                    run.resume.notify_one();
                }
            }
            GatewayDirective::Cancel(attempt) => {
                self.runs.retain(|run| run.attempt != attempt);
                // Parts that are already queued are still sent to the caller.
                if let Some(run) = self.delivering.as_mut().filter(|run| run.attempt == attempt) {
                    run.parts.close();
                }
            }
            GatewayDirective::Refuse(_) | GatewayDirective::AbortResponse => {}
        }
    }

    fn start(&mut self, order: RunOrder) {
        let (sender, receiver) = queue(&self.reader);
        let resume = Arc::<tokio::sync::Notify>::default();
        let attempt = order.attempt;
        self.runs.push(RunHandle { attempt, parts: receiver, resume: Arc::clone(&resume) });
        let (call, shared) = (Arc::clone(&self.call), Arc::clone(&self.shared));
        let run = ServerRun { order, call, shared, parts: sender, resume };
        tokio::spawn(run.run());
    }

    /// Returns the server's answer without its hop-by-hop headers.
    fn response(head: Option<Box<http::response::Parts>>, body: ResponseBody) -> WebResponse {
        let mut response = http::Response::new(body);
        let Some(head) = head else { return reply::plain(502, "") };
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        reply::strip_hop_headers(response.headers_mut());
        response.headers_mut().remove(reply::RUN_HEADER);
        response
    }

    /// Returns the response of a stream, whose body continues the exchange.
    fn stream(self, head: Option<Box<http::response::Parts>>, first: Option<Bytes>) -> WebResponse {
        let start = first.map(|first| (first, self));
        let parts = futures_util::stream::unfold(StreamState::from(start), |state| async move {
            match state {
                StreamState::First(event, exchange) => {
                    Some((Ok(event), StreamState::Next(exchange)))
                }
                StreamState::Next(mut exchange) => match exchange.next_event().await {
                    Ok(Some(event)) => Some((Ok(event), StreamState::Next(exchange))),
                    Ok(None) => None,
                    Err(error) => Some((Err(error), StreamState::Ended)),
                },
                StreamState::Ended => None,
            }
        });
        Self::response(head, ResponseBody::boxed(StreamDataBody::new(parts)))
    }

    /// Returns the next event of a stream, `None` at its end, or an error if it ends early.
    async fn next_event(&mut self) -> Result<Option<Bytes>, io::Error> {
        let connection = self.connection.connection();
        let broken = || {
            connection.abort();
            io::Error::from(io::ErrorKind::ConnectionAborted)
        };
        loop {
            match self.next_input().await {
                ExchangeInput::Part(AnswerPart::Event(event)) => return Ok(Some(event)),
                ExchangeInput::Part(AnswerPart::End) => {
                    self.is_answered = true;
                    return Ok(None);
                }
                // The head of a later run that resumes the stream.
                ExchangeInput::Part(AnswerPart::Head(_)) => {}
                ExchangeInput::Directive(Some(GatewayDirective::AbortResponse)) => {
                    self.is_answered = true;
                    return Err(broken());
                }
                ExchangeInput::Part(AnswerPart::Body(_))
                | ExchangeInput::Directive(None)
                | ExchangeInput::CallerGone => {
                    return Err(broken());
                }
                ExchangeInput::Directive(Some(directive)) => self.apply(directive),
            }
        }
    }
}

/// The state of the body of a stream: what it yields next.
enum StreamState {
    First(Bytes, GatewayExchange),
    Next(GatewayExchange),
    Ended,
}

impl From<Option<(Bytes, GatewayExchange)>> for StreamState {
    fn from(start: Option<(Bytes, GatewayExchange)>) -> Self {
        start.map_or(Self::Ended, |(event, exchange)| Self::First(event, exchange))
    }
}

impl Drop for GatewayExchange {
    fn drop(&mut self) {
        if !self.is_answered {
            self.shared.handle.send(GatewayEvent::CallerGone { request: self.number });
        }
    }
}
