//! One run of a route's request at a backend server.

use super::*;
use http_body_util::Full;
use hyper::body::Incoming;

/// A part of an answer, sent from a run to the exchange with the caller.
#[derive(Debug)]
pub(super) enum AnswerPart {
    /// The status and headers of an answer.
    Head(Box<http::response::Parts>),
    /// The complete body of an answer that is not streamed.
    Body(HeldBytes),
    /// A complete event of a stream.
    Event(Bytes),
    /// The end of a stream that was received completely.
    End,
}

impl QueuedPart for AnswerPart {
    /// A complete body has a reservation of its own.
    fn held_bytes(&self) -> u64 {
        match self {
            Self::Event(event) => event.len() as u64,
            Self::Head(_) | Self::Body(_) | Self::End => 0,
        }
    }
}

/// One run of a request, executed as a separate task.
pub(super) struct ServerRun {
    pub(super) order: RunOrder,
    pub(super) call: Arc<RoutedCall>,
    pub(super) shared: Arc<GatewayShared>,
    pub(super) parts: QueueSender<AnswerPart>,
    /// Notified when a stalled run may continue.
    pub(super) resume: Arc<tokio::sync::Notify>,
}

/// The reason why a run has no complete answer, and the last stream event that was passed on.
struct RunFailure {
    fault: AttemptFault,
    last_event: Option<u64>,
}

/// A connection and the response head received on it, or the reason why nothing was sent.
type SendResult = Result<(ServerConnection, http::Response<Incoming>), NotRunCause>;

impl From<AttemptFault> for RunFailure {
    fn from(fault: AttemptFault) -> Self {
        Self { fault, last_event: None }
    }
}

impl ServerRun {
    /// The time that a run may last beyond the time left that was given to its server. It bounds
    /// runs that no caller waits for any more.
    const GRACE_MS: u64 = 500;

    /// Executes the run and reports its outcome. A run that must not be repeated continues after
    /// its caller has disconnected.
    pub(super) async fn run(self) {
        let parts = self.parts.clone();
        let limit = self.order.time_left + Millis(Self::GRACE_MS);
        let ended = tokio::select! {
            ended = self.exchange() => ended,
            () = parts.closed(), if self.order.repeat == RepeatRule::Repeatable => {
                Err(AttemptFault::Cancelled.into())
            }
            () = tokio::time::sleep(limit.duration()) => Err(self.limit_fault().into()),
        };
        let outcome = ended.unwrap_or_else(|RunFailure { fault, last_event }| RunOutcome::Broken {
            fault,
            last_event,
        });
        self.report(RunReport::Ended(outcome));
    }

    /// Returns the fault of a run that has reached its time limit. A server that waits for a slow
    /// caller isn't silent.
    fn limit_fault(&self) -> AttemptFault {
        if self.parts.is_waiting() { AttemptFault::Cancelled } else { AttemptFault::Silent }
    }

    fn report(&self, report: RunReport) {
        let (request, attempt) = (self.order.request, self.order.attempt);
        self.shared.handle.send(GatewayEvent::Run { request, attempt, report });
    }

    async fn exchange(&self) -> Result<RunOutcome, RunFailure> {
        let (link, response) = match self.send().await? {
            Ok(sent) => sent,
            Err(cause) => return Ok(RunOutcome::NotRun { cause, load: None }),
        };
        let (head, body) = response.into_parts();
        let body = AnswerBody::new(body, &link);
        let facts = read_answer(head.status, &head.headers);
        tracing::debug!(
            request = self.order.request.0,
            attempt = self.order.attempt.0,
            status = head.status.as_u16(),
            headers = ?head.headers,
            "answer head"
        );
        if facts.caller_id.as_deref() != Some(self.call.caller_id.as_str()) {
            return Err(AttemptFault::Malformed.into());
        }
        // A misdirected request was answered by another server that now has the address, so its
        // hint does not describe the intended server.
        let has_news = !facts.hint.is_empty() || self.order.is_limited;
        if facts.not_run != Some(NotRunCause::Misdirected) && has_news {
            let start = ServerStart { server: self.order.server.clone(), born: self.order.born };
            let (sent, hint) = (self.order.sent, facts.hint.clone());
            self.shared.handle.send(GatewayEvent::ServerHinted { start, sent, hint });
        }
        if let Some(cause) = facts.not_run {
            // The connection is closed. A faulty server may write the refusal once more, and there
            // it could not be told from an answer to the same request sent again.
            return Ok(RunOutcome::NotRun { cause, load: facts.head.load });
        }
        if head.status.is_success() && !facts.is_signed {
            return Err(AttemptFault::Malformed.into());
        }
        let is_stream = self.order.is_stream && head.status.is_success();
        let outcome = if is_stream && Self::may_have_events(&head.headers) {
            self.pass_stream(head, body, facts.head).await?
        } else if is_stream && self.order.after_event.is_some() {
            return Err(AttemptFault::Malformed.into());
        } else {
            self.pass_whole(head, body, facts.head).await?
        };
        if self.may_reuse(&facts) {
            link.return_idle(&self.order.server, facts.idle_limit);
        }
        Ok(outcome)
    }

