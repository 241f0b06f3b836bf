use super::*;

/// What a request's traffic task is to do.
#[derive(Clone, Debug)]
pub enum Directive {
    /// Start an attempt.
    Start(Box<AttemptStart>),
    /// Send a held attempt's answer to the caller.
    Release(AttemptId),
    /// Cancel an attempt and drop its answer.
    Cancel(AttemptId),
    /// Give the caller its final answer.
    Refuse(Refusal),
    /// Answer with the models that the team may use.
    ListModels(Vec<SmolStr>),
}

/// Where the control thread puts directives for one request.
pub type RequestMailbox = tokio::sync::mpsc::UnboundedSender<Directive>;
