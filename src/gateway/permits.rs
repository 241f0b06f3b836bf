//! Permits to send requests to backend servers that have a limit, and asking for them.
//!
//! Each request to such a server needs a permit, whatever it is sent for: [`Gateway::start`] is the
//! only place that sends, and uses one up. The hub of the server's data centre issues the permits at
//! the rate that the server has named. VMs in need of permits ask it, at a pace that depends on how
//! many VMs ask: the messages at an issuer are bounded whatever the size of the fleet. Permits go
//! first to VMs at which requests wait.
//!
//! [`permit_issuing`] says which VM issues how many permits, [`permit_waits`] which requests wait.
//!
//! Dividing the rate evenly among the VMs instead would leave most of it unused, since a VM of
//! hundreds before a server that accepts one request per second would rarely have a request when
//! its turn comes, and would exceed the limit as soon as all VMs have saved up a request each.

use super::*;

impl Gateway {
    /// The largest number of servers in one request for permits.
    const MAX_DEMANDS: usize = 16;
    /// The largest number of permits to ask for ahead.
    const MAX_AHEAD: f64 = 64.0;
    /// A pool with a lower rate of requests asks for no permits ahead, as they would expire.
    const MIN_AHEAD_RATE: RequestsPerSecond = RequestsPerSecond(0.5);

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
            let server = self.servers.get(id).filter(|server| self.servers.takes_work(server));
            let Some(server) = server else {
                continue;
            };
            let Some(rate) = server.permit_rate() else { continue };
            let pool = &server.entry.pool;
            let demand = *pools.entry(pool).or_insert_with(|| self.demand_per_server(now, pool));
            let held = server.permits.count(now);
            let demand = PermitDemand {
                server: *tag,
                waiting: demand.waiting.saturating_sub(held),
                ahead: demand.ahead.saturating_sub(held),
                ..demand
            };
            if demand.permits(true) == 0 {
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
        let is_limited = |server: &&BackendServer| server.permit_rate().is_some();
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
        let cold = self.cold_reports_of(now, demands.iter().map(|demand| demand.server));
        let limits = LimitQuery { reports, demands, cold };
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
