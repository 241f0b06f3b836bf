use super::*;

impl PoolPlacement {
    const FENCE_RESEND_MS: u64 = 6_000;

    /// Adds the orders and drain notices that are due to `actions`.
    pub(super) fn issue_orders(
        &mut self,
        now: Millis,
        context: &PoolContext<'_>,
        view: &PlacementView,
        right: OrderRight,
        orders: &mut u64,
        actions: &mut Vec<PlacementAction>,
    ) {
        let uses_fencing = context.entry().fence_rule == FenceRule::Refuses;
        if uses_fencing {
            self.send_fences(now, context, view, right, orders, actions);
        }
        let settled = !uses_fencing || self.is_settled(now, view);
        let limit = Self::change_limit(context);
        self.choose_drains(now, view, settled, limit);
        self.notify_drains(now, context, right, actions);
        let targets = self.targets(now, context, view, limit);
        for (server, versions) in targets {
            if let Some(order) = self.update_order(now, context, &server, versions, right, orders) {
                actions.push(PlacementAction::Order(order));
            }
        }
    }

    fn change_limit(context: &PoolContext<'_>) -> usize {
        let share = context.entry().change_share.get();
        ((share * context.servers.len() as f64).floor() as usize).max(1)
    }

    fn send_fences(
        &mut self,
        now: Millis,
        context: &PoolContext<'_>,
        view: &PlacementView,
        right: OrderRight,
        orders: &mut u64,
        actions: &mut Vec<PlacementAction>,
    ) {
        for server in view
            .servers
            .iter()
            .filter(|server| server.availability == ServerAvailability::Available)
        {
            let Some(entry) = self.servers.get_mut(&server.id) else { continue };
            let is_pending =
                entry.pending_fence.is_some_and(|(_, at)| now.since(at).0 < Self::FENCE_RESEND_MS);
            if entry.fenced_at.is_some() || is_pending {
                continue;
            }
            let Some(state) = context.server(&server.id) else { continue };
            let id = next_order(orders);
            entry.pending_fence = Some((id, now));
            actions.push(PlacementAction::Order(EngineOrder {
                id,
                server: server.id.clone(),
                address: state.address,
                fence: right.fence,
                expires: right.until,
                kind: OrderKind::Fence,
            }));
        }
    }

    /// Returns whether no order of an earlier holder can take effect any more, and load reports
    /// already show the effect of those that did.
    fn is_settled(&self, now: Millis, view: &PlacementView) -> bool {
        view.servers
            .iter()
            .filter(|server| server.availability == ServerAvailability::Available)
            .all(|server| {
                let fenced_at = self.servers[&server.id].fenced_at;
                fenced_at.is_some_and(|at| now.since(at).0 >= OrderProgress::REPORT_LAG_MS)
            })
    }

    fn choose_drains(&mut self, now: Millis, view: &PlacementView, settled: bool, limit: usize) {
        let mut places = BTreeSet::new();
        let mut changing_servers = self.changing_servers();
        for server in view
            .servers
            .iter()
            .filter(|server| server.availability == ServerAvailability::Available)
        {
            let undesired: Vec<_> =
                server.loaded.difference(&self.plan.desired[&server.id]).collect();
            if !settled || undesired.is_empty() {
                continue;
            }
            if !changing_servers.contains(&server.id) && changing_servers.len() >= limit {
                continue;
            }
            changing_servers.insert(server.id.clone());
            places.extend(undesired.into_iter().map(|version| ServerVersion {
                server: server.id.clone(),
                version: version.clone(),
            }));
        }
        self.drains.set(now, &places);
    }

    fn changing_servers(&self) -> BTreeSet<ServerId> {
        let pending = self.servers.iter().filter(|(_, server)| server.progress.is_some());
        let mut changing_servers: BTreeSet<ServerId> = pending.map(|(id, _)| id.clone()).collect();
        changing_servers.extend(self.drains.places().map(|place| place.server.clone()));
        changing_servers
    }

    fn notify_drains(
        &mut self,
        now: Millis,
        context: &PoolContext<'_>,
        right: OrderRight,
        actions: &mut Vec<PlacementAction>,
    ) {
        let peers = self.drains.notices(now, context.peers);
        let message = PlacementMessage::Drain {
            pool: self.pool.clone(),
            fence: right.fence,
            drains: self.drains.places().cloned().collect(),
        };
        actions.push(PlacementAction::Notify(peers, message));
    }

