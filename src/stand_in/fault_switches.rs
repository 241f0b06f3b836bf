//! Faults of a stand-in's answers.

use super::*;

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerFault {
    /// Nothing.
    #[default]
    None,
    /// Its connection closes in the middle.
    Truncated,
    /// Its body is not JSON.
    NotJson,
    /// It is not HTTP.
    NotHttp,
    /// It is longer than the length that it states.
    TooLong,
    /// It stops in the middle, and the connection stays open.
    Stalled,
}

/// The faults that tests switch on.
#[derive(Debug, Default)]
pub struct FaultSwitches {
    state: Mutex<SwitchState>,
}

#[derive(Clone, Debug, Default)]
struct SwitchState {
    outage: bool,
    lost_answers: u32,
    delay: Duration,
    slow_factor: Option<f64>,
    answer: AnswerFault,
    crash_marker: Option<SmolStr>,
    restart_after: Option<Duration>,
}

impl FaultSwitches {
    /// Sets whether every request is refused with 503.
    pub fn set_outage(&self, outage: bool) {
        lock(&self.state).outage = outage;
    }

    /// Lets the next requests take effect and closes their connections without an answer.
    pub fn lose_next_answers(&self, count: u32) {
        lock(&self.state).lost_answers = count;
    }

    /// Delays each answer.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Multiplies the time that work takes.
    pub fn set_slow_factor(&self, factor: f64) {
        lock(&self.state).slow_factor = Some(factor);
    }

    /// Sets what is wrong with answers.
    pub fn set_answer(&self, answer: AnswerFault) {
        lock(&self.state).answer = answer;
    }

    /// Lets any request whose body contains the marker crash the server, which then restarts
    /// after a time, or not at all.
    pub fn set_crash_marker(&self, marker: &str, restart_after: Option<Duration>) {
        let mut state = lock(&self.state);
        state.crash_marker = Some(marker.into());
        state.restart_after = restart_after;
    }

    pub(super) fn outage(&self) -> bool {
        lock(&self.state).outage
    }

    /// Returns whether this answer is to be lost, and counts it.
    pub(super) fn take_lost_answer(&self) -> bool {
        let mut state = lock(&self.state);
        let lost = state.lost_answers > 0;
        state.lost_answers = state.lost_answers.saturating_sub(1);
        lost
    }

    pub(super) fn delay(&self) -> Duration {
        lock(&self.state).delay
    }

    pub(super) fn slowed(&self, time: Duration) -> Duration {
        lock(&self.state).slow_factor.map_or(time, |factor| time.mul_f64(factor))
    }

    pub(super) fn answer(&self) -> AnswerFault {
        lock(&self.state).answer
    }

    /// Returns the command that crashes the server, if the body has the marker.
    pub(super) fn crashes(&self, body: &[u8]) -> bool {
        let state = lock(&self.state);
        let Some(marker) = state.crash_marker.as_ref().filter(|marker| !marker.is_empty()) else {
            return false;
        };
        body.windows(marker.len()).any(|window| window == marker.as_bytes())
    }

    /// Crashes the server from its own thread and restarts it if so set.
    pub(super) async fn crash(&self, commands: &mpsc::UnboundedSender<HostCommand>) {
        let restart_after = lock(&self.state).restart_after;
        let commands = commands.clone();
        let _ = commands.send(HostCommand { state: HostState::Down, done: None });
        if let Some(time) = restart_after {
            tokio::spawn(async move {
                tokio::time::sleep(time).await;
                let _ = commands.send(HostCommand { state: HostState::Up, done: None });
            });
        }
        std::future::pending::<()>().await;
    }
}

/// Waits, without a timer if there is nothing to wait for.
pub(super) async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}
