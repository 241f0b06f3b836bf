//! Permits to send requests to backend servers that have a limit.
//!
//! Each request to such a server needs a permit, whatever it is sent for: [`Gateway::start`] is the
//! only place that sends, and uses one up. The hub of the server's data centre issues the permits at
//! the rate that the server has named. VMs in need of permits ask it, at a pace that depends on how
//! many VMs ask: the messages at an issuer are bounded whatever the size of the fleet. Permits go
//! first to VMs at which requests wait.
//!
//! No agreement between the VMs is needed. Only a hub with a quorum of followers issues the whole
//! limit. VMs that cannot reach it ask the next rank, or the hub of another data centre, and a VM
//! that reaches no other issues its own permits; all of these issue a fraction, as the hub with the
//! quorum may still be running. The sum over the parts of a fleet that is cut apart thus stays below
//! what a server in need can bear.
//!
//! Dividing the rate evenly among the VMs instead would leave most of it unused, since a VM of
//! hundreds before a server that accepts one request per second would rarely have a request when
//! its turn comes, and would exceed the limit as soon as all VMs have saved up a request each.

use super::*;

impl Gateway {
    /// The fraction of a limit that VMs may issue in place of an issuer that they cannot reach.
    const DEPUTY_SHARE: f64 = 0.25;
    /// Why a stream that waited for a permit is broken off.
    pub(super) const NO_PERMIT_REASON: &str = "no server may resume the stream";
    /// The largest number of servers in one request for permits.
    const MAX_DEMANDS: usize = 16;
    /// The largest number of permits to ask for ahead.
    const MAX_AHEAD: f64 = 64.0;
    /// A pool with a lower rate of requests asks for no permits ahead, as they would expire.
    const MIN_AHEAD_RATE: RequestsPerSecond = RequestsPerSecond(0.5);
    /// The time for which a VM counts as asking for permits, as a multiple of its interval.
    const ASKER_INTERVALS: u64 = 3;
    const MIN_ASKER_MS: u64 = 1_000;

    /// Counts a request that needs a server of a pool.
    pub(super) fn count_request(&mut self, now: Millis, pool: &PoolId) {
        if let Some(rate) = self.limits.rates.get_mut(pool) {
            rate.record(now);
        } else {
            let mut rate = RequestRate::default();
            rate.record(now);
            self.limits.rates.insert(pool.clone(), rate);
        }
    }

    /// Asks for permits where they are needed.
    pub(super) fn ask_permits(&mut self, now: Millis) {
        if self.limits.servers.is_empty() || now < self.limits.next_ask {
            return;
        }
        self.forget_lifted_limits(now);
        let needs = self.permit_needs(now);
        self.limits.next_ask = self.next_ask(now, &needs);
        for need in needs {
            if !self.is_due(now, &need) {
                continue;
            }
            match need.issuer {
                Some(card) => self.send_permit_query(now, &card, need.demands),
                None => self.issue_own_permits(now, &need.demands),
            }
        }
    }

    /// Returns when [`Self::ask_permits`] is due next; none if no server has a limit.
    pub(super) fn permits_next(&self) -> Option<Millis> {
        (!self.limits.servers.is_empty()).then_some(self.limits.next_ask)
    }

    fn next_ask(&self, now: Millis, needs: &[IssuerNeed]) -> Millis {
        /// The least time between two looks at what is needed.
        const MIN_PAUSE_MS: u64 = 10;
        /// The time after which a VM that needs nothing looks again.
        const MAX_PAUSE_MS: u64 = 200;
        let asked = needs.iter().map(|need| (self.asked_issuer(need), need));
        let idle = asked.filter(|(asked, _)| !asked.is_pending());
        let due = idle.map(|(asked, need)| asked.next(need.rate, need.has_waiting));
        let due = due.min().unwrap_or(Millis::MAX);
        due.max(now + Millis(MIN_PAUSE_MS)).min(now + Millis(MAX_PAUSE_MS))
    }

