use super::*;

/// A queued request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueEntry {
    /// The request.
    pub request: RequestNumber,
    /// Its team.
    pub team: TeamId,
    /// Its subscriber.
    pub subscriber: SubscriberId,
    /// Its size.
    pub class: SizeClass,
    /// What it is expected to cost.
    pub cost: Cost,
    /// The weight of its team.
    pub weight: f64,
}

/// The queue of one pool, fair by team in expected cost.
///
/// Each team has a virtual time, which rises by cost over weight with each request that leaves.
/// The team with the least virtual time goes next.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    teams: BTreeMap<TeamId, TeamQueue>,
    virtual_time: f64,
    len: usize,
}

#[derive(Clone, Debug, Default)]
struct TeamQueue {
    entries: VecDeque<QueueEntry>,
    finish: f64,
}

impl FairQueue {
    /// Returns the number of queued requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request at the end of its team's queue.
    pub fn push(&mut self, entry: QueueEntry) {
        let virtual_time = self.virtual_time;
        let team = self.teams.entry(entry.team.clone()).or_default();
        if team.entries.is_empty() {
            team.finish = team.finish.max(virtual_time);
        }
        team.entries.push_back(entry);
        self.len += 1;
    }

    /// Puts a request back at the head of its team's queue.
    pub fn push_front(&mut self, entry: QueueEntry) {
        let team = self.teams.entry(entry.team.clone()).or_default();
        team.finish = (team.finish - entry.cost.0 / entry.weight).max(0.0);
        team.entries.push_front(entry);
        self.len += 1;
    }

    /// Takes the next request of the classes that can start.
    pub fn pop(&mut self, can_start: impl Fn(SizeClass) -> bool) -> Option<QueueEntry> {
        let startable =
            |queue: &TeamQueue| queue.entries.iter().position(|entry| can_start(entry.class));
        let (team, index) = self
            .teams
            .iter()
            .filter_map(|(team, queue)| startable(queue).map(|index| (team, index, queue.finish)))
            .min_by(|a, b| a.2.total_cmp(&b.2))
            .map(|(team, index, _)| (team.clone(), index))?;
        let queue = self.teams.get_mut(&team)?;
        let entry = queue.entries.remove(index)?;
        self.virtual_time = self.virtual_time.max(queue.finish);
        queue.finish += entry.cost.0 / entry.weight;
        self.len -= 1;
        self.teams.retain(|_, queue| !queue.entries.is_empty() || queue.finish > self.virtual_time);
        Some(entry)
    }

    /// Removes a request, if it is queued.
    pub fn remove(&mut self, request: RequestNumber) -> Option<QueueEntry> {
        for queue in self.teams.values_mut() {
            let index = queue.entries.iter().position(|entry| entry.request == request);
            if let Some(entry) = index.and_then(|index| queue.entries.remove(index)) {
                self.len -= 1;
                return Some(entry);
            }
        }
        None
    }

    /// Returns the queued requests, team by team.
    pub fn requests(&self) -> impl Iterator<Item = RequestNumber> {
        self.teams.values().flat_map(|queue| queue.entries.iter().map(|entry| entry.request))
    }
}