    /// Returns the versions that each server should be ordered to have loaded now.
    fn targets(
        &mut self,
        now: Millis,
        context: &PoolContext<'_>,
        view: &PlacementView,
        limit: usize,
    ) -> BTreeMap<ServerId, BTreeSet<VersionId>> {
        let mut targets = BTreeMap::new();
        for server in view
            .servers
            .iter()
            .filter(|server| server.availability == ServerAvailability::Available)
        {
            targets.insert(server.id.clone(), self.retained_versions(now, context, server));
        }
        let mut changing_servers = self.changing_servers();
        for (id, version) in self.missing_copies(view) {
            let Some(target) = targets.get_mut(&id) else { continue };
            let counted = changing_servers.contains(&id);
            if !counted && changing_servers.len() >= limit {
                continue;
            }
            if !self.fits(view, &id, target, &version) {
                continue;
            }
            if !self.load_limiter.try_start_load(now, context.entry().loads_per_minute) {
                break;
            }
            changing_servers.insert(id);
            target.insert(version);
        }
        targets
    }

    /// Returns the versions that a server has loaded or is loading, without those that may be
    /// unloaded now.
    fn retained_versions(
        &self,
        now: Millis,
        context: &PoolContext<'_>,
        server: &ServerView,
    ) -> BTreeSet<VersionId> {
        let desired = &self.plan.desired[&server.id];
        let loading = server.loading.iter().filter(|version| desired.contains(*version));
        let loaded = server.loaded.iter().filter(|version| {
            let version = (*version).clone();
            let place = ServerVersion { server: server.id.clone(), version };
            desired.contains(&place.version) || !self.drains.is_idle(now, &place, context)
        });
        loading.chain(loaded).cloned().collect()
    }

    /// Returns the versions that servers have yet to load, those with the smallest share of their
    /// wanted copies first.
    fn missing_copies(&self, view: &PlacementView) -> Vec<(ServerId, VersionId)> {
        let mut loads = Vec::new();
        for server in &view.servers {
            for version in &self.plan.desired[&server.id] {
                if !server.has_or_loads(version) {
                    let copies =
                        view.servers.iter().filter(|other| other.has_or_loads(version)).count();
                    let wanted = self.plan.wanted.get(version).copied().unwrap_or(1).max(1);
                    loads.push((copies * 1_000 / wanted, server.id.clone(), version.clone()));
                }
            }
        }
        loads.sort();
        loads.into_iter().map(|(_, server, version)| (server, version)).collect()
    }

    fn fits(
        &self,
        view: &PlacementView,
        server: &ServerId,
        target: &BTreeSet<VersionId>,
        version: &VersionId,
    ) -> bool {
        if view.memory.0 == 0 {
            return true;
        }
        let mut held = target.clone();
        held.extend(self.servers[server].loaded.iter().flatten().cloned());
        held.insert(version.clone());
        let size = |id: &VersionId| view.versions.get(id).map_or(0, |need| need.memory.0);
        held.iter().map(size).sum::<u64>() <= view.memory.0
    }

    fn update_order(
        &mut self,
        now: Millis,
        context: &PoolContext<'_>,
        server: &ServerId,
        versions: BTreeSet<VersionId>,
        right: OrderRight,
        orders: &mut u64,
    ) -> Option<EngineOrder> {
        let state = context.server(server)?;
        let entry = self.servers.get_mut(server)?;
        let loaded = entry.loaded.clone()?;
        let last = entry.progress.as_ref();
        let known = last.map_or(&loaded, |progress| &progress.versions);
        let resend = last.is_some_and(|progress| progress.is_due(now, &loaded));
        let must_wait = last.is_some_and(|progress| match progress.state {
            OrderState::Sent | OrderState::Unconfirmed { .. } => !resend,
            OrderState::Accepted => false,
        });
        if must_wait || (*known == versions && !resend) {
            return None;
        }
        let same = last.filter(|progress| progress.versions == versions);
        let asked = same.map_or(now, |progress| progress.asked);
        let id = next_order(orders);
        tracing::info!(
            pool = %self.pool,
            %server,
            fence = %right.fence,
            order = %id,
            load = ?names(versions.difference(&loaded)),
            unload = ?names(loaded.difference(&versions)),
            reason = if resend && *known == versions { "repeated" } else { "planned" },
            "sending an order to an engine"
        );
        entry.progress = Some(OrderProgress {
            id,
            asked,
            versions: versions.clone(),
            sent: now,
            state: OrderState::Sent,
        });
        Some(EngineOrder {
            id,
            server: server.clone(),
            address: state.address,
            fence: right.fence,
            expires: right.until,
            kind: OrderKind::Desired { versions },
        })
    }
}

fn next_order(orders: &mut u64) -> OrderId {
    *orders += 1;
    OrderId(*orders)
}

fn names<'a>(versions: impl Iterator<Item = &'a VersionId>) -> Vec<String> {
    versions.map(ToString::to_string).collect()
}