    /// Returns whether an answer may be a stream of events: it does not state another type.
    fn may_have_events(headers: &http::HeaderMap) -> bool {
        headers.get(http::header::CONTENT_TYPE).is_none_or(|kind| {
            let kind = kind.to_str().unwrap_or_default().split(';').next().unwrap_or_default();
            kind.trim().eq_ignore_ascii_case("text/event-stream")
        })
    }

    /// Returns whether the head of an answer tells where its body ends.
    fn is_delimited(&self, head: &http::response::Parts) -> bool {
        let lengths = [http::header::CONTENT_LENGTH, http::header::TRANSFER_ENCODING];
        let has_no_body = matches!(head.status.as_u16(), 204 | 304);
        has_no_body
            || self.call.head.method == http::Method::HEAD
            || lengths.iter().any(|name| head.headers.contains_key(name))
    }

    /// Returns whether the end of a body that has neither a length nor chunks is that of the
    /// answer. A server that crashes closes its connections too, but does not listen any more.
    async fn is_end_of_answer(&self, is_delimited: bool) -> bool {
        is_delimited || probe_server(self.order.address).await == ProbeResult::Listens
    }

    /// Returns whether the connection may return to the idle pool. The connection of an
    /// at-most-once call may not: such calls never reuse a pooled connection, so those left by a
    /// burst would use up the server's connection limit.
    fn may_reuse(&self, facts: &AnswerFacts) -> bool {
        facts.keeps && self.order.repeat == RepeatRule::Repeatable
    }

