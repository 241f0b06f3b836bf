use super::*;

/// How long an entry VM waits for a session's home VM before it asks the VM next in rank.
const PIN_WAIT_MS: u64 = 250;
/// The VMs that are asked for a session, by rank, before a request uses the version that this VM
/// proposes.
const PIN_CANDIDATES: usize = 2;
/// How long a home VM waits for the VM next in rank to answer a lookup.
const LOOKUP_WAIT_MS: u64 = 100;

/// The requests that wait for the version of their session, and the lookups of this VM as home.
#[derive(Debug, Default)]
pub(super) struct SessionWaits {
    /// Questions to the home VMs of sessions.
    asks: BTreeMap<SessionKey, PinAsk>,
    /// Questions to the VMs next in rank, by this VM as home.
    lookups: BTreeMap<SessionKey, PinLookup>,
}

/// A question to a session's home VM.
#[derive(Debug)]
struct PinAsk {
    /// The requests that wait for the answer.
    arrivals: Vec<Arrival>,
    proposal: VersionId,
    ended: Option<VersionId>,
    /// Why the earlier pin ended, for the answers to the callers.
    end: Option<SessionEnd>,
    /// The rank of the VM that is being asked.
    asked: usize,
    until: Millis,
}

/// A question to the VM next in rank, by this VM as home.
#[derive(Debug)]
struct PinLookup {
    /// The VMs that wait for the answer.
    askers: Vec<PeerName>,
    proposal: VersionId,
    ended: Option<VersionId>,
    until: Millis,
}

impl SessionWaits {
    /// Returns whether no request waits for the version of its session.
    pub(super) fn is_empty(&self) -> bool {
        self.asks.values().all(|ask| ask.arrivals.is_empty())
    }

    /// Removes a request whose caller is gone.
    pub(super) fn remove(&mut self, request: RequestNumber) {
        for ask in self.asks.values_mut() {
            ask.arrivals.retain(|arrival| arrival.request != request);
        }
    }
}

