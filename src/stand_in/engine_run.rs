//! The execution of one request by a fake engine, and its answer.

use super::*;
use {
    engine_stand_in::EngineHandler,
    fault_switches::pause,
    reply::{cut_connection, faulty_reply, reply},
};

/// One request that occupies a slot. Dropping it frees the slot, and counts the request as cancelled
/// if it has not finished.
pub(super) struct EngineRun {
    handler: Arc<EngineHandler>,
    slot: Option<SlotGuard>,
    finished: bool,
    id: String,
    version: SmolStr,
    question: String,
    prompt_tokens: u64,
    cached_tokens: u64,
    output_tokens: u64,
    pub(super) first_token: Duration,
}

impl EngineRun {
    pub(super) fn new(
        handler: Arc<EngineHandler>,
        slot: SlotGuard,
        request: &ChatRequest,
        prompt_bytes: usize,
        cached_bytes: usize,
    ) -> Self {
        let setup = &handler.setup;
        let fresh_tokens = ChatRequest::tokens(prompt_bytes - cached_bytes);
        Self {
            slot: Some(slot),
            finished: false,
            id: format!("chatcmpl-{}", handler.runs.started()),
            version: request.model.clone(),
            question: request.question().into(),
            prompt_tokens: ChatRequest::tokens(prompt_bytes),
            cached_tokens: ChatRequest::tokens(cached_bytes),
            output_tokens: request.output_tokens(setup.output_tokens),
            first_token: setup.first_token + setup.prompt_token * fresh_tokens as u32,
            handler,
        }
    }

    pub(super) async fn plain_answer(mut self, connection_faults: &ConnectionFaults) -> Answer {
        pause(self.next_token() * (self.output_tokens - 1) as u32).await;
        let fault = self.handler.faults.answer();
        if fault == AnswerFault::Stalled {
            std::future::pending::<()>().await;
        }
        self.finish();
        Ok(faulty_reply(fault, self.completion(), connection_faults))
    }

    pub(super) fn stream_answer(self, connection_faults: &ConnectionFaults) -> Response<ReplyBody> {
        let fault = self.handler.faults.answer();
        if matches!(fault, AnswerFault::NotHttp | AnswerFault::TooLong) {
            return faulty_reply(fault, self.completion(), connection_faults);
        }
        let stream = futures_util::stream::unfold(Some((self, 0)), move |state| async move {
            let (mut run, index) = state?;
            if index == run.output_tokens {
                run.finish();
                return Some((Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n"))), None));
            }
            if index > 0 {
                pause(run.next_token()).await;
            }
            if index > 0 && index == run.output_tokens / 2 {
                match fault {
                    AnswerFault::Stalled => std::future::pending().await,
                    AnswerFault::Truncated => return Some((cut_connection().await, None)),
                    AnswerFault::NotJson => {
                        let chunk = Bytes::from_static(b"data: %%% not JSON\n\n");
                        return Some((Ok(Frame::data(chunk)), Some((run, index + 1))));
                    }
                    _ => {}
                }
            }
            let chunk = run.chunk(index);
            Some((Ok(Frame::data(chunk)), Some((run, index + 1))))
        });
        reply(StatusCode::OK, "text/event-stream", BodyExt::boxed_unsync(StreamBody::new(stream)))
    }

    fn token(&self, index: u64) -> String {
        if index == 0 { format!("answer to: {}", self.question) } else { format!(" {index}") }
    }

    fn answer_text(&self) -> String {
        (0..self.output_tokens).map(|index| self.token(index)).collect()
    }

    fn usage(&self) -> serde_json::Value {
        serde_json::json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.output_tokens,
            "total_tokens": self.prompt_tokens + self.output_tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        })
    }

    fn completion(&self) -> Bytes {
        let message = serde_json::json!({"role": "assistant", "content": self.answer_text()});
        let body = serde_json::json!({
            "id": self.id,
            "object": "chat.completion",
            "model": self.version,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": self.usage(),
        });
        body.to_string().into()
    }

    fn chunk(&self, index: u64) -> Bytes {
        let last = index + 1 == self.output_tokens;
        let mut chunk = serde_json::json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": self.version,
            "choices": [{
                "index": 0,
                "delta": {"content": self.token(index)},
                "finish_reason": last.then_some("stop"),
            }],
        });
        if last {
            chunk["usage"] = self.usage();
        }
        format!("data: {chunk}\n\n").into()
    }

    fn next_token(&self) -> Duration {
        self.handler.faults.slowed(self.handler.setup.next_token)
    }

    fn finish(&mut self) {
        self.finished = true;
        self.handler.runs.finish();
    }
}

impl Drop for EngineRun {
    fn drop(&mut self) {
        drop(self.slot.take());
        if !self.finished {
            self.handler.runs.cancel();
        }
        let mut state = lock(&self.handler.state);
        state.record_load(&self.handler.slots, self.handler.setup.load_lag);
    }
}
