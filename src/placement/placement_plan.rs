use super::*;

/// What should be loaded where.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementPlan {
    /// The copies that each live version should have.
    pub wanted: BTreeMap<VersionId, usize>,
    /// The versions that each server should have loaded.
    pub desired: BTreeMap<ServerId, BTreeSet<VersionId>>,
    /// The versions for whose wanted copies there is no room.
    pub unplaced: BTreeSet<VersionId>,
}

impl PlacementPlan {
    /// The share of its slots that a server is to use before a version gets another copy.
    const GROW_USE: f64 = 0.7;
    /// The share of its slots below which a version may lose a copy.
    const SHRINK_USE: f64 = 0.5;

    /// Makes the plan that changes least.
    ///
    /// What is loaded stays loaded unless it is withdrawn or its memory is needed. A live version
    /// never loses a copy that it is wanted to have, nor its last one.
    #[must_use]
    pub fn of(view: &PlacementView) -> Self {
        let mut plan = Self::default();
        plan.keep(view);
        for (id, need) in &view.versions {
            if need.state == VersionState::Live {
                plan.wanted.insert(id.clone(), Self::copies(view, id, need));
            }
        }
        let most = (view.servers.len() + 1) * view.versions.len();
        for _ in 0..most {
            let Some(id) = plan.most_urgent() else { break };
            if !plan.add(view, &id) {
                plan.unplaced.insert(id);
            }
        }
        plan
    }

    fn keep(&mut self, view: &PlacementView) {
        for server in &view.servers {
            let mut versions = BTreeSet::new();
            for id in server.loaded.union(&server.loading) {
                let withdrawn = view.versions.get(id).is_some_and(|need| !need.is_live());
                let late = server.reach == ServerReach::Late;
                if late || !withdrawn {
                    versions.insert(id.clone());
                }
            }
            self.desired.insert(server.id.clone(), versions);
        }
    }

    fn copies(view: &PlacementView, id: &VersionId, need: &VersionNeed) -> usize {
        let servers = view.servers.len();
        let has = view.servers.iter().filter(|server| server.has(id)).count();
        let per_server = f64::from(view.slots.max(1));
        let grow = (need.demand / (per_server * Self::GROW_USE)).ceil() as usize;
        let shrink = (need.demand / (per_server * Self::SHRINK_USE)).ceil() as usize;
        let staged = (need.share.get() * servers as f64).ceil() as usize;
        has.clamp(grow, shrink.max(grow)).max(staged).max(need.least).min(servers)
    }

    fn planned(&self, id: &VersionId) -> usize {
        self.desired.values().filter(|versions| versions.contains(id)).count()
    }

    /// Returns the version that lacks copies most; one without any goes first.
    fn most_urgent(&self) -> Option<VersionId> {
        let mut best: Option<(f64, &VersionId)> = None;
        for (id, wanted) in &self.wanted {
            let planned = self.planned(id);
            if planned >= *wanted || self.unplaced.contains(id) {
                continue;
            }
            let filled = planned as f64 / *wanted as f64;
            if best.is_none_or(|(least, _)| filled < least) {
                best = Some((filled, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    fn add(&mut self, view: &PlacementView, id: &VersionId) -> bool {
        let mut best: Option<(PlaceRank, &ServerView, Vec<VersionId>)> = None;
        for server in view.servers.iter().filter(|server| server.reach == ServerReach::Fresh) {
            if self.desired[&server.id].contains(id) {
                continue;
            }
            let Some(evicted) = self.make_room(view, server, id) else { continue };
            let rank = self.rank(view, server, id, evicted.len());
            if best.as_ref().is_none_or(|(least, _, _)| rank < *least) {
                best = Some((rank, server, evicted));
            }
        }
        let Some((_, server, evicted)) = best else { return false };
        let Some(versions) = self.desired.get_mut(&server.id) else { return false };
        versions.retain(|version| !evicted.contains(version));
        versions.insert(id.clone());
        true
    }

    fn rank(
        &self,
        view: &PlacementView,
        server: &ServerView,
        id: &VersionId,
        evicted: usize,
    ) -> PlaceRank {
        let here = &self.desired[&server.id];
        let in_data_centre = view
            .servers
            .iter()
            .filter(|other| other.data_centre == server.data_centre)
            .filter(|other| self.desired[&other.id].contains(id))
            .count();
        let same_model = here.iter().any(|version| version.model == id.model);
        PlaceRank { evicted, in_data_centre, model_missing: !same_model, versions: here.len() }
    }

    /// Returns the versions to evict from a server so that another fits, if that is possible.
    fn make_room(
        &self,
        view: &PlacementView,
        server: &ServerView,
        id: &VersionId,
    ) -> Option<Vec<VersionId>> {
        if view.memory.0 == 0 {
            return Some(Vec::new());
        }
        let size = |id: &VersionId| view.versions.get(id).map_or(0, |need| need.memory.0);
        let here = &self.desired[&server.id];
        let mut used: u64 = here.iter().map(size).sum::<u64>() + size(id);
        let mut evicted = Vec::new();
        let mut spare: Vec<(usize, &VersionId)> =
            here.iter().filter_map(|other| Some((self.spare(view, other)?, other))).collect();
        spare.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        for (_, other) in spare {
            if used <= view.memory.0 {
                break;
            }
            used -= size(other);
            evicted.push(other.clone());
        }
        (used <= view.memory.0).then_some(evicted)
    }

    /// Returns how many copies a version can lose, if it can lose one.
    fn spare(&self, view: &PlacementView, id: &VersionId) -> Option<usize> {
        let Some(need) = view.versions.get(id) else { return Some(usize::MAX) };
        if !need.is_live() {
            return Some(usize::MAX);
        }
        let sure = view
            .servers
            .iter()
            .filter(|server| server.reach == ServerReach::Fresh && server.loaded.contains(id))
            .filter(|server| self.desired[&server.id].contains(id))
            .count();
        let wanted = self.wanted.get(id).copied().unwrap_or(0).max(1);
        sure.checked_sub(wanted).filter(|spare| *spare > 0)
    }
}

/// How well a server suits another copy; the least is best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlaceRank {
    evicted: usize,
    in_data_centre: usize,
    model_missing: bool,
    versions: usize,
}
