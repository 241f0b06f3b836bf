use super::*;

/// The time that an entry VM waits for a session's home VM before it asks the next in rank.
const PIN_WAIT_MS: u64 = 250;
/// The VMs in rank that are asked for a session before a request goes its own way.
const PIN_ASKED: usize = 2;
/// The time that a home VM waits for what the next in rank knows.
const LOOKUP_WAIT_MS: u64 = 100;

/// Requests that wait for the version of their session.
#[derive(Debug, Default)]
pub(super) struct SessionWaits {
    asks: BTreeMap<SessionKey, PinAsk>,
    lookups: BTreeMap<SessionKey, PinLookup>,
}

/// What this VM asks of a session's home VM.
#[derive(Debug)]
struct PinAsk {
    arrivals: Vec<Arrival>,
    proposal: VersionId,
    ended: Option<VersionId>,
    end: Option<SessionEnd>,
    asked: usize,
    until: Millis,
}

/// What this VM, as home, asks of the next in rank.
#[derive(Debug)]
struct PinLookup {
    askers: Vec<PeerName>,
    proposal: VersionId,
    ended: Option<VersionId>,
    until: Millis,
}

impl SessionWaits {
    pub(super) fn is_empty(&self) -> bool {
        self.asks.values().all(|ask| ask.arrivals.is_empty())
    }

    /// Drops a request whose caller is gone.
    pub(super) fn remove(&mut self, request: RequestNumber) {
        for ask in self.asks.values_mut() {
            ask.arrivals.retain(|arrival| arrival.request != request);
        }
    }
}

impl Control {
    /// Returns what holds for the session that a request names.
    pub(super) fn session_choice(
        &mut self,
        now: Millis,
        document: &ConfigurationDocument,
        team: &TeamId,
        arrival: &Arrival,
    ) -> Result<Option<SessionChoice>, Refusal> {
        let (Some(text), ArrivalTarget::Model(selector)) = (&arrival.session, &arrival.target)
        else {
            return Ok(None);
        };
        if SessionToken::claims(text) {
            let choice = self.token_choice(now, document, team, selector, text);
            return Ok(Some(choice));
        }
        if text.is_empty() || text.chars().count() > SessionKey::MAX_ID_CHARS {
            let message =
                "The header Guavapass-Session must be a token or an id of 1 to 128 characters.";
            return Err(Refusal::not_run(RefusalCode::BadRequest, message));
        }
        let key = SessionKey::of(team, selector, text);
        let mut choice = SessionChoice { key: Some(key), ..SessionChoice::default() };
        if let Some(version) = self.sessions.find(now, key) {
            match self.session_end(document, team, &version) {
                None => choice.version = Some(version),
                Some(end) => choice.end = Some(end),
            }
        }
        Ok(Some(choice))
    }

    fn token_choice(
        &self,
        now: Millis,
        document: &ConfigurationDocument,
        team: &TeamId,
        selector: &str,
        text: &str,
    ) -> SessionChoice {
        let keys = &self.cluster.settings.session_keys;
        let token = match SessionToken::open(keys, text, team, self.unix(now)) {
            Ok(token) => token,
            Err(error) => {
                tracing::info!(%team, %error, "session token not obeyed");
                return SessionChoice { end: Some(error.into()), ..SessionChoice::default() };
            }
        };
        match self.session_end(document, team, &token.version) {
            Some(end) => SessionChoice { end: Some(end), ..SessionChoice::default() },
            None if Self::selects(selector, &token.version) => {
                SessionChoice { version: Some(token.version), ..SessionChoice::default() }
            }
            None => SessionChoice::default(),
        }
    }

    /// Returns why a session cannot go on with a version, if it cannot.
    fn session_end(
        &self,
        document: &ConfigurationDocument,
        team: &TeamId,
        version: &VersionId,
    ) -> Option<SessionEnd> {
        if self.is_withdrawn(version) {
            return Some(SessionEnd::Withdrawn);
        }
        let allowed = document.teams.get(team).is_some_and(|entry| entry.allows(version));
        (!allowed).then_some(SessionEnd::NotAllowed)
    }

