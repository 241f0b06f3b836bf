//! Answering the polls of other entry VMs for the records that this VM has.

use super::*;

/// A poll of another VM whose answer is held back until a change or until the poll times out.
#[derive(Clone, Debug)]
pub(super) struct WaitingPoll {
    call: CallId,
    poll: RelayPoll,
    arrived: Millis,
}

impl WaitingPoll {
    /// Returns when the poll must be answered at the latest.
    pub(super) fn due(&self) -> Millis {
        self.arrived + self.poll.wait
    }
}

impl Gateway {
    /// Handles a poll of another VM: applies what it reports and queues it for an answer.
    pub(super) fn on_poll(&mut self, now: Millis, call: CallId, mut poll: RelayPoll) {
        self.relay.peers.record_message(now, &poll.from);
        let loads = std::mem::take(&mut poll.loads);
        match poll.purpose {
            PollPurpose::Records => {
                self.relay.peers.record_follower(now, &poll.from.vm);
                self.relay.loads.set_follower(now, &poll.from.vm, loads);
            }
            PollPurpose::Loads => {
                self.relay.loads.set_centre(now, &poll.from.data_centre, loads);
                self.relay.set_centre_vms(&poll.from.data_centre, poll.centre_vms);
            }
            PollPurpose::Greeting | PollPurpose::Permits => {}
        }
        self.apply_limit_reports(now, &poll.from.vm, &poll.limits.reports);
        self.apply_cold_reports(now, &poll.limits.cold);
        if poll.purpose.carries_news() {
            self.apply_held_sessions(poll.from.name(), &poll.held_sessions);
            self.apply_crashes(now, poll.from.name(), &poll.crashes);
            self.apply_leaving(&poll.from.vm, &poll.leaving);
        }
        self.record_offer(now, &poll);
        for evidence in &poll.evidence {
            match self.rollouts.get_mut(&evidence.pool) {
                Some(track) if poll.purpose == PollPurpose::Loads => {
                    track.update_evidence(evidence);
                }
                Some(track) => track.update_follower_evidence(evidence),
                None => {}
            }
        }
        self.relay.waiting.push(WaitingPoll { call, poll, arrived: now });
    }

    /// Records that the polling VM has newer operator records, if this VM does not read the store
    /// itself.
    fn record_offer(&mut self, now: Millis, poll: &RelayPoll) {
        /// Longer than a round trip to the polling VM plus the time for which an answer is held
        /// back.
        const MARGIN_MS: u64 = 300;
        let (Some(offered_age), false) = (poll.age, self.is_reading(now)) else { return };
        if self.lease.age(now).is_none_or(|age| age > offered_age + Millis(MARGIN_MS)) {
            self.relay.peers.record_offer(now, &poll.from.vm);
        }
    }

    /// Returns the VM that read this VM's records from the store: this one, or the origin of its
    /// source.
    fn origin(&self, now: Millis) -> Option<VmId> {
        if self.is_reading(now) {
            Some(self.identity.vm.clone())
        } else {
            self.relay.origin.clone()
        }
    }

    /// Answers the polls for which there is a change, or that have timed out.
    pub(super) fn answer_polls(&mut self, now: Millis) {
        let change = self.records.last_change();
        let Some(own) = self.relay.card.as_ref().map(PeerCard::name) else { return };
        let is_due = |waiting: &WaitingPoll| {
            let known = waiting.poll.known.as_ref().filter(|(name, _)| *name == own);
            let has_changes = known.is_none_or(|(_, known)| *known < change);
            let is_immediate = waiting.poll.purpose != PollPurpose::Records;
            is_immediate || has_changes || now >= waiting.due()
        };
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.relay.waiting).into_iter().partition(is_due);
        self.relay.waiting = waiting;
        for waiting in due {
            self.answer_poll(now, &own, waiting);
        }
    }

    fn answer_poll(&mut self, now: Millis, own: &PeerName, waiting: WaitingPoll) {
        let Some(from) = self.relay.card.clone() else { return };
        let WaitingPoll { call, poll, arrived } = waiting;
        let last_known = |known: Option<&(PeerName, u64)>| {
            known.filter(|(name, _)| name == own).map_or(0, |(_, last)| *last)
        };
        let common = RelayAnswer {
            from,
            change: self.records.last_change(),
            records: Vec::new(),
            held: now.since(arrived),
            operators: self.feed_age(now, StoreStream::Operators),
            servers: self.feed_age(now, StoreStream::Servers),
            loads: LoadTotals::default(),
            held_sessions: HeldSessionUpdate::default(),
            held_heard: self.held_positions.received_from(&poll.from.name()),
            crashes: CrashUpdate::default(),
            crashes_heard: self.crashes_received_from(&poll.from.name()),
            leaving: self.leaving_servers(),
            running: self.relay.start.running(now),
            centre_vms: 0,
            all_vms: 0,
            is_hub: self.relay.is_hub,
            lacks_store: self.lacks_store(now),
            origin: self.origin(now),
            cards: Vec::new(),
            limits: LimitReply {
                reports: self.limit_news(now),
                cold: self.cold_news(now),
                ..LimitReply::default()
            },
        };
        if poll.purpose == PollPurpose::Permits {
            let limits = self.permit_reply(now, &poll.from.vm, &poll.limits);
            let answer = Box::new(RelayAnswer { limits, ..common });
            self.emit(GatewayCommand::AnswerPeer { call, answer });
            return;
        }
        let held_sessions = || self.held.since(last_known(poll.held_known.as_ref()));
        let crashes =
            || self.crash_news(now, last_known(poll.crashes_known.as_ref()), &poll.from.vm);
        let (loads, own_loads) = (&self.relay.loads, || self.servers.own_loads());
        let answer = match poll.purpose {
            PollPurpose::Permits => common,
            PollPurpose::Greeting => RelayAnswer {
                cards: self.relay.peers.for_greeting(now, &poll.from.data_centre),
                ..common
            },
            PollPurpose::Records => RelayAnswer {
                records: self.records.since(last_known(poll.known.as_ref())),
                all_vms: self.known_vms(),
                loads: loads.all_but(now, &own_loads(), &poll.from.vm),
                held_sessions: held_sessions(),
                crashes: crashes(),
                ..common
            },
            PollPurpose::Loads => RelayAnswer {
                centre_vms: self.centre_vms(),
                loads: loads.of_centre(now, &own_loads()),
                held_sessions: held_sessions(),
                crashes: crashes(),
                ..common
            },
        };
        self.emit(GatewayCommand::AnswerPeer { call, answer: Box::new(answer) });
    }

    fn feed_age(&self, now: Millis, stream: StoreStream) -> Option<FeedAge> {
        let end = self.feeds.get(&stream)?.end()?;
        let age = match stream {
            StoreStream::Operators => self.lease.age(now)?,
            _ => now.since(self.relay.servers_read?),
        };
        Some(FeedAge { age, end })
    }
}
