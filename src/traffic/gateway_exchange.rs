//! The exchange with one caller of a route.

use super::*;
use std::io;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver};

/// Carries out the directives of the control thread and sends the answer to the caller.
pub(super) struct GatewayExchange {
    desk: Arc<GatewayShared>,
    call: Arc<RoutedCall>,
    number: RequestNumber,
    directives: UnboundedReceiver<GatewayDirective>,
    connection: Arc<CallerConnection>,
    runs: Vec<RunLink>,
    delivering: Option<RunLink>,
    is_answered: bool,
}

/// The exchange's handle to a run.
struct RunLink {
    attempt: AttemptId,
    parts: Receiver<RunPart>,
    go_on: Arc<tokio::sync::Notify>,
}

/// The next input that an exchange handles.
enum Step {
    Directive(Option<GatewayDirective>),
    Part(RunPart),
    CallerGone,
}

impl GatewayExchange {
    /// The number of stream events buffered for a slow caller.
    const PART_LIMIT: usize = 16;

    pub(super) fn new(
        desk: Arc<GatewayShared>,
        call: Arc<RoutedCall>,
        number: RequestNumber,
        directives: UnboundedReceiver<GatewayDirective>,
        connection: Arc<CallerConnection>,
    ) -> Self {
        connection.begin();
        Self {
            desk,
            call,
            number,
            directives,
            connection,
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
            match self.step().await {
                Step::Directive(Some(GatewayDirective::Refuse(refusal))) => {
                    self.is_answered = true;
                    return refusal_response(&refusal, self.number);
                }
                Step::Directive(None | Some(GatewayDirective::BreakOff)) => {
                    self.is_answered = true;
                    let message = "This entry VM ended before the request did.";
                    let refusal = Refusal::not_run(RefusalCode::BadGateway, message)
                        .with_run(RunState::Unknown);
                    return refusal_response(&refusal, self.number);
                }
                Step::Directive(Some(directive)) => self.obey(directive),
                Step::Part(RunPart::Head(parts)) => head = Some(parts),
                Step::Part(RunPart::Body(body)) => {
                    self.is_answered = true;
                    return Self::response(head, ResponseBody::bytes(body));
                }
                Step::Part(RunPart::Event(event)) => return self.stream(head, Some(event)),
                Step::Part(RunPart::End) => {
                    self.is_answered = true;
                    return self.stream(head, None);
                }
                Step::CallerGone => return reply::plain(499, ""),
            }
        }
    }

    async fn step(&mut self) -> Step {
        let connection = Arc::clone(&self.connection);
        tokio::select! {
            biased;
            step = self.next_step() => step,
            () = connection.closed() => Step::CallerGone,
        }
    }

    async fn next_step(&mut self) -> Step {
        loop {
            let Some(RunLink { parts, .. }) = &mut self.delivering else {
                return Step::Directive(self.directives.recv().await);
            };
            tokio::select! {
                biased;
                part = parts.recv() => match part {
                    Some(part) => return Step::Part(part),
                    None => self.delivering = None,
                },
                directive = self.directives.recv() => {
                    // The control thread drops the channel of a request when its run has ended,
                    // although the last parts may still be queued.
                    let Some(directive) = directive else {
                        let part = parts.recv().await;
                        return part.map_or(Step::Directive(None), Step::Part);
                    };
                    return Step::Directive(Some(directive));
                }
            }
        }
    }

    fn obey(&mut self, directive: GatewayDirective) {
        match directive {
            GatewayDirective::Start(order) => self.start(*order),
            GatewayDirective::Deliver(attempt) => {
                let found = self.runs.iter().position(|run| run.attempt == attempt);
                self.delivering = found.map(|index| self.runs.swap_remove(index));
            }
            GatewayDirective::Continue(attempt) => {
                let runs = self.delivering.iter().chain(&self.runs);
                if let Some(run) = runs.into_iter().find(|run| run.attempt == attempt) {
                    run.go_on.notify_one();
                }
            }
            GatewayDirective::Cancel(attempt) => {
                self.runs.retain(|run| run.attempt != attempt);
                // Parts that are already queued are still sent to the caller.
                if let Some(run) = self.delivering.as_mut().filter(|run| run.attempt == attempt) {
                    run.parts.close();
                }
            }
            GatewayDirective::Refuse(_) | GatewayDirective::BreakOff => {}
        }
    }

    fn start(&mut self, order: RunOrder) {
        let (sender, receiver) = tokio::sync::mpsc::channel(Self::PART_LIMIT);
        let go_on = Arc::<tokio::sync::Notify>::default();
        let attempt = order.attempt;
        self.runs.push(RunLink { attempt, parts: receiver, go_on: Arc::clone(&go_on) });
        let (call, desk) = (Arc::clone(&self.call), Arc::clone(&self.desk));
        let run = ServerRun { order, call, desk, parts: sender, go_on };
        tokio::spawn(run.run());
    }

    /// Returns the server's answer without its hop-by-hop headers.
    fn response(head: Option<Box<http::response::Parts>>, body: ResponseBody) -> WebResponse {
        let mut response = http::Response::new(body);
        let Some(head) = head else { return reply::plain(502, "") };
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        reply::strip_hop_headers(response.headers_mut());
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
        let broken = || io::Error::from(io::ErrorKind::ConnectionAborted);
        loop {
            match self.step().await {
                Step::Part(RunPart::Event(event)) => return Ok(Some(event)),
                Step::Part(RunPart::End) => {
                    self.is_answered = true;
                    return Ok(None);
                }
                // The head of a later run that resumes the stream.
                Step::Part(RunPart::Head(_)) => {}
                Step::Directive(Some(GatewayDirective::BreakOff)) => {
                    self.is_answered = true;
                    return Err(broken());
                }
                Step::Part(RunPart::Body(_)) | Step::Directive(None) | Step::CallerGone => {
                    return Err(broken());
                }
                Step::Directive(Some(directive)) => self.obey(directive),
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
        self.connection.end();
        if !self.is_answered {
            self.desk.handle.send(GatewayEvent::CallerGone { request: self.number });
        }
    }
}
