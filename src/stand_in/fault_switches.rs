//! Fault injection for the answers of a fake server.

use super::*;

/// A fault of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerFault {
    /// The answer is correct.
    #[default]
    None,
    /// The connection closes in the middle of the body.
    Truncated,
    /// The body, or one event of a stream, is not JSON.
    NotJson,
    /// The bytes sent are not HTTP.
    NotHttp,
    /// The body is longer than the stated content length.
    TooLong,
    /// The answer stops or never starts, and the connection stays open.
    Stalled,
}

/// The faults that a test has switched on; none by default.
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
    /// Sets whether every request is refused with status 503.
    pub fn set_outage(&self, outage: bool) {
        lock(&self.state).outage = outage;
    }

    /// Loses the answers to the next `count` requests: the requests take effect, but their
    /// connections are closed without an answer.
    pub fn lose_next_answers(&self, count: u32) {
        lock(&self.state).lost_answers = count;
    }

    /// Sets an additional delay of each answer.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Sets a factor for the time that work takes; 1 is the normal speed.
    pub fn set_slow_factor(&self, factor: f64) {
        lock(&self.state).slow_factor = Some(factor);
    }

    /// Sets the fault of all following answers.
    pub fn set_answer(&self, answer: AnswerFault) {
        lock(&self.state).answer = answer;
    }

    /// Makes every request whose body contains `marker` crash the server, which restarts after
    /// `restart_after`, or stays down if that is `None`. An empty marker disables the fault.
    pub fn set_crash_marker(&self, marker: &str, restart_after: Option<Duration>) {
        let mut state = lock(&self.state);
        state.crash_marker = Some(marker.into());
        state.restart_after = restart_after;
    }

    pub(super) fn outage(&self) -> bool {
        lock(&self.state).outage
    }

    /// Returns whether the current answer must be lost, and decrements the number of answers to
    /// lose.
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

    /// Returns whether a request body contains the marker that crashes the server.
    pub(super) fn crashes(&self, body: &[u8]) -> bool {
        let state = lock(&self.state);
        let Some(marker) = state.crash_marker.as_ref().filter(|marker| !marker.is_empty()) else {
            return false;
        };
        body.windows(marker.len()).any(|window| window == marker.as_bytes())
    }

    /// Crashes the server from its own thread and schedules its restart, if one is set. Never
    /// returns: the caller is dropped with its connection.
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

/// Sleeps for a time; returns immediately, without a timer, if it is zero.
pub(super) async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}