    fn is_due(&self, now: Millis, need: &IssuerNeed) -> bool {
        let asked = self.asked_issuer(need);
        !asked.is_pending() && now >= asked.next(need.rate, need.has_waiting)
    }

    fn asked_issuer(&self, need: &IssuerNeed) -> AskedIssuer {
        let vm = need.issuer.as_ref().map_or(&self.identity.vm, |card| &card.vm);
        self.limits.asked.get(vm).copied().unwrap_or_default()
    }

    /// Returns the permits that this VM needs, by issuer.
    fn permit_needs(&self, now: Millis) -> Vec<IssuerNeed> {
        let mut pools: BTreeMap<&PoolId, PermitDemand> = BTreeMap::new();
        let mut issuers: BTreeMap<&DataCentreId, Option<PeerCard>> = BTreeMap::new();
        let mut needs: BTreeMap<Option<VmId>, IssuerNeed> = BTreeMap::new();
        for (tag, id) in &self.limits.servers {
            let Some(server) = self.servers.get(id).filter(|server| server.is_open()) else {
                continue;
            };
            let Some(rate) = server.limit.rate() else { continue };
            let pool = &server.entry.pool;
            let demand = *pools.entry(pool).or_insert_with(|| self.demand_per_server(now, pool));
            let held = server.permits.count(now);
            let demand = PermitDemand {
                server: *tag,
                waiting: demand.waiting.saturating_sub(held),
                ahead: demand.ahead.saturating_sub(held),
                ..demand
            };
            if demand.waiting + demand.ahead == 0 {
                continue;
            }
            let centre = &server.entry.data_centre;
            let issuer = issuers.entry(centre).or_insert_with(|| self.permit_issuer(now, centre));
            let need = needs.entry(issuer.as_ref().map(|card| card.vm.clone())).or_default();
            need.issuer.clone_from(issuer);
            need.add(demand, rate);
        }
        needs.into_values().collect()
    }

    /// Returns the permits that this VM needs for each server of a pool that has a limit: an equal
    /// part of what it needs for the pool.
    fn demand_per_server(&self, now: Millis, pool: &PoolId) -> PermitDemand {
        let is_limited = |server: &&BackendServer| server.limit.rate().is_some();
        let limited = self.servers.open(pool).filter(is_limited).count().max(1) as u32;
        let open = self.servers.open(pool).count().max(1) as u32;
        let waiting = self.limits.waiting.get(pool).map_or(0, BTreeSet::len) as u32;
        let rate = self.limits.rates.get(pool).map(|rate| rate.get(now)).unwrap_or_default();
        let per_server = rate.0 / f64::from(open);
        // Without a permit, a request goes to a server without a limit, or waits if there is none.
        let ahead = if limited < open { per_server.ceil() } else { per_server.floor() };
        let ahead = if rate < Self::MIN_AHEAD_RATE { 0.0 } else { ahead.min(Self::MAX_AHEAD) };
        PermitDemand {
            waiting: waiting.div_ceil(limited),
            backlog: waiting as f32 / limited as f32,
            ahead: ahead as u32,
            ..PermitDemand::default()
        }
    }

    fn send_permit_query(&mut self, now: Millis, card: &PeerCard, mut demands: Vec<PermitDemand>) {
        let Some(from) = self.relay.card.clone() else { return };
        // Servers for which requests wait go first; the others take turns.
        let start = (self.draw() * demands.len() as f64) as usize;
        let start = start.min(demands.len());
        demands.rotate_left(start);
        demands.sort_by_key(|demand| demand.waiting == 0);
        demands.truncate(Self::MAX_DEMANDS);
        self.limits.asked.entry(card.vm.clone()).or_default().start(now);
        let reports = self.reports_of(now, demands.iter().map(|demand| demand.server));
        let limits = LimitQuery { reports, demands };
        let poll = RelayPoll { limits, ..RelayPoll::new(from, PollPurpose::Permits) };
        let (peer, address) = (Some(card.vm.clone()), card.address);
        self.emit(GatewayCommand::AskPeer { peer, address, poll: Box::new(poll) });
    }

