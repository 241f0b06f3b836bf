//! Discovery of other entry VMs when a VM starts.
//!
//! Before a VM reads the store it greets a seed and learns which VMs there are. Otherwise, if
//! hundreds of VMs started at the same moment, each of them would read the whole store. If the seed
//! has only just started as well, the VM waits until the VMs that start at the same time have
//! greeted the seed too, and then greets it again.

use super::*;

/// Progress of this VM's discovery of others.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayStart {
    started: Option<Millis>,
    is_decided: bool,
    greetings: u32,
    greet_next: Millis,
    /// Number of consecutive greetings that were not answered.
    failures: u32,
}

impl RelayStart {
    /// How long a VM waits for others that start at the same time.
    const DISCOVERY_TIMEOUT_MS: u64 = 300;
    /// Time within which a VM that has started gets the records from another VM, if one has them.
    const RECENT_START_MS: u64 = 2_000;

    /// Returns whether discovery is complete, because another VM was found or the time for it is
    /// over.
    pub(super) const fn is_decided(&self) -> bool {
        self.is_decided
    }

    pub(super) const fn decide(&mut self) {
        self.is_decided = true;
    }

    /// Returns the time since the VM started; 0 before discovery has run for the first time.
    pub(super) fn running(&self, now: Millis) -> Millis {
        self.started.map_or(Millis(0), |started| now.since(started))
    }

    /// Returns whether the VM started so recently that others may still send it the store's
    /// records.
    pub(super) fn is_recent(&self, now: Millis) -> bool {
        self.started.is_some_and(|started| now.since(started).0 < Self::RECENT_START_MS)
    }

    fn is_waiting(&self, now: Millis) -> bool {
        self.started.is_none_or(|started| now.since(started).0 < Self::DISCOVERY_TIMEOUT_MS)
    }
}

impl Gateway {
    /// Times between greetings that are answered; the last one repeats. The second greeting finds
    /// VMs that have started at the same time.
    const GREETING_INTERVALS_MS: [u64; 4] = [150, 1_500, 4_000, 20_000];
    /// Retry interval while a VM that is starting gets no answer from a seed.
    const START_RETRY_MS: u64 = 40;
    /// Retry interval for a VM that has completed its start without finding others.
    const NO_PEERS_RETRY_MS: u64 = 500;
    /// Running time up to which a VM counts as just started.
    const JUST_STARTED_MS: u64 = 1_500;

    /// Returns when a seed is to be greeted, or when discovery ends without an answer.
    pub(super) fn greet_next(&self) -> Option<Millis> {
        let start = &self.relay.start;
        let greet = (!self.relay.seeds.is_empty()).then_some(start.greet_next);
        let decide = start.started.filter(|_| !start.is_decided);
        let decide = decide.map(|started| started + Millis(RelayStart::DISCOVERY_TIMEOUT_MS));
        greet.into_iter().chain(decide).min()
    }

    /// Greets the next seed if that is due, to announce this VM and learn the VMs of its data
    /// centre.
    pub(super) fn greet_seed(&mut self, now: Millis) {
        let Some(from) = self.relay.card.clone() else { return };
        self.relay.start.started.get_or_insert(now);
        if !self.relay.start.is_decided && !self.relay.start.is_waiting(now) {
            tracing::info!("discovery timed out; starting with the VMs known so far");
            self.relay.start.decide();
        }
        if now < self.relay.start.greet_next || self.relay.seeds.is_empty() {
            return;
        }
        let start = &mut self.relay.start;
        let greeting = start.greetings as usize;
        let last = Self::GREETING_INTERVALS_MS.len() - 1;
        start.greetings += 1;
        start.greet_next = now + Millis(Self::GREETING_INTERVALS_MS[greeting.min(last)]);
        // The first two greetings go to the same seed, so that VMs that start together find each
        // other there.
        let seed = greeting.saturating_sub(1) + start.failures as usize;
        let address = self.relay.seeds[seed % self.relay.seeds.len()];
        self.forget_silent_peers(now);
        let poll = RelayPoll::new(from, PollPurpose::Greeting);
        self.emit(GatewayCommand::AskPeer { peer: None, address, poll: Box::new(poll) });
    }

    /// Handles a seed's answer to a greeting, or a missing answer.
    pub(super) fn on_greeting(&mut self, now: Millis, answer: Option<&RelayAnswer>) {
        let start = &mut self.relay.start;
        let Some(answer) = answer else {
            start.failures = start.failures.saturating_add(1);
            if self.relay.peers.is_empty() {
                start.greetings = 0;
                let delay =
                    if start.is_decided { Self::NO_PEERS_RETRY_MS } else { Self::START_RETRY_MS };
                start.greet_next = now + Millis(delay);
            }
            return;
        };
        let is_seed_just_started = answer.running.0 < Self::JUST_STARTED_MS;
        if !start.is_decided && !is_seed_just_started {
            start.decide();
        }
    }
}
