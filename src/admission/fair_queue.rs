use super::*;

/// A queued request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueEntry {
    /// The number of the request, unique within the queue.
    pub request: RequestNumber,
    /// The team that is charged for the request.
    pub team: TeamId,
    /// The subscriber of the team that is charged for the request.
    pub subscriber: SubscriberId,
    /// The size class; each class is queued separately.
    pub class: SizeClass,
    /// The time that the request is expected to occupy a slot.
    pub cost: SlotTime,
    /// The fair-share weight of the team; a team of twice the weight gets twice the slot time.
    pub weight: f64,
    /// When the request first entered the queue; kept when it is queued again.
    pub queued: Millis,
    /// When the caller stops waiting; the request expires at this time.
    pub deadline: Millis,
}

impl QueueEntry {
    /// Returns the cost divided by the team's weight, the unit of the teams' fair-queueing tags.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.cost.0.max(Self::MIN_COST) / self.weight
    }

    /// Minimum cost in slot milliseconds. With a cost of zero, requests that are expected to take
    /// no time would always overtake all others.
    const MIN_COST: f64 = 1.0;
}

/// The position of a queued request in the indexes of the queue.
#[derive(Clone, Debug)]
struct QueuePosition {
    team: TeamId,
    subscriber: SubscriberId,
    class: SizeClass,
    order: i64,
    queued: Millis,
    deadline: Millis,
}

/// The queue of one pool, which shares expected slot time fairly between teams and, within a
/// team, between subscribers.
///
/// While two teams both have work queued, the slot times divided by weight that they have
/// received differ by at most the largest request of each, plus the estimation errors of the
/// requests that are still running. The same holds for two subscribers of a team. All operations
/// take logarithmic time.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    tags: FairScheduler<TeamId>,
    teams: BTreeMap<TeamId, TeamQueue>,
    positions: FxHashMap<RequestNumber, QueuePosition>,
    by_deadline: BTreeSet<(Millis, RequestNumber)>,
    by_queue_time: [BTreeSet<(Millis, RequestNumber)>; SizeClass::COUNT],
    back_order: i64,
    front_order: i64,
    queued_weight: f64,
}

impl FairQueue {
    /// Returns the number of queued requests over all teams and size classes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no request of any size class is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns whether at least one request of a size class is queued.
    #[must_use]
    pub fn has(&self, class: SizeClass) -> bool {
        !self.by_queue_time[class.index()].is_empty()
    }

    /// Returns the number of queued requests of a size class.
    #[must_use]
    pub fn count(&self, class: SizeClass) -> usize {
        self.by_queue_time[class.index()].len()
    }

    /// Returns the number of a team's queued requests over all size classes.
    #[must_use]
    pub fn team_len(&self, team: &TeamId) -> usize {
        self.teams.get(team).map_or(0, TeamQueue::len)
    }

    /// Adds a request after all others of its subscriber.
    pub fn push(&mut self, entry: QueueEntry) {
        self.back_order += 1;
        self.insert(self.back_order, entry);
    }

    /// Returns a popped request to the front of its subscriber's queue and refunds its charge.
    pub fn push_front(&mut self, entry: QueueEntry) {
        self.front_order -= 1;
        self.correct(&entry.team, &entry.subscriber, entry.weight, SlotTime(-entry.cost.0));
        self.insert(self.front_order, entry);
    }

    /// Adds a request to the front of its subscriber's queue for another attempt. The charge of the
    /// previous attempt stands.
    pub fn push_retry(&mut self, entry: QueueEntry) {
        self.front_order -= 1;
        self.insert(self.front_order, entry);
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
        self.by_deadline.insert((entry.deadline, request));
        self.by_queue_time[class.index()].insert((entry.queued, request));
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

    /// Returns the request that [`Self::pop`] would remove next for a size class.
    #[must_use]
    pub fn first(&self, class: SizeClass) -> Option<&QueueEntry> {
        let team = self.tags.first(class)?;
        self.teams.get(team)?.first(class).map(|(_, entry)| entry)
    }

    /// Removes the next request of a size class and charges its expected cost to its team and
    /// subscriber.
    pub fn pop(&mut self, class: SizeClass) -> Option<QueueEntry> {
        let request = self.first(class)?.request;
        let entry = self.remove_with(request, |tags, teams, entry| {
            tags.charge(&entry.team, entry.share());
            if let Some(team) = teams.get_mut(&entry.team) {
                team.charge(&entry.subscriber, entry.cost.0);
            }
        })?;
        Some(entry)
    }

    /// Removes a request, if it is queued, without charging its team or subscriber.
    pub fn remove(&mut self, request: RequestNumber) -> Option<QueueEntry> {
        self.remove_with(request, |_, _, _| ())
    }

    fn remove_with(
        &mut self,
        request: RequestNumber,
        charge: impl FnOnce(&mut FairScheduler<TeamId>, &mut BTreeMap<TeamId, TeamQueue>, &QueueEntry),
    ) -> Option<QueueEntry> {
        let position = self.positions.remove(&request)?;
        self.by_deadline.remove(&(position.deadline, request));
        self.by_queue_time[position.class.index()].remove(&(position.queued, request));
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

    /// Adds the difference between actual and expected cost to the charges of a team and a
    /// subscriber. A negative difference is a refund.
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

    /// Moves a queued request to another size class, keeping its order; does nothing if it is not
    /// queued.
    pub fn change_class(&mut self, request: RequestNumber, class: SizeClass) {
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

    /// Returns the queued request with the earliest deadline if that deadline has passed.
    #[must_use]
    pub fn expired(&self, now: Millis) -> Option<RequestNumber> {
        self.by_deadline
            .first()
            .filter(|(deadline, _)| *deadline <= now)
            .map(|(_, request)| *request)
    }

    /// Returns the request of a size class that has waited longest, and when it was queued.
    #[must_use]
    pub fn oldest(&self, class: SizeClass) -> Option<(Millis, RequestNumber)> {
        self.by_queue_time[class.index()].first().copied()
    }

    /// Returns the team with the largest backlog (queued cost divided by weight), and that backlog.
    #[must_use]
    pub fn heaviest_team(&self) -> Option<(&TeamId, f64)> {
        let queued = self.teams.iter().filter(|(_, queue)| queue.len() > 0);
        let backlogs = queued.map(|(team, queue)| (team, queue.backlog));
        backlogs.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns the sum of the weights of all teams with queued requests, including `team` with its
    /// `weight` even if it has none.
    #[must_use]
    pub fn active_weight_with(&self, team: &TeamId, weight: f64) -> f64 {
        if self.team_len(team) > 0 { self.queued_weight } else { self.queued_weight + weight }
    }

    /// Returns the backlog of a team: its queued cost divided by its weight.
    #[must_use]
    pub fn backlog(&self, team: &TeamId) -> f64 {
        self.teams.get(team).map_or(0.0, |queue| queue.backlog)
    }

    /// Returns the request of a team to shed first: the newest request of the subscriber with the
    /// most queued requests.
    #[must_use]
    pub fn victim(&self, team: &TeamId) -> Option<RequestNumber> {
        self.teams.get(team)?.heaviest()
    }

    /// Returns all queued requests, earliest deadline first.
    pub fn requests(&self) -> impl Iterator<Item = RequestNumber> {
        self.by_deadline.iter().map(|(_, request)| *request)
    }
}
