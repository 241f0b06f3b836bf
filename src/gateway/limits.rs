//! The request limits that backend servers name.
//!
//! A server in need names a rate that holds for the sum over all entry VMs, each of which sees only
//! its own requests. VMs therefore send to such a server only with a permit ([`permits`]). A VM
//! learns a limit from an answer or from another VM: changes are passed on with the polls, as a
//! server in need should not have to tell hundreds of VMs one by one.
//!
//! A limit ends when a later answer does not name it, or when the server restarts.

use super::*;

/// The servers with a limit, and the permits for them.
#[derive(Clone, Debug, Default)]
pub(super) struct LimitState {
    /// Servers that have a limit or had one until recently.
    pub(super) servers: BTreeMap<ServerTag, ServerId>,
    /// The issuers of the servers for which other VMs, or this one, asked this VM.
    pub(super) issuers: BTreeMap<ServerTag, PermitIssuer>,
    /// When each VM last asked this one for permits.
    pub(super) askers: BTreeMap<VmId, Millis>,
    /// The VMs that this one asks for permits.
    pub(super) asked: BTreeMap<VmId, AskedIssuer>,
    /// When all requests that wait for permits can have got them, as last reported by the issuer.
    pub(super) expected: BTreeMap<ServerTag, Millis>,
    /// When permits are asked for next, unless a request starts to wait before.
    pub(super) next_ask: Millis,
    /// The rate of requests by pool.
    pub(super) rates: BTreeMap<PoolId, RequestRate>,
    /// Requests that wait for a permit, by pool.
    pub(super) waiting: BTreeMap<PoolId, BTreeSet<RequestNumber>>,
}

impl Gateway {
    /// Maximum number of limits that one message reports.
    const MAX_REPORTS_PER_MESSAGE: usize = 256;

    /// Applies what an answer of a server says about its limit. The request was sent at `sent`.
    pub(super) fn apply_limit_statement(
        &mut self,
        now: Millis,
        id: &ServerId,
        sent: Millis,
        statement: LimitStatement,
    ) {
        let Some(server) = self.servers.get_mut(id) else { return };
        let before = server.limit.rate();
        if server.limit.apply_statement(now, sent, statement) {
            self.on_limit_changed(now, id, before, None);
        }
    }

    /// Applies the limits that another VM has reported.
    pub(super) fn apply_limit_reports(
        &mut self,
        now: Millis,
        from: &VmId,
        reports: &[LimitReport],
    ) {
        for LimitReport { start, rate, age } in reports {
            let Some(server) = self.servers.get_mut(&start.server) else { continue };
            if server.entry.born != start.born {
                continue;
            }
            let before = server.limit.rate();
            if server.limit.apply_report(now, *rate, *age) {
                self.on_limit_changed(now, &start.server, before, Some(from));
            }
        }
    }

    fn on_limit_changed(
        &mut self,
        now: Millis,
        id: &ServerId,
        before: Option<RequestsPerSecond>,
        from: Option<&VmId>,
    ) {
        let server = self.servers.get(id);
        let limit = server.and_then(|server| server.limit.rate());
        let issuer = server.and_then(|server| self.permit_issuer(now, &server.entry.data_centre));
        let own_share = server.map(|server| self.issued_share(now, &server.entry.data_centre));
        let own_share = own_share.filter(|_| issuer.is_none());
        tracing::info!(
            server = %id,
            limit_per_s = limit.map(|limit| limit.0),
            before_per_s = before.map(|limit| limit.0),
            from = from.map(VmId::as_str),
            issuer = issuer.as_ref().map(|card| card.vm.as_str()),
            own_share,
            "limit of a server changed; without a number it has none"
        );
        self.limits.servers.insert(ServerTag::from(id), id.clone());
        self.limits.next_ask = now;
        if limit.is_none() {
            self.start_waiting_for_permits(now);
        }
    }

    /// Returns the number of servers that have a limit.
    #[must_use]
    pub fn limited_servers(&self) -> usize {
        let limited = |id: &&ServerId| {
            self.servers.get(id).is_some_and(|server| server.limit.rate().is_some())
        };
        self.limits.servers.values().filter(limited).count()
    }

    /// Returns the limits that other VMs may not know yet.
    pub(super) fn limit_news(&self, now: Millis) -> Vec<LimitReport> {
        let servers = self.limits.servers.values().filter_map(|id| self.servers.get(id));
        let news = servers.filter(|server| server.limit.is_news(now));
        news.map(|server| server.limit_report(now)).take(Self::MAX_REPORTS_PER_MESSAGE).collect()
    }

    /// Forgets the servers that no longer have a limit, once all VMs have been told.
    pub(super) fn forget_lifted_limits(&mut self, now: Millis) {
        let Self { limits, servers, .. } = self;
        limits.servers.retain(|_, id| {
            servers
                .get(id)
                .is_some_and(|server| server.permit_rate().is_some() || server.limit.is_news(now))
        });
        if limits.servers.is_empty() {
            limits.askers.clear();
            limits.asked.clear();
        }
        limits.issuers.retain(|tag, _| limits.servers.contains_key(tag));
        limits.expected.retain(|tag, _| limits.servers.contains_key(tag));
    }
}