    /// Returns whether a request has to wait for its session's home VM; it is held if so.
    ///
    /// `planned` is the version that this VM would choose on its own.
    pub(super) fn hold_for_pin(
        &mut self,
        now: Millis,
        arrival: &Arrival,
        choice: &SessionChoice,
        planned: &VersionId,
    ) -> bool {
        let Some(key) = choice.key else { return false };
        if choice.version.is_some() {
            if self.sessions.refresh(now, key) {
                self.ask_home(key, 0, planned.clone(), None);
            }
            return false;
        }
        let ended = choice.end.and_then(|_| self.sessions.find(now, key));
        if let Some(ended) = &ended {
            self.sessions.end(key, ended);
        }
        if let Some(ask) = self.session_waits.asks.get_mut(&key) {
            ask.arrivals.push(arrival.clone());
            return true;
        }
        let ask = PinAsk {
            arrivals: vec![arrival.clone()],
            proposal: planned.clone(),
            ended: ended.clone(),
            end: choice.end,
            asked: 0,
            until: now + Millis(PIN_WAIT_MS),
        };
        self.session_waits.asks.insert(key, ask);
        self.ask_home(key, 0, planned.clone(), ended);
        self.settle_own(now, key);
        true
    }

    /// Asks the VM of a rank for a session; if that is this VM, the next one gets a copy of the pin.
    fn ask_home(
        &mut self,
        key: SessionKey,
        rank: usize,
        proposal: VersionId,
        ended: Option<VersionId>,
    ) {
        let ranked = self.peers.ranked(&self.identity.vm, &key.to_string());
        if let Some(home) = ranked.get(rank)
            && *home != self.identity.vm
        {
            let message = PinMessage::Ask { key, proposal, ended };
            self.send(home, PeerMessage::Pin(message));
        } else if !self.session_waits.asks.contains_key(&key) {
            self.copy_pin(key, proposal);
        }
    }

    /// Decides a session at once if this VM is its home or no other VM is left to ask.
    fn settle_own(&mut self, now: Millis, key: SessionKey) {
        let Some(ask) = self.session_waits.asks.get(&key) else { return };
        let (proposal, ended, asked) = (ask.proposal.clone(), ask.ended.clone(), ask.asked);
        let ranked = self.peers.ranked(&self.identity.vm, &key.to_string());
        let home = ranked.get(asked);
        if asked >= PIN_ASKED || home.is_none() {
            self.settle_pin(now, key, &proposal);
        } else if *home.unwrap_or(&self.identity.vm) == self.identity.vm {
            let own = self.name();
            self.decide_pin(now, own, key, proposal, ended);
        }
    }

    /// As home VM, answers an asker, after the next in rank said what it knows.
    fn decide_pin(
        &mut self,
        now: Millis,
        asker: PeerName,
        key: SessionKey,
        proposal: VersionId,
        ended: Option<VersionId>,
    ) {
        if let Some(ended) = &ended {
            self.sessions.end(key, ended);
        }
        if let Some(version) = self.sessions.find(now, key)
            && !self.is_withdrawn(&version)
        {
            self.copy_pin(key, version.clone());
            self.answer_pin(now, &asker, key, version);
            return;
        }
        if let Some(lookup) = self.session_waits.lookups.get_mut(&key) {
            if !lookup.askers.contains(&asker) {
                lookup.askers.push(asker);
            }
            return;
        }
        let until = now + Millis(LOOKUP_WAIT_MS);
        let lookup = PinLookup { askers: vec![asker], proposal, ended, until };
        self.session_waits.lookups.insert(key, lookup);
        match self.next_in_rank(key) {
            Some(next) => self.send(&next, PeerMessage::Pin(PinMessage::Lookup { key })),
            None => self.end_lookup(now, key, None),
        }
    }

    /// Hands a copy of a pin to the next in rank.
    fn copy_pin(&mut self, key: SessionKey, version: VersionId) {
        if let Some(next) = self.next_in_rank(key) {
            self.send(&next, PeerMessage::Pin(PinMessage::Copy { key, version }));
        }
    }

    fn next_in_rank(&self, key: SessionKey) -> Option<VmId> {
        let ranked = self.peers.ranked(&self.identity.vm, &key.to_string());
        ranked.into_iter().take(PIN_ASKED).find(|vm| *vm != self.identity.vm)
    }