    fn issue_own_permits(&mut self, now: Millis, demands: &[PermitDemand]) {
        let own = self.identity.vm.clone();
        let asked = self.limits.asked.entry(own.clone()).or_default();
        asked.start(now);
        let grants = self.issue_permits(now, &own, demands);
        let askers = self.count_askers(now);
        self.limits.asked.entry(own).or_default().end(askers);
        self.use_grants(now, &grants);
    }

    /// Handles the issuer's answer to a request for permits.
    pub(super) fn on_permit_answer(
        &mut self,
        now: Millis,
        peer: &VmId,
        answer: Option<&RelayAnswer>,
    ) {
        let askers = answer.map_or(0, |answer| answer.limits.askers);
        self.limits.asked.entry(peer.clone()).or_default().end(askers);
        match answer {
            Some(answer) => self.use_grants(now, &answer.limits.grants),
            None => self.relay.peers.record_timeout(now, peer),
        }
    }

    fn use_grants(&mut self, now: Millis, grants: &[PermitGrant]) {
        for grant in grants {
            let Some(id) = self.limits.servers.get(&grant.server) else { continue };
            self.limits.expected.insert(grant.server, now + grant.wait);
            if let Some(server) = self.servers.get_mut(id) {
                server.permits.add(now, grant.permits);
            }
        }
        self.start_waiting_for_permits(now);
    }

    /// Returns the answer to another VM's request for permits.
    pub(super) fn permit_reply(
        &mut self,
        now: Millis,
        from: &VmId,
        query: &LimitQuery,
    ) -> LimitReply {
        let grants = self.issue_permits(now, from, &query.demands);
        let reports = self.reports_of(now, query.demands.iter().map(|demand| demand.server));
        LimitReply { reports, grants, askers: self.count_askers(now) }
    }

    fn issue_permits(
        &mut self,
        now: Millis,
        vm: &VmId,
        demands: &[PermitDemand],
    ) -> Vec<PermitGrant> {
        self.limits.askers.insert(vm.clone(), now);
        let mut grants = Vec::new();
        for demand in demands {
            let Some(server) = self.server_of_tag(demand.server) else { continue };
            let Some(rate) = server.limit.rate() else {
                // As far as this VM knows, the limit has been lifted.
                let (permits, wait) = (demand.waiting + demand.ahead, Millis(0));
                grants.push(PermitGrant { server: demand.server, permits, wait });
                continue;
            };
            let rate =
                RequestsPerSecond(rate.0 * self.issued_share(now, &server.entry.data_centre));
            let issuer = self.limits.issuers.entry(demand.server);
            let issuer = issuer.or_insert_with(|| PermitIssuer::new(now));
            let permits = issuer.issue(now, rate, vm, demand);
            let wait = issuer.wait(rate);
            grants.push(PermitGrant { server: demand.server, permits, wait });
            tracing::debug!(
                server = ?demand.server,
                %vm,
                waiting = demand.waiting,
                ahead = demand.ahead,
                permits,
                wait_ms = wait.0,
                rate_per_s = rate.0,
                "permits issued"
            );
        }
        grants
    }

    fn server_of_tag(&self, tag: ServerTag) -> Option<&BackendServer> {
        if let Some(id) = self.limits.servers.get(&tag) {
            return self.servers.get(id);
        }
        self.servers.iter().find(|server| ServerTag::from(&server.entry.id) == tag)
    }

    /// Returns the number of VMs that ask this one for permits.
    fn count_askers(&mut self, now: Millis) -> u32 {
        let interval = self.limits.askers.len() as u64 * AskedIssuer::SHARED_INTERVAL_MS as u64;
        let expiry = (interval * Self::ASKER_INTERVALS).max(Self::MIN_ASKER_MS);
        self.limits.askers.retain(|_, asked| now.since(*asked).0 < expiry);
        self.limits.askers.len() as u32
    }

    fn reports_of(&self, now: Millis, tags: impl Iterator<Item = ServerTag>) -> Vec<LimitReport> {
        let servers = tags.filter_map(|tag| self.server_of_tag(tag));
        servers.map(|server| server.limit_report(now)).collect()
    }

