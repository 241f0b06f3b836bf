//! Issuing permits to send requests to backend servers that have a limit.
//!
//! No agreement between the VMs is needed. Only a hub with a quorum of followers issues the whole
//! limit. VMs that cannot reach it ask the next rank, or the hub of another data centre, and a VM
//! that reaches no other issues its own permits; all of these issue a fraction, as the hub with the
//! quorum may still be running. The sum over the parts of a fleet that is cut apart thus stays below
//! what a server in need can bear.

use super::*;

impl Gateway {
    /// The fraction of a limit that VMs may issue in place of an issuer that they cannot reach.
    pub(super) const DEPUTY_SHARE: f64 = 0.25;
    /// The time for which a VM counts as asking for permits, as a multiple of its interval.
    const ASKER_INTERVALS: u64 = 3;
    /// The least such time.
    const MIN_ASKER_MS: u64 = 1_000;

    /// Returns the answer to another VM's request for permits.
    pub(super) fn permit_reply(
        &mut self,
        now: Millis,
        from: &VmId,
        query: &LimitQuery,
    ) -> LimitReply {
        let grants = self.issue_permits(now, from, &query.demands);
        let reports = self.reports_of(now, query.demands.iter().map(|demand| demand.server));
        let cold = self.cold_reports_of(now, query.demands.iter().map(|demand| demand.server));
        LimitReply { reports, grants, askers: self.count_askers(now), cold }
    }

    pub(super) fn issue_permits(
        &mut self,
        now: Millis,
        vm: &VmId,
        demands: &[PermitDemand],
    ) -> Vec<PermitGrant> {
        self.limits.askers.insert(vm.clone(), now);
        let mut grants = Vec::new();
        for demand in demands {
            let Some(server) = self.server_of_tag(demand.server) else { continue };
            let Some(rate) = server.permit_rate() else {
                // As far as this VM knows, the limit has been lifted.
                let (permits, wait) = (demand.permits(true), Millis(0));
                grants.push(PermitGrant { server: demand.server, permits, wait });
                continue;
            };
            let rate = RequestsPerSecond(rate.0 * self.issued_share_of(now, server));
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

    pub(super) fn server_of_tag(&self, tag: ServerTag) -> Option<&BackendServer> {
        if let Some(id) = self.limits.servers.get(&tag) {
            return self.servers.get(id);
        }
        self.servers.iter().find(|server| ServerTag::from(&server.entry.id) == tag)
    }

    /// Returns the number of VMs that ask this one for permits.
    pub(super) fn count_askers(&mut self, now: Millis) -> u32 {
        let interval = self.limits.askers.len() as u64 * AskedIssuer::SHARED_INTERVAL_MS as u64;
        let expiry = (interval * Self::ASKER_INTERVALS).max(Self::MIN_ASKER_MS);
        self.limits.askers.retain(|_, asked| now.since(*asked).0 < expiry);
        self.limits.askers.len() as u32
    }

    pub(super) fn reports_of(
        &self,
        now: Millis,
        tags: impl Iterator<Item = ServerTag>,
    ) -> Vec<LimitReport> {
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
}
