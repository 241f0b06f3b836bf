use super::*;

/// What a team asks of one entry VM, for the others to know.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// Requests a second, a moving average.
    pub requests_per_second: f64,
}

/// The share of the teams' limits that one entry VM may give out.
///
/// Half of a limit is spread evenly over the entry VMs; the other half follows the demand that
/// each reports. A VM that hears of no other falls back to the even share of the whole, so that
/// VMs which are cut off from each other give out about the limit in total.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// The entry VMs on the membership list, this one included.
    pub entry_vms: usize,
    /// Whether the others have been heard of late.
    pub in_touch: bool,
    /// The demand here, in requests a second.
    pub own: f64,
    /// The demand at the others.
    pub others: f64,
}

impl LimitShare {
    const EVEN_PART: f64 = 0.5;

    /// Returns the share of this VM.
    #[must_use]
    pub fn share(&self) -> f64 {
        let even = 1.0 / self.entry_vms.max(1) as f64;
        let total = self.own + self.others;
        if !self.in_touch || total <= 0.0 {
            return even;
        }
        Self::EVEN_PART * even + (1.0 - Self::EVEN_PART) * self.own / total
    }
}

/// What a team uses at this entry VM.
#[derive(Clone, Debug)]
struct TeamUse {
    demand: f64,
    seen: Millis,
    rate: TokenBucket,
    tokens: TokenBucket,
    running: u32,
}

/// The teams' limits and what is used of them here.
#[derive(Clone, Debug, Default)]
pub struct LimitBook {
    teams: BTreeMap<TeamId, TeamUse>,
    others: BTreeMap<VmId, OriginDemand>,
}

#[derive(Clone, Debug)]
struct OriginDemand {
    incarnation: Incarnation,
    sequence: u64,
    heard: Millis,
    demands: BTreeMap<TeamId, TeamDemand>,
}

impl LimitBook {
    const DEMAND_WINDOW_MS: f64 = 5_000.0;
    const FORGET_AFTER_MS: u64 = 3_000;

    /// Counts a request of a team and returns how long its caller should stay away if the team
    /// is over a limit.
    ///
    /// # Errors
    ///
    /// Returns the limit that is reached and the time to wait.
    pub fn admit(
        &mut self,
        now: Millis,
        team: &TeamId,
        limits: &TeamLimits,
        factor: f64,
        entry_vms: usize,
        work: Tokens,
    ) -> Result<(), (&'static str, Millis)> {
        const RETRY_CONCURRENT_MS: u64 = 500;
        self.note_demand(now, team);
        let share = self.share(now, team, entry_vms).share() * factor;
        let Some(used) = self.teams.get_mut(team) else { return Ok(()) };
        if let Some(limit) = limits.concurrent {
            let most = (f64::from(limit) * share).ceil() as u32;
            if used.running >= most {
                return Err(("concurrent", Millis(RETRY_CONCURRENT_MS)));
            }
        }
        if let Some(limit) = limits.rate {
            used.rate.fill(now, limit.0 * share, 1.0);
            if !used.rate.is_open() {
                return Err(("rate", used.rate.opens_after(limit.0 * share)));
            }
        }
        if let Some(limit) = limits.tokens {
            used.tokens.fill(now, limit.0 * share, 1.0);
            if !used.tokens.is_open() {
                return Err(("tokens", used.tokens.opens_after(limit.0 * share)));
            }
            used.tokens.spend(work.0 as f64);
        }
        if limits.rate.is_some() {
            used.rate.spend(1.0);
        }
        used.running += 1;
        Ok(())
    }

    /// Notes that an admitted request is over, and what it used beyond the estimate.
    pub fn ended(&mut self, team: &TeamId, beyond: f64) {
        let Some(used) = self.teams.get_mut(team) else { return };
        used.running = used.running.saturating_sub(1);
        used.tokens.spend(beyond);
    }

    fn note_demand(&mut self, now: Millis, team: &TeamId) {
        let used = self.teams.entry(team.clone()).or_insert_with(|| TeamUse {
            demand: 0.0,
            seen: now,
            rate: TokenBucket::new(now, 1.0),
            tokens: TokenBucket::new(now, 1.0),
            running: 0,
        });
        used.demand = Self::decayed(used, now) + 1_000.0 / Self::DEMAND_WINDOW_MS;
        used.seen = now;
    }

    fn decayed(used: &TeamUse, now: Millis) -> f64 {
        let age = now.since(used.seen).0 as f64;
        used.demand * (-age / Self::DEMAND_WINDOW_MS).exp()
    }

    /// Returns the share of a team's limits that this VM may give out.
    #[must_use]
    pub fn share(&self, now: Millis, team: &TeamId, entry_vms: usize) -> LimitShare {
        let in_touch =
            |origin: &&OriginDemand| now.since(origin.heard) <= Millis(Self::FORGET_AFTER_MS);
        let heard: Vec<&OriginDemand> = self.others.values().filter(in_touch).collect();
        let demand = |origin: &&OriginDemand| {
            origin.demands.get(team).map_or(0.0, |demand| demand.requests_per_second)
        };
        LimitShare {
            entry_vms,
            in_touch: heard.len() + 1 >= entry_vms,
            own: self.teams.get(team).map_or(0.0, |used| Self::decayed(used, now)),
            others: heard.iter().map(demand).sum(),
        }
    }

    /// Returns the demand here, for the other VMs.
    #[must_use]
    pub fn demands(&self, now: Millis) -> BTreeMap<TeamId, TeamDemand> {
        const LEAST: f64 = 0.01;
        let demands = self.teams.iter().map(|(team, used)| {
            (team.clone(), TeamDemand { requests_per_second: Self::decayed(used, now) })
        });
        demands.filter(|(_, demand)| demand.requests_per_second >= LEAST).collect()
    }

    /// Takes in the demand at another VM; old news change nothing.
    pub fn merge(
        &mut self,
        now: Millis,
        origin: &PeerName,
        sequence: u64,
        demands: BTreeMap<TeamId, TeamDemand>,
    ) {
        let known = self.others.get(&origin.vm);
        let is_old = known.is_some_and(|known| {
            (known.incarnation, known.sequence) >= (origin.incarnation, sequence)
        });
        if !is_old {
            let incarnation = origin.incarnation;
            let entry = OriginDemand { incarnation, sequence, heard: now, demands };
            self.others.insert(origin.vm.clone(), entry);
        }
    }
}