    /// Sends the request and waits for the head of the answer; returns the cause if no byte was
    /// sent.
    async fn send(&self) -> Result<SendResult, AttemptFault> {
        let mut request = self.upstream_request().ok_or(AttemptFault::Malformed)?;
        let is_repeatable = self.order.repeat == RepeatRule::Repeatable;
        let mut idle =
            if is_repeatable { ServerConnection::take_idle(&self.order.server) } else { None };
        loop {
            let link = match idle.take() {
                Some(link) => Ok(link),
                None if is_repeatable => ServerConnection::open(self.order.address).await,
                None => ServerConnection::open_checked(self.order.address).await,
            };
            let mut link = match link {
                Ok(link) => link,
                Err(cause) => return Ok(Err(cause)),
            };
            link.allowance.reset();
            match link.sender.try_send_request(request).await {
                Ok(response) => {
                    link.allowance.reset();
                    return Ok(Ok((link, response)));
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) if link.is_reused => request = unsent,
                    Some(_) if is_repeatable => return Ok(Err(NotRunCause::Unreachable)),
                    Some(_) => return Ok(Err(NotRunCause::Crowded)),
                    None => return Err(AttemptFault::Closed),
                },
            }
        }
    }

    fn upstream_request(&self) -> Option<http::Request<Full<Bytes>>> {
        let mut request = http::Request::builder()
            .method(self.call.head.method.clone())
            .uri(self.call.head.uri.path_and_query()?.as_str())
            .body(Full::new(self.call.body.bytes.clone()))
            .ok()?;
        *request.headers_mut() = run_headers(&self.call.head.headers, &self.order);
        Some(request)
    }

    async fn collect(&self, mut body: AnswerBody) -> Result<HeldBytes, AttemptFault> {
        let mut buffer = HeldBuffer::new(&self.shared.bodies);
        while let Some(data) = body.next_chunk().await? {
            if buffer.len() + data.len() > self.shared.answer_limit.0 as usize {
                return Err(AttemptFault::TooLong);
            }
            buffer.push(&data).map_err(|error| self.out_of_memory(error))?;
        }
        Ok(buffer.freeze())
    }

    fn out_of_memory(&self, error: BudgetExceeded) -> AttemptFault {
        tracing::warn!(
            request = self.order.request.0,
            attempt = self.order.attempt.0,
            server = %self.order.server,
            %error,
            "gave up an answer for want of memory"
        );
        AttemptFault::OutOfMemory
    }

    async fn pass_whole(
        &self,
        head: http::response::Parts,
        body: AnswerBody,
        facts: AnswerHead,
    ) -> Result<RunOutcome, RunFailure> {
        let is_delimited = self.is_delimited(&head);
        let body = self.collect(body).await?;
        if !self.is_end_of_answer(is_delimited).await {
            return Err(AttemptFault::Truncated.into());
        }
        self.pass(AnswerPart::Head(Box::new(head))).await?;
        self.pass(AnswerPart::Body(body)).await?;
        Ok(RunOutcome::Whole { head: facts })
    }

    async fn pass_stream(
        &self,
        head: http::response::Parts,
        body: AnswerBody,
        facts: AnswerHead,
    ) -> Result<RunOutcome, RunFailure> {
        let mut sequence = EventSequence::after(self.order.after_event);
        let passed = self.pass_events(head, body, facts, &mut sequence).await;
        passed.map_err(|fault| RunFailure { fault, last_event: sequence.last() })
    }

    async fn pass_events(
        &self,
        head: http::response::Parts,
        mut body: AnswerBody,
        facts: AnswerHead,
        sequence: &mut EventSequence,
    ) -> Result<RunOutcome, AttemptFault> {
        /// Many times the size of a real event. A stream with more bytes and no end of an event is
        /// malformed.
        const EVENT_LIMIT_BYTES: usize = 256 * 1_024;
        let mut framer = EventFramer::default();
        let mut reservation = self.shared.bodies.reserve();
        let is_delimited = self.is_delimited(&head);
        let mut head = Some(head);
        let mut progress = Instant::now();
        loop {
            let has_begun = head.is_none() || self.order.after_event.is_some();
            let chunk = tokio::select! {
                biased;
                chunk = body.next_chunk() => chunk?,
                () = self.stalled(progress, has_begun) => {
                    self.report(RunReport::Stalled { last_event: sequence.last() });
                    // If the control thread abandons the run, this task is cancelled while it waits
                    // here.
                    self.resume.notified().await;
                    progress = Instant::now();
                    continue;
                }
            };
            let Some(data) = chunk else { break };
            // The buffer may grow to twice its contents.
            let needed = 2 * (framer.held_bytes() + data.len()) as u64;
            let reserved = self.parts.reserve(&mut reservation, needed).await;
            reserved.map_err(|fault| self.pass_fault(fault))?;
            framer.feed(&data);
            tracing::debug!(request = self.order.request.0, data = ?data, "stream bytes");
            while let Some(event) = framer.next_event() {
                // An error, rather than a later event of the stream.
                if event.has_content && event.id.is_none() && self.order.after_event.is_some() {
                    return Err(AttemptFault::Malformed);
                }
                match sequence.classify(event.id) {
                    EventPosition::New => {}
                    EventPosition::Repeated => continue,
                    EventPosition::AfterGap => return Err(AttemptFault::Truncated),
                }
                self.begin(&mut head, facts).await?;
                self.pass(AnswerPart::Event(event.bytes)).await?;
                sequence.record_forwarded(event.id);
                // Comments and repeated events do not count as progress.
                if event.has_content {
                    progress = Instant::now();
                }
            }
            if framer.held_bytes() > EVENT_LIMIT_BYTES {
                return Err(AttemptFault::Malformed);
            }
            // It shrinks, which never fails.
            let _ = reservation.resize(2 * framer.held_bytes() as u64);
        }
        let is_empty = sequence.last().is_none() && head.is_some();
        if !framer.is_at_boundary()
            || (is_empty && !is_delimited)
            || !self.is_end_of_answer(is_delimited).await
        {
            return Err(AttemptFault::Truncated);
        }
        self.begin(&mut head, facts).await?;
        self.pass(AnswerPart::End).await?;
        Ok(RunOutcome::Whole { head: facts })
    }

    /// Waits until a stream that has begun counts as stalled. Only complete new events count as
    /// progress, not single bytes.
    async fn stalled(&self, progress: Instant, has_begun: bool) {
        match self.order.stall.filter(|_| has_begun) {
            Some(limit) => {
                let ends = progress + limit.duration();
                tokio::time::sleep_until(ends.into()).await;
            }
            None => std::future::pending().await,
        }
    }

    /// Reports once that a stream has begun, and passes its head on.
    async fn begin(
        &self,
        head: &mut Option<http::response::Parts>,
        facts: AnswerHead,
    ) -> Result<(), AttemptFault> {
        let Some(head) = head.take() else { return Ok(()) };
        self.report(RunReport::Began { head: facts });
        self.pass(AnswerPart::Head(Box::new(head))).await
    }

    /// Sends a part to the exchange; waits for a bounded time while its caller is slow. The core
    /// learns that the caller is lost before the run ends, so that it doesn't start another.
    async fn pass(&self, part: AnswerPart) -> Result<(), AttemptFault> {
        self.parts.pass(part).await.map_err(|fault| self.pass_fault(fault))
    }

    fn pass_fault(&self, fault: PassFault) -> AttemptFault {
        match fault {
            PassFault::OutOfMemory(error) => return self.out_of_memory(error),
            PassFault::Gone => {}
            PassFault::Lost => {
                let request = self.order.request;
                self.shared.handle.send(GatewayEvent::CallerGone { request });
            }
        }
        AttemptFault::Cancelled
    }
}
