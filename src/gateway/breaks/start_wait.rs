use super::*;

/// Requests that arrived before a VM that has just started had its configuration.
///
/// If all VMs of a data centre start at once, callers reach them before any is ready. A VM has the
/// configuration a third of a second after its start, and a caller that is refused until then may
/// not ask a second time. Such requests therefore wait, but no longer than a start takes: while the
/// store is down they are refused at once again.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct StartWait {
    /// Until when requests wait.
    until: Option<Millis>,
    /// The waiting requests, oldest first, with the times of their arrival.
    held: Vec<(Millis, RoutedArrival)>,
}

impl StartWait {
    /// The time in which a VM that starts gets the configuration from a VM that has it or from the
    /// store, after it has looked for others.
    const START_MS: u64 = 600;
    /// The largest number of waiting requests; their bodies are in memory.
    const LIMIT: usize = 64;

    /// Records that the VM runs.
    pub(in super::super) fn begin(&mut self, now: Millis) {
        self.until.get_or_insert(now + Millis(Self::START_MS));
    }

    /// Returns when the requests no longer wait; none if none waits.
    pub(in super::super) fn next(&self) -> Option<Millis> {
        self.until.filter(|_| !self.held.is_empty())
    }

    /// Removes a request whose caller is gone.
    pub(in super::super) fn remove(&mut self, request: RequestNumber) {
        self.held.retain(|(_, arrival)| arrival.request != request);
    }

    fn may_hold(&self, now: Millis) -> bool {
        self.until.is_some_and(|until| now < until) && self.held.len() < Self::LIMIT
    }
}

impl Gateway {
    /// Lets a request wait if this VM has just started; returns it if it does not wait.
    pub(in super::super) fn hold_at_start(
        &mut self,
        now: Millis,
        arrival: RoutedArrival,
    ) -> Option<RoutedArrival> {
        if self.is_ready(now) || self.is_ending() || !self.start_wait.may_hold(now) {
            return Some(arrival);
        }
        tracing::info!(request = arrival.request.0, "waits for the configuration of this VM");
        self.start_wait.held.push((now, arrival));
        None
    }

    /// Admits the requests that waited for the configuration, or refuses them if it took too long.
    pub(in super::super) fn admit_held(&mut self, now: Millis) {
        let is_over = self.start_wait.next().is_some_and(|until| now >= until);
        if !(is_over || self.is_ready(now) || self.is_ending()) {
            return;
        }
        for (arrived, mut arrival) in std::mem::take(&mut self.start_wait.held) {
            let waited = now.since(arrived);
            arrival.deadline = arrival.deadline.map(|deadline| deadline.since(waited));
            self.admit_or_refuse(now, arrival);
        }
    }
}
