//! Finding other entry VMs.
//!
//! A VM that starts greets a seed before it reads the store, and learns who is there. The load
//! pattern that this answers: hundreds of VMs that start at the same moment, each of which would
//! read all of the store. If the seed has just started as well, the VM waits until those that start
//! with it have greeted the seed too, and greets it again.

use super::*;

/// How far the start of a VM is.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayStart {
    begun: Option<Millis>,
    is_decided: bool,
    greetings: u32,
    greet_next: Millis,
    /// The greetings in a row that were not answered.
    failures: u32,
}

impl RelayStart {
    /// How long a VM waits for others that start at the same time.
    const SETTLE_MS: u64 = 300;
    /// The time after which a VM has learned what the store has, if another one can tell.
    const LEARN_MS: u64 = 2_000;

    /// Returns whether the VM has found others, or given up.
    pub(super) const fn is_decided(&self) -> bool {
        self.is_decided
    }

    pub(super) const fn decide(&mut self) {
        self.is_decided = true;
    }

    /// Returns how long the VM has been running.
    pub(super) fn running(&self, now: Millis) -> Millis {
        self.begun.map_or(Millis(0), |begun| now.since(begun))
    }

    /// Returns whether the VM has started so lately that others may tell it yet what the store has.
    pub(super) fn is_recent(&self, now: Millis) -> bool {
        self.begun.is_some_and(|begun| now.since(begun).0 < Self::LEARN_MS)
    }

    fn is_settling(&self, now: Millis) -> bool {
        self.begun.is_none_or(|begun| now.since(begun).0 < Self::SETTLE_MS)
    }
}

impl Gateway {
    /// The pauses between the greetings of seeds that answer. The second one finds VMs that have
    /// started with this one.
    const GREETINGS_MS: [u64; 4] = [150, 1_500, 4_000, 20_000];
    /// The pause after a seed has not answered a VM that starts.
    const GREET_AGAIN_MS: u64 = 40;
    /// The pause after a seed has not answered a VM that has started without others.
    const LONELY_MS: u64 = 500;
    /// The time for which a VM counts as just started.
    const COLD_MS: u64 = 1_500;

    /// Returns when a seed is greeted, or the start is decided without one.
    pub(super) fn greet_next(&self) -> Option<Millis> {
        let start = &self.relay.start;
        let greet = (!self.relay.seeds.is_empty()).then_some(start.greet_next);
        let decide = start.begun.filter(|_| !start.is_decided);
        let decide = decide.map(|begun| begun + Millis(RelayStart::SETTLE_MS));
        greet.into_iter().chain(decide).min()
    }

    /// Tells a seed about this VM, and learns the VMs of its data centre.
    pub(super) fn greet_seed(&mut self, now: Millis) {
        let Some(from) = self.relay.card.clone() else { return };
        self.relay.start.begun.get_or_insert(now);
        if !self.relay.start.is_decided && !self.relay.start.is_settling(now) {
            tracing::info!("start decided with the VMs that are known");
            self.relay.start.decide();
        }
        if now < self.relay.start.greet_next || self.relay.seeds.is_empty() {
            return;
        }
        let start = &mut self.relay.start;
        let turn = start.greetings as usize;
        let last = Self::GREETINGS_MS.len() - 1;
        start.greetings += 1;
        start.greet_next = now + Millis(Self::GREETINGS_MS[turn.min(last)]);
        // The first two greetings go to the same seed, so that VMs that start together meet there.
        let seed = turn.saturating_sub(1) + start.failures as usize;
        let address = self.relay.seeds[seed % self.relay.seeds.len()];
        self.forget_silent_peers(now);
        let poll = RelayPoll::new(from, PollPurpose::Greeting);
        self.emit(GatewayCommand::AskPeer { peer: None, address, poll: Box::new(poll) });
    }

    /// Takes in a seed's answer.
    pub(super) fn on_greeting(&mut self, now: Millis, answer: Option<&RelayAnswer>) {
        let start = &mut self.relay.start;
        let Some(answer) = answer else {
            start.failures = start.failures.saturating_add(1);
            if self.relay.peers.is_empty() {
                start.greetings = 0;
                let pause = if start.is_decided { Self::LONELY_MS } else { Self::GREET_AGAIN_MS };
                start.greet_next = now + Millis(pause);
            }
            return;
        };
        let is_cold = answer.running.0 < Self::COLD_MS;
        if !start.is_decided && !is_cold {
            start.decide();
        }
    }
}
