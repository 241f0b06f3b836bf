use super::*;

/// The versions that should be loaded on each server of a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementPlan {
    /// The number of servers that should have each live version loaded.
    pub wanted: BTreeMap<VersionId, usize>,
    /// The versions that each server should have loaded.
    pub desired: BTreeMap<ServerId, BTreeSet<VersionId>>,
    /// The versions that should have more copies than there is room for.
    pub unplaced: BTreeSet<VersionId>,
}

impl PlacementPlan {
    /// A version gets another copy when its demand exceeds this share of the slots of its servers.
    const GROW_UTILISATION: f64 = 0.7;
    /// A version may lose a copy when its demand falls below this share of the slots of its
    /// servers.
    const SHRINK_UTILISATION: f64 = 0.5;

    /// Makes a plan with few changes to what is loaded.
    ///
    /// A loaded version stays loaded unless it is withdrawn or its memory is needed. A live version
    /// never loses a copy that it should have, nor its last one.
    #[must_use]
    pub fn of(view: &PlacementView) -> Self {
        let mut plan = Self::default();
        plan.keep_loaded(view);
        for (id, need) in &view.versions {
            if need.state == VersionState::Live {
                plan.wanted.insert(id.clone(), Self::wanted_copies(view, id, need));
            }
        }
        let max_rounds = (view.servers.len() + 1) * view.versions.len();
        for _ in 0..max_rounds {
            let Some(id) = plan.most_urgent() else { break };
            if !plan.add_copy(view, &id) {
                plan.unplaced.insert(id);
            }
        }
        plan
    }

    fn keep_loaded(&mut self, view: &PlacementView) {
        for server in &view.servers {
            let mut versions = BTreeSet::new();
            for id in server.loaded.union(&server.loading) {
                let withdrawn = view.versions.get(id).is_some_and(|need| !need.is_live());
                let late = server.availability == ServerAvailability::Unavailable;
                if late || !withdrawn {
                    versions.insert(id.clone());
                }
            }
            self.desired.insert(server.id.clone(), versions);
        }
    }

    fn wanted_copies(view: &PlacementView, id: &VersionId, need: &VersionNeed) -> usize {
        let servers = view.servers.len();
        let has = view.servers.iter().filter(|server| server.has_or_loads(id)).count();
        let per_server = f64::from(view.slots.max(1));
        let grow = (need.demand / (per_server * Self::GROW_UTILISATION)).ceil() as usize;
        let shrink = (need.demand / (per_server * Self::SHRINK_UTILISATION)).ceil() as usize;
        let staged = (need.share.get() * servers as f64).ceil() as usize;
        has.clamp(grow, shrink.max(grow)).max(staged).max(need.min_copies).min(servers)
    }

    fn planned_copies(&self, id: &VersionId) -> usize {
        self.desired.values().filter(|versions| versions.contains(id)).count()
    }

    /// Returns the version with the smallest share of its wanted copies, if one lacks copies and
    /// may still be placed.
    fn most_urgent(&self) -> Option<VersionId> {
        let mut best: Option<(f64, &VersionId)> = None;
        for (id, wanted) in &self.wanted {
            let planned_copies = self.planned_copies(id);
            if planned_copies >= *wanted || self.unplaced.contains(id) {
                continue;
            }
            let filled = planned_copies as f64 / *wanted as f64;
            if best.is_none_or(|(least, _)| filled < least) {
                best = Some((filled, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    fn add_copy(&mut self, view: &PlacementView, id: &VersionId) -> bool {
        let mut best: Option<(PlaceRank, &ServerView, Vec<VersionId>)> = None;
        for server in view
            .servers
            .iter()
            .filter(|server| server.availability == ServerAvailability::Available)
        {
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

    /// Returns the versions to evict from a server so that another one fits, or none if it cannot
    /// fit.
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
        let mut spare_copies: Vec<(usize, &VersionId)> = here
            .iter()
            .filter_map(|other| Some((self.spare_copies(view, other)?, other)))
            .collect();
        spare_copies.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        for (_, other) in spare_copies {
            if used <= view.memory.0 {
                break;
            }
            used -= size(other);
            evicted.push(other.clone());
        }
        (used <= view.memory.0).then_some(evicted)
    }

    /// Returns how many copies a version can lose, or none if it can lose no copy.
    fn spare_copies(&self, view: &PlacementView, id: &VersionId) -> Option<usize> {
        let Some(need) = view.versions.get(id) else { return Some(usize::MAX) };
        if !need.is_live() {
            return Some(usize::MAX);
        }
        let confirmed = view
            .servers
            .iter()
            .filter(|server| {
                server.availability == ServerAvailability::Available && server.loaded.contains(id)
            })
            .filter(|server| self.desired[&server.id].contains(id))
            .count();
        let wanted = self.wanted.get(id).copied().unwrap_or(0).max(1);
        confirmed.checked_sub(wanted).filter(|spare_copies| *spare_copies > 0)
    }
}

/// Orders servers by how suitable they are for another copy of a version. The smallest is the most
/// suitable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlaceRank {
    evicted: usize,
    in_data_centre: usize,
    model_missing: bool,
    versions: usize,
}