    /// As home VM, pins a session and answers all who asked.
    fn end_lookup(&mut self, now: Millis, key: SessionKey, found: Option<VersionId>) {
        let Some(lookup) = self.session_waits.lookups.remove(&key) else { return };
        let valid = |version: &VersionId| {
            Some(version) != lookup.ended.as_ref() && !self.is_withdrawn(version)
        };
        let version = found.filter(valid).unwrap_or(lookup.proposal);
        self.sessions.pin(now, key, version.clone());
        self.copy_pin(key, version.clone());
        for asker in lookup.askers {
            self.answer_pin(now, &asker, key, version.clone());
        }
    }

    fn answer_pin(&mut self, now: Millis, asker: &PeerName, key: SessionKey, version: VersionId) {
        if asker.vm == self.identity.vm {
            self.settle_pin(now, key, &version);
        } else {
            self.send(&asker.vm, PeerMessage::Pin(PinMessage::Answer { key, version }));
        }
    }

    /// Pins a session here and lets the requests that waited for it go on.
    fn settle_pin(&mut self, now: Millis, key: SessionKey, version: &VersionId) {
        self.sessions.pin(now, key, version.clone());
        let Some(ask) = self.session_waits.asks.remove(&key) else { return };
        for arrival in ask.arrivals {
            let version = Some(version.clone());
            let choice = SessionChoice { version, key: Some(key), end: ask.end };
            self.resume_arrival(now, arrival, choice);
        }
    }

    pub(super) fn on_pin(&mut self, now: Millis, from: &PeerName, message: PinMessage) {
        match message {
            PinMessage::Ask { key, proposal, ended } => {
                self.decide_pin(now, from.clone(), key, proposal, ended);
            }
            PinMessage::Answer { key, version } => self.on_pin_answer(now, key, version),
            PinMessage::Copy { key, version } => self.sessions.pin(now, key, version),
            PinMessage::Lookup { key } => {
                let version = self.sessions.find(now, key);
                let message = PinMessage::Found { key, version };
                self.send(&from.vm, PeerMessage::Pin(message));
            }
            PinMessage::Found { key, version } => self.end_lookup(now, key, version),
        }
    }

    fn on_pin_answer(&mut self, now: Millis, key: SessionKey, version: VersionId) {
        if !self.is_withdrawn(&version) {
            self.settle_pin(now, key, &version);
            return;
        }
        let Some(ask) = self.session_waits.asks.get_mut(&key) else { return };
        if ask.ended.as_ref() != Some(&version) {
            ask.ended = Some(version.clone());
            ask.end = Some(SessionEnd::Withdrawn);
            let (asked, proposal) = (ask.asked, ask.proposal.clone());
            self.ask_home(key, asked, proposal, Some(version));
        }
    }

    /// Goes on where an answer has not come in time.
    pub(super) fn tick_pins(&mut self, now: Millis) {
        let late: Vec<SessionKey> = self
            .session_waits
            .lookups
            .iter()
            .filter(|(_, lookup)| lookup.until <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            self.end_lookup(now, key, None);
        }
        let late: Vec<SessionKey> = self
            .session_waits
            .asks
            .iter()
            .filter(|(_, ask)| ask.until <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            let Some(ask) = self.session_waits.asks.get_mut(&key) else { continue };
            ask.asked += 1;
            ask.until = now + Millis(PIN_WAIT_MS);
            let (asked, proposal, ended) = (ask.asked, ask.proposal.clone(), ask.ended.clone());
            if asked < PIN_ASKED {
                self.ask_home(key, asked, proposal, ended);
            }
            self.settle_own(now, key);
        }
    }

    /// Returns the token for an answer of a version, if the request names a session.
    pub(super) fn session_token(
        &self,
        now: Millis,
        request: RequestNumber,
        target: &WorkTarget,
    ) -> Option<SmolStr> {
        let state = self.requests.get(&request)?;
        state.session.as_ref()?;
        let WorkTarget::Version(version) = target else { return None };
        let token = SessionToken {
            team: state.profile.team.clone(),
            version: version.clone(),
            issued: self.unix(now),
        };
        token.seal(&self.cluster.settings.session_keys)
    }
}
