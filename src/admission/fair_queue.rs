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
    /// The time that it is expected to take up a slot.
    pub cost: SlotTime,
    /// The weight of its team.
    pub weight: f64,
    /// When it was queued first.
    pub queued: Millis,
    /// When its caller stops waiting.
    pub deadline: Millis,
}

impl QueueEntry {
    /// Returns its cost over its weight.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.cost.0.max(Self::LEAST_COST) / self.weight
    }

    /// Keeps requests that are expected to take no time from passing everything else.
    const LEAST_COST: f64 = 1.0;
}

/// Where a queued request stands.
#[derive(Clone, Debug)]
struct QueuePosition {
    team: TeamId,
    subscriber: SubscriberId,
    class: SizeClass,
    order: i64,
    queued: Millis,
    deadline: Millis,
}

/// The queue of one pool, fair by team and then by subscriber, in expected slot time.
///
/// While two teams both have work queued, the slot times over weight that they have been served differ
/// by at most the largest request of each, plus the errors of the estimates of what still runs.
/// The same holds for two subscribers of a team. All operations take logarithmic time.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    tags: FairTags<TeamId>,
    teams: BTreeMap<TeamId, TeamQueue>,
    positions: FxHashMap<RequestNumber, QueuePosition>,
    deadlines: BTreeSet<(Millis, RequestNumber)>,
    ages: [BTreeSet<(Millis, RequestNumber)>; SizeClass::COUNT],
    back: i64,
    front: i64,
    queued_weight: f64,
}

impl FairQueue {
    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns whether a request of a class is queued.
    #[must_use]
    pub fn has(&self, class: SizeClass) -> bool {
        !self.ages[class.index()].is_empty()
    }

    /// Returns the number of queued requests of a class.
    #[must_use]
    pub fn count(&self, class: SizeClass) -> usize {
        self.ages[class.index()].len()
    }

    /// Returns the number of a team's queued requests.
    #[must_use]
    pub fn team_len(&self, team: &TeamId) -> usize {
        self.teams.get(team).map_or(0, TeamQueue::len)
    }

    /// Adds a request behind those of its subscriber.
    pub fn push(&mut self, entry: QueueEntry) {
        self.back += 1;
        self.insert(self.back, entry);
    }

    /// Puts a request back ahead of those of its subscriber and takes back its charge.
    pub fn push_front(&mut self, entry: QueueEntry) {
        self.front -= 1;
        self.correct(&entry.team, &entry.subscriber, entry.weight, SlotTime(-entry.cost.0));
        self.insert(self.front, entry);
    }

    /// Adds a request ahead of those of its subscriber, for one more attempt.
    pub fn push_again(&mut self, entry: QueueEntry) {
        self.front -= 1;
        self.insert(self.front, entry);
    }

    fn insert(&mut self, order: i64, entry: QueueEntry) {
        let (request, class) = (entry.request, entry.class);
        let position = QueuePosition {
            team: entry.team.clone(),
            subscriber: entry.subscriber.clone(),
            class,
            order,
            queued: entry.queued,
            deadline: entry.deadline,
        };
        self.deadlines.insert((entry.deadline, request));
        self.ages[class.index()].insert((entry.queued, request));
        let team = self.teams.entry(entry.team.clone()).or_default();
        if !team.has(class) {
            self.tags.activate(&position.team, class);
        }
        let was_empty = team.len() == 0;
        team.insert(order, entry);
        if was_empty {
            self.queued_weight += team.weight;
        }
        self.positions.insert(request, position);
    }

    /// Returns the request whose turn it is in a class.
    #[must_use]
    pub fn first(&self, class: SizeClass) -> Option<&QueueEntry> {
        let team = self.tags.first(class)?;
        self.teams.get(team)?.first(class).map(|(_, entry)| entry)
    }