    /// Returns the VM that issues the permits for the servers of a data centre; none if it is this
    /// one.
    pub(super) fn permit_issuer(&self, now: Millis, servers: &DataCentreId) -> Option<PeerCard> {
        let own = self.relay.card.as_ref()?;
        let peers = &self.relay.peers;
        for centre in self.issuing_centres(servers) {
            if centre == own.data_centre {
                return peers.hub(now, own).cloned();
            }
            if let Some(card) = peers.first_rank(now, &centre) {
                return Some(card.clone());
            }
        }
        None
    }

    /// Returns the data centres whose hubs may issue permits for the servers of a data centre: that
    /// one first, if it has VMs, then the others in an order that all VMs share.
    fn issuing_centres(&self, servers: &DataCentreId) -> Vec<DataCentreId> {
        let mut centres = self.relay.peers.centres();
        centres.insert(self.identity.data_centre.clone());
        let mut centres: Vec<DataCentreId> = centres.into_iter().collect();
        centres.sort_by_key(|centre| {
            (centre != servers, xxh3_64(format!("{servers}/{centre}").as_bytes()))
        });
        centres
    }

    /// Returns the part of the limits of a data centre's servers that this VM may issue.
    pub(super) fn issued_share(&self, now: Millis, servers: &DataCentreId) -> f64 {
        let peers = &self.relay.peers;
        let Some(own) = self.relay.card.as_ref().filter(|_| !peers.is_empty()) else { return 1.0 };
        if peers.is_cut_off() || !self.relay.is_hub {
            return Self::DEPUTY_SHARE / f64::from(self.known_vms().max(self.centre_vms()));
        }
        let centres = self.issuing_centres(servers);
        if centres.first() != Some(&own.data_centre) {
            return Self::DEPUTY_SHARE / centres.len() as f64;
        }
        let support = peers.hub_support(now, own);
        if support.is_quorum() { 1.0 } else { Self::DEPUTY_SHARE * support.share() }
    }

    /// Returns the time until all requests that wait for permits of a pool's servers can have got
    /// one; none if no server of the pool is at its limit.
    pub(super) fn permit_wait(&self, now: Millis, pool: &PoolId) -> Option<Millis> {
        let servers = self.servers.open(pool).filter(|server| server.is_at_limit(now));
        let servers = servers.filter(|server| server.backoff(now).is_none());
        let wait = |server: &BackendServer| {
            let expected = self.limits.expected.get(&ServerTag::from(&server.entry.id));
            expected.map(|expected| expected.since(now)).unwrap_or_default()
        };
        servers.map(wait).min()
    }

    /// Returns the time until a request can expect a permit, if all requests that wait at all VMs
    /// have got one after `wait`. This VM gets permits in proportion to its waiting requests.
    fn own_permit_wait(&self, now: Millis, state: &RoutedRequest, wait: Millis) -> Millis {
        let waiting = self.limits.waiting.get(&state.pool).into_iter().flatten();
        let others = waiting.filter(|request| **request != state.arrival.request);
        let others: Vec<&RoutedRequest> =
            others.filter_map(|request| self.requests.get(request)).collect();
        let is_before = |other: &&&RoutedRequest| self.permit_order(now, other, state).is_lt();
        let ahead = others.iter().filter(is_before).count() as f64;
        let rates = self.servers.open(&state.pool).filter_map(|server| server.limit.rate());
        let rate: f64 = rates.map(|rate| rate.0).sum();
        let share = (ahead + 1.0) / (others.len() + 1) as f64;
        let ms = (wait.0 as f64 * share).max(ahead / rate.max(f64::MIN_POSITIVE) * 1_000.0);
        Millis(ms as u64)
    }

    /// Returns the order in which waiting requests get permits: the more urgent ones first, then
    /// those of teams that send less, then the older ones.
    fn permit_order(
        &self,
        now: Millis,
        one: &RoutedRequest,
        other: &RoutedRequest,
    ) -> std::cmp::Ordering {
        let overuse = |state: &RoutedRequest| self.crowded.overuse_factor(now, state.team.as_ref());
        let age = |state: &RoutedRequest| (state.received, state.arrival.request);
        one.rank
            .cmp(&other.rank)
            .then_with(|| overuse(one).total_cmp(&overuse(other)))
            .then_with(|| age(one).cmp(&age(other)))
    }