impl Control {
    /// Returns what is known about the session that a request names; none if it names no session or
    /// asks for no model.
    ///
    /// # Errors
    ///
    /// Refuses a request whose session id is empty or too long.
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
        if SessionToken::has_token_prefix(text) {
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

    /// Returns the version that a session token names, or why the session cannot continue with it.
    /// A token for another model is ignored.
    fn token_choice(
        &self,
        now: Millis,
        document: &ConfigurationDocument,
        team: &TeamId,
        selector: &str,
        text: &str,
    ) -> SessionChoice {
        let keys = &self.cluster.settings.session_keys;
        let token = match SessionToken::verify(keys, text, team, self.unix_time(now)) {
            Ok(token) => token,
            Err(error) => {
                tracing::info!(%team, %error, "session token rejected");
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

    /// Returns why a session cannot continue with a version; none if it can.
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

    /// Holds a request until the home VM of its session has answered, if the session has no version
    /// yet. Returns false if the request can continue at once.
    ///
    /// `planned` is the version that this VM would choose without a session.
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
            self.sessions.unpin(key, ended);
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
        self.settle_if_home(now, key);
        true
    }

    /// Asks the VM with the given rank for a session's version. If that is this VM and nothing
    /// waits for the answer, the next in rank gets a copy of the pin.
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

    /// Decides a session's version at once if this VM is its home or no VM is left to ask.
    fn settle_if_home(&mut self, now: Millis, key: SessionKey) {
        let Some(ask) = self.session_waits.asks.get(&key) else { return };
        let (proposal, ended, asked) = (ask.proposal.clone(), ask.ended.clone(), ask.asked);
        let ranked = self.peers.ranked(&self.identity.vm, &key.to_string());
        let home = ranked.get(asked);
        if asked >= PIN_CANDIDATES || home.is_none() {
            self.resume_session(now, key, &proposal);
        } else if *home.unwrap_or(&self.identity.vm) == self.identity.vm {
            let own = self.own_name();
            self.decide_pin(now, own, key, proposal, ended);
        }
    }

    /// As home VM, answers with the session's pin. Without a valid pin it first asks the VM next in
    /// rank, which may hold a copy.
    fn decide_pin(
        &mut self,
        now: Millis,
        asker: PeerName,
        key: SessionKey,
        proposal: VersionId,
        ended: Option<VersionId>,
    ) {
        if let Some(ended) = &ended {
            self.sessions.unpin(key, ended);
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
            None => self.finish_lookup(now, key, None),
        }
    }

    /// Sends a copy of a pin to the VM next in rank.
    fn copy_pin(&mut self, key: SessionKey, version: VersionId) {
        if let Some(next) = self.next_in_rank(key) {
            self.send(&next, PeerMessage::Pin(PinMessage::Copy { key, version }));
        }
    }

    /// Returns the first other VM among those asked for a session.
    fn next_in_rank(&self, key: SessionKey) -> Option<VmId> {
        let ranked = self.peers.ranked(&self.identity.vm, &key.to_string());
        ranked.into_iter().take(PIN_CANDIDATES).find(|vm| *vm != self.identity.vm)
    }

    /// As home VM, pins a session and answers the VMs that asked. The version found next in rank is
    /// used if it is valid, else the first asker's proposal.
    fn finish_lookup(&mut self, now: Millis, key: SessionKey, found: Option<VersionId>) {
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

    /// Answers a VM that asked for a session's version, which may be this VM.
    fn answer_pin(&mut self, now: Millis, asker: &PeerName, key: SessionKey, version: VersionId) {
        if asker.vm == self.identity.vm {
            self.resume_session(now, key, &version);
        } else {
            self.send(&asker.vm, PeerMessage::Pin(PinMessage::Answer { key, version }));
        }
    }

    /// Pins a session on this VM and continues the requests that waited for it.
    fn resume_session(&mut self, now: Millis, key: SessionKey, version: &VersionId) {
        self.sessions.pin(now, key, version.clone());
        let Some(ask) = self.session_waits.asks.remove(&key) else { return };
        for arrival in ask.arrivals {
            let version = Some(version.clone());
            let choice = SessionChoice { version, key: Some(key), end: ask.end };
            self.resume_arrival(now, arrival, choice);
        }
    }

    /// Handles a message about pins from a peer.
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
            PinMessage::Found { key, version } => self.finish_lookup(now, key, version),
        }
    }

    /// Handles the home VM's answer. If its version is known here to be withdrawn, the home VM is
    /// told so and asked again, once per version.
    fn on_pin_answer(&mut self, now: Millis, key: SessionKey, version: VersionId) {
        if !self.is_withdrawn(&version) {
            self.resume_session(now, key, &version);
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

    /// Ends lookups that have timed out, and asks the VM next in rank where the home VM has not
    /// answered in time.
    pub(super) fn tick_pins(&mut self, now: Millis) {
        let overdue: Vec<SessionKey> = self
            .session_waits
            .lookups
            .iter()
            .filter(|(_, lookup)| lookup.until <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in overdue {
            self.finish_lookup(now, key, None);
        }
        let overdue: Vec<SessionKey> = self
            .session_waits
            .asks
            .iter()
            .filter(|(_, ask)| ask.until <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in overdue {
            let Some(ask) = self.session_waits.asks.get_mut(&key) else { continue };
            ask.asked += 1;
            ask.until = now + Millis(PIN_WAIT_MS);
            let (asked, proposal, ended) = (ask.asked, ask.proposal.clone(), ask.ended.clone());
            if asked < PIN_CANDIDATES {
                self.ask_home(key, asked, proposal, ended);
            }
            self.settle_if_home(now, key);
        }
    }

    /// Returns a session token for the version that answers; none if the request names no session,
    /// for services, and without a secret.
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
            issued: self.unix_time(now),
        };
        token.sign(&self.cluster.settings.session_keys)
    }
}