    /// Takes the request whose turn it is in a class and charges its team and subscriber.
    pub fn pop(&mut self, class: SizeClass) -> Option<QueueEntry> {
        let request = self.first(class)?.request;
        let entry = self.take(request, |tags, teams, entry| {
            tags.charge(&entry.team, entry.share());
            if let Some(team) = teams.get_mut(&entry.team) {
                team.charge(&entry.subscriber, entry.cost.0);
            }
        })?;
        Some(entry)
    }

    /// Removes a request, if it is queued, without a charge.
    pub fn remove(&mut self, request: RequestNumber) -> Option<QueueEntry> {
        self.take(request, |_, _, _| ())
    }

    fn take(
        &mut self,
        request: RequestNumber,
        charge: impl FnOnce(&mut FairTags<TeamId>, &mut BTreeMap<TeamId, TeamQueue>, &QueueEntry),
    ) -> Option<QueueEntry> {
        let position = self.positions.remove(&request)?;
        self.deadlines.remove(&(position.deadline, request));
        self.ages[position.class.index()].remove(&(position.queued, request));
        let team = self.teams.get_mut(&position.team)?;
        let entry = team.remove(&position.subscriber, position.class, position.order)?;
        charge(&mut self.tags, &mut self.teams, &entry);
        let team = self.teams.get(&position.team)?;
        if !team.has(position.class) {
            self.tags.deactivate(&position.team, position.class);
        }
        if team.len() == 0 {
            self.queued_weight -= team.weight;
        }
        Some(entry)
    }

    /// Corrects what a team and a subscriber were charged, once the real cost is known.
    pub fn correct(
        &mut self,
        team: &TeamId,
        subscriber: &SubscriberId,
        weight: f64,
        difference: SlotTime,
    ) {
        if difference.0 == 0.0 {
            return;
        }
        self.tags.correct(team, difference.0 / weight);
        if let Some(queue) = self.teams.get_mut(team) {
            queue.correct(subscriber, difference.0);
        }
    }

    /// Moves a queued request to another size class.
    pub fn reclass(&mut self, request: RequestNumber, class: SizeClass) {
        let Some(position) = self.positions.get(&request) else { return };
        if position.class == class {
            return;
        }
        let order = position.order;
        if let Some(mut entry) = self.remove(request) {
            entry.class = class;
            self.insert(order, entry);
        }
    }

    /// Returns a request whose deadline has passed.
    #[must_use]
    pub fn expired(&self, now: Millis) -> Option<RequestNumber> {
        self.deadlines.first().filter(|(deadline, _)| *deadline <= now).map(|(_, request)| *request)
    }

    /// Returns the request of a class that has waited longest, and since when.
    #[must_use]
    pub fn oldest(&self, class: SizeClass) -> Option<(Millis, RequestNumber)> {
        self.ages[class.index()].first().copied()
    }

    /// Returns the team with the largest backlog in cost over weight, and that backlog.
    #[must_use]
    pub fn heaviest_team(&self) -> Option<(&TeamId, f64)> {
        let queued = self.teams.iter().filter(|(_, queue)| queue.len() > 0);
        let shares = queued.map(|(team, queue)| (team, queue.backlog));
        shares.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns the sum of the weights of the teams that have requests queued, and of one more.
    #[must_use]
    pub fn weight_with(&self, team: &TeamId, weight: f64) -> f64 {
        if self.team_len(team) > 0 { self.queued_weight } else { self.queued_weight + weight }
    }

    /// Returns the backlog of a team in cost over weight.
    #[must_use]
    pub fn backlog(&self, team: &TeamId) -> f64 {
        self.teams.get(team).map_or(0.0, |queue| queue.backlog)
    }

    /// Returns the request of a team that is shed first: the newest of its heaviest subscriber.
    #[must_use]
    pub fn victim(&self, team: &TeamId) -> Option<RequestNumber> {
        self.teams.get(team)?.heaviest()
    }

    /// Returns the queued requests, by deadline.
    pub fn requests(&self) -> impl Iterator<Item = RequestNumber> {
        self.deadlines.iter().map(|(_, request)| *request)
    }
}
