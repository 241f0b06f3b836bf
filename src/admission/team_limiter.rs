use super::*;

/// The demand of a team at one entry VM, as reported to the other entry VMs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// Requests per second, as an exponentially decaying average.
    pub requests_per_second: f64,
}

/// The inputs for the share of a team's limits that one entry VM may grant.
///
/// Half of a limit is divided evenly between the entry VMs; the other half is divided in
/// proportion to the demand that each reports. A VM that lacks recent reports from the others
/// uses the even share of the whole limit, so that VMs in a network partition together grant
/// about the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// The number of entry VMs on the membership list, including this one.
    pub entry_vms: usize,
    /// Whether all other entry VMs have reported their demand recently.
    pub all_peers_reporting: bool,
    /// The team's demand at this VM, in requests per second.
    pub own_demand: f64,
    /// The team's total demand at the other entry VMs, in requests per second.
    pub peer_demands: f64,
}

impl LimitShare {
    const EVEN_PART: f64 = 0.5;

    /// Returns the share of the limit that this VM may grant, from 0 to 1.
    #[must_use]
    pub fn share(&self) -> f64 {
        let even = 1.0 / self.entry_vms.max(1) as f64;
        let total = self.own_demand + self.peer_demands;
        if !self.all_peers_reporting || total <= 0.0 {
            return even;
        }
        Self::EVEN_PART * even + (1.0 - Self::EVEN_PART) * self.own_demand / total
    }
}

/// The usage of one team at this entry VM.
#[derive(Clone, Debug)]
struct TeamUsage {
    demand: f64,
    demand_updated: Millis,
    rate: TokenBucket,
    tokens: TokenBucket,
    running: u32,
}

/// Enforces this VM's share of the teams' limits and tracks the teams' usage at this VM.
#[derive(Clone, Debug, Default)]
pub struct TeamLimiter {
    teams: BTreeMap<TeamId, TeamUsage>,
    peer_demands: BTreeMap<VmId, PeerDemand>,
}

#[derive(Clone, Debug)]
struct PeerDemand {
    incarnation: Incarnation,
    sequence: u64,
    received_at: Millis,
    demands: BTreeMap<TeamId, TeamDemand>,
}

impl TeamLimiter {
    const DEMAND_WINDOW_MS: f64 = 5_000.0;
    const PEER_REPORT_TIMEOUT_MS: u64 = 3_000;

    /// Admits a request and charges it to the limits of its team, or rejects it if the team is over
    /// a limit. The request counts as demand in both cases. `factor` scales all limits.
    ///
    /// # Errors
    ///
    /// Returns the name of the limit that is reached and the time after which to retry.
    pub fn admit(
        &mut self,
        now: Millis,
        team: &TeamId,
        limits: &TeamLimits,
        factor: f64,
        entry_vms: usize,
        work: Tokens,
    ) -> Result<(), (&'static str, Millis)> {
        const CONCURRENT_RETRY_MS: u64 = 500;
        self.record_demand(now, team);
        let share = self.share(now, team, entry_vms).share() * factor;
        let Some(usage) = self.teams.get_mut(team) else { return Ok(()) };
        if let Some(limit) = limits.concurrent {
            let max_running = (f64::from(limit) * share).ceil() as u32;
            if usage.running >= max_running {
                return Err(("concurrent", Millis(CONCURRENT_RETRY_MS)));
            }
        }
        if let Some(limit) = limits.rate {
            usage.rate.refill(now, limit.0 * share, 1.0);
            if !usage.rate.has_tokens() {
                return Err(("rate", usage.rate.time_until_available(limit.0 * share)));
            }
        }
        if let Some(limit) = limits.tokens {
            usage.tokens.refill(now, limit.0 * share, 1.0);
            if !usage.tokens.has_tokens() {
                return Err(("tokens", usage.tokens.time_until_available(limit.0 * share)));
            }
            usage.tokens.spend(work.0 as f64);
        }
        if limits.rate.is_some() {
            usage.rate.spend(1.0);
        }
        usage.running += 1;
        Ok(())
    }

    /// Records the end of an admitted request, and charges the tokens used `beyond` the estimate
    /// (negative: fewer than estimated).
    pub fn ended(&mut self, team: &TeamId, beyond: f64) {
        let Some(usage) = self.teams.get_mut(team) else { return };
        usage.running = usage.running.saturating_sub(1);
        usage.tokens.spend(beyond);
    }

    fn record_demand(&mut self, now: Millis, team: &TeamId) {
        let usage = self.teams.entry(team.clone()).or_insert_with(|| TeamUsage {
            demand: 0.0,
            demand_updated: now,
            rate: TokenBucket::new(now, 1.0),
            tokens: TokenBucket::new(now, 1.0),
            running: 0,
        });
        usage.demand = Self::decayed_demand(usage, now) + 1_000.0 / Self::DEMAND_WINDOW_MS;
        usage.demand_updated = now;
    }

    fn decayed_demand(usage: &TeamUsage, now: Millis) -> f64 {
        let age = now.since(usage.demand_updated).0 as f64;
        usage.demand * (-age / Self::DEMAND_WINDOW_MS).exp()
    }

    /// Returns the inputs for the share of a team's limits that this VM may grant.
    #[must_use]
    pub fn share(&self, now: Millis, team: &TeamId, entry_vms: usize) -> LimitShare {
        let is_recent = |origin: &&PeerDemand| {
            now.since(origin.received_at) <= Millis(Self::PEER_REPORT_TIMEOUT_MS)
        };
        let recent: Vec<&PeerDemand> = self.peer_demands.values().filter(is_recent).collect();
        let demand = |origin: &&PeerDemand| {
            origin.demands.get(team).map_or(0.0, |demand| demand.requests_per_second)
        };
        LimitShare {
            entry_vms,
            all_peers_reporting: recent.len() + 1 >= entry_vms,
            own_demand: self.teams.get(team).map_or(0.0, |usage| Self::decayed_demand(usage, now)),
            peer_demands: recent.iter().map(demand).sum(),
        }
    }

    /// Returns the demand of each team at this VM, to be reported to the other entry VMs. Teams
    /// with negligible demand are left out.
    #[must_use]
    pub fn demands(&self, now: Millis) -> BTreeMap<TeamId, TeamDemand> {
        const MIN_REPORTED: f64 = 0.01;
        let demands = self.teams.iter().map(|(team, usage)| {
            (team.clone(), TeamDemand { requests_per_second: Self::decayed_demand(usage, now) })
        });
        demands.filter(|(_, demand)| demand.requests_per_second >= MIN_REPORTED).collect()
    }

    /// Stores the demand that another VM reported. A report that is not newer than the stored one
    /// is ignored.
    pub fn merge(
        &mut self,
        now: Millis,
        origin: &PeerName,
        sequence: u64,
        demands: BTreeMap<TeamId, TeamDemand>,
    ) {
        let known = self.peer_demands.get(&origin.vm);
        let is_stale = known.is_some_and(|known| {
            (known.incarnation, known.sequence) >= (origin.incarnation, sequence)
        });
        if !is_stale {
            let incarnation = origin.incarnation;
            let entry = PeerDemand { incarnation, sequence, received_at: now, demands };
            self.peer_demands.insert(origin.vm.clone(), entry);
        }
    }
}