    /// Lets a request wait for a permit. Returns its refusal if that would be too late.
    pub(super) fn wait_for_permit(
        &mut self,
        now: Millis,
        request: RequestNumber,
        wait: Millis,
    ) -> Result<(), Refusal> {
        /// The least time until the request is looked at again, unless a permit arrives before.
        const MIN_WAIT_MS: u64 = 100;
        let draw = self.draw();
        let Some(state) = self.requests.get(&request) else { return Ok(()) };
        let wait = self.own_permit_wait(now, state, wait);
        // The rest of a stream is useful for as long as its caller waits.
        let last = if state.is_delivered { state.ends } else { self.last_start(state) };
        if now + wait.max(Millis(1)) <= last {
            let waiting = self.limits.waiting.entry(state.pool.clone()).or_default();
            if waiting.insert(request) {
                self.limits.next_ask = now;
            }
            let at = (now + wait.max(Millis(MIN_WAIT_MS))).min(last);
            self.wait_until(now, request, at, "waits: all servers are at the limits they named");
            return Ok(());
        }
        let message = "The servers of the pool are at the limits that they named; ask again.";
        let refusal = Self::final_refusal(state, RefusalCode::Unavailable, message);
        if refusal.run != RunState::NotRun {
            return Err(refusal);
        }
        // Callers return spread over twice the time, as those that wait are served first.
        let pause = wait.max(Millis(Self::NO_SERVER_RETRY_MS)).0 as f64 * (1.0 + draw);
        Err(refusal.with_retry_after(Millis(pause as u64)))
    }

    /// Sends the requests that wait for permits as far as there are any, the most urgent first and
    /// those of teams that send much last.
    pub(super) fn start_waiting_for_permits(&mut self, now: Millis) {
        let pools: Vec<PoolId> = self.limits.waiting.keys().cloned().collect();
        for pool in pools {
            for request in self.in_order(now, &pool) {
                if !self.servers.open(&pool).any(|server| server.accepts(now)) {
                    break;
                }
                let state = self.requests.get(&request);
                if state.is_none_or(|state| self.find_server(now, state).is_none()) {
                    continue;
                }
                self.crowded.remove(request);
                if let Err(refusal) = self.send(now, request, "a permit has arrived") {
                    self.give_up(now, request, refusal, Self::NO_PERMIT_REASON);
                }
            }
        }
    }

    fn in_order(&self, now: Millis, pool: &PoolId) -> Vec<RequestNumber> {
        let waiting = self.limits.waiting.get(pool).into_iter().flatten();
        let mut states: Vec<&RoutedRequest> =
            waiting.filter_map(|request| self.requests.get(request)).collect();
        states.sort_by(|one, other| self.permit_order(now, one, other));
        states.into_iter().map(|state| state.arrival.request).collect()
    }

    /// Removes a request that is sent or has ended from those that wait for permits.
    pub(super) fn end_permit_wait(&mut self, pool: &PoolId, request: RequestNumber) {
        if let Some(waiting) = self.limits.waiting.get_mut(pool) {
            waiting.remove(&request);
            if waiting.is_empty() {
                self.limits.waiting.remove(pool);
            }
        }
    }
}

/// The permits that this VM needs from one issuer.
#[derive(Debug, Default)]
struct IssuerNeed {
    /// The issuer; none if it is this VM.
    issuer: Option<PeerCard>,
    demands: Vec<PermitDemand>,
    /// The sum of the limits of the servers.
    rate: RequestsPerSecond,
    has_waiting: bool,
}

impl IssuerNeed {
    fn add(&mut self, demand: PermitDemand, rate: RequestsPerSecond) {
        self.demands.push(demand);
        self.rate += rate;
        self.has_waiting |= demand.waiting > 0;
    }
}
