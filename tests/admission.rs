//! Tests of admission: the fair queue against a plain list and its fairness bound, the wait bound
//! of standing queues, and team limits across entry VMs.

use guavapass::{
    admission::{FairQueue, QueueEntry, QueueWaitLimiter, TeamLimiter},
    configuration::TeamLimits,
    ids::{RequestNumber, TeamId},
    peer::PeerName,
    routing::SizeClass,
    units::{Millis, RequestsPerSecond, SlotTime, Tokens},
};
use proptest::{prelude::*, test_runner::RngSeed};
use std::collections::{BTreeMap, BTreeSet};

const MAX_COST_MS: f64 = 100.0;

fn proptest_config() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..Default::default() }
}

fn entry(request: u64, team: u8, subscriber: u8, class: SizeClass, cost: f64) -> QueueEntry {
    QueueEntry {
        request: RequestNumber(request),
        team: format!("team-{team}").parse().unwrap(),
        subscriber: format!("subscriber-{subscriber}").parse().unwrap(),
        class,
        cost: SlotTime(cost),
        weight: 1.0,
        queued: Millis(request),
        deadline: Millis(1_000 + request),
    }
}

#[derive(Clone, Debug)]
enum QueueStep {
    Push { team: u8, subscriber: u8, is_long: bool, cost: u8 },
    Pop { is_long: bool },
    PutBack,
    Remove { index: u8 },
    Correct { team: u8, subscriber: u8, difference: i8 },
}

fn steps() -> impl Strategy<Value = Vec<QueueStep>> {
    let step = prop_oneof![
        4 => (0..4u8, 0..3u8, any::<bool>(), 1..100u8).prop_map(
            |(team, subscriber, is_long, cost)| QueueStep::Push { team, subscriber, is_long, cost }
        ),
        3 => any::<bool>().prop_map(|is_long| QueueStep::Pop { is_long }),
        1 => Just(QueueStep::PutBack),
        1 => any::<u8>().prop_map(|index| QueueStep::Remove { index }),
        1 => (0..4u8, 0..3u8, any::<i8>()).prop_map(
            |(team, subscriber, difference)| QueueStep::Correct { team, subscriber, difference }
        ),
    ];
    proptest::collection::vec(step, 1..200)
}

const fn class(is_long: bool) -> SizeClass {
    if is_long { SizeClass::Long } else { SizeClass::Short }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// Compares the queue with a plain list: no request is lost, duplicated or returned for the
    /// wrong size class, and `pop` returns a request for every class that has one.
    #[test]
    fn fair_queue_matches_plain_list(steps in steps()) {
        let mut queue = FairQueue::default();
        let mut list: BTreeMap<u64, QueueEntry> = BTreeMap::new();
        let mut popped: Option<QueueEntry> = None;
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                QueueStep::Push { team, subscriber, is_long, cost } => {
                    let new = entry(number as u64, team, subscriber, class(is_long), f64::from(cost));
                    list.insert(number as u64, new.clone());
                    queue.push(new);
                }
                QueueStep::Pop { is_long } => {
                    let found = queue.pop(class(is_long));
                    let expected = list.values().any(|entry| entry.class == class(is_long));
                    prop_assert_eq!(found.is_some(), expected);
                    if let Some(found) = found {
                        prop_assert_eq!(Some(&found), list.get(&found.request.0));
                        list.remove(&found.request.0);
                        popped = Some(found);
                    }
                }
                QueueStep::PutBack => {
                    if let Some(back) = popped.take() {
                        list.insert(back.request.0, back.clone());
                        queue.push_front(back);
                    }
                }
                QueueStep::Remove { index } => {
                    let request = RequestNumber(u64::from(index));
                    prop_assert_eq!(queue.remove(request), list.remove(&request.0));
                }
                QueueStep::Correct { team, subscriber, difference } => {
                    let key = entry(0, team, subscriber, SizeClass::Short, 1.0);
                    let difference = SlotTime(f64::from(difference));
                    queue.correct(&key.team, &key.subscriber, 1.0, difference);
                }
            }
            prop_assert_eq!(queue.len(), list.len());
            let listed: BTreeSet<u64> = list.keys().copied().collect();
            let queued: BTreeSet<u64> = queue.requests().map(|request| request.0).collect();
            prop_assert_eq!(queued, listed);
            let oldest = list.values().filter(|entry| entry.class == SizeClass::Short);
            let oldest = oldest.map(|entry| (entry.queued, entry.request)).min();
            prop_assert_eq!(queue.oldest(SizeClass::Short), oldest);
        }
    }

    /// The fairness bound between a heavy and a light team or subscriber: while both have work
    /// queued, their received service differs by at most one largest request of each.
    #[test]
    fn service_differs_by_at_most_one_request_each(
        costs in proptest::collection::vec((1..=100u32, 1..=100u32), 60),
        heavy_first in 0..500usize,
        by_subscriber in any::<bool>(),
    ) {
        let mut queue = FairQueue::default();
        let team_and_subscriber = |owner: u8| if by_subscriber { (0, owner) } else { (owner, 0) };
        for number in 0..heavy_first {
            let (team, subscriber) = team_and_subscriber(0);
            queue.push(entry(number as u64, team, subscriber, SizeClass::Short, MAX_COST_MS));
        }
        for (number, (heavy, light)) in costs.iter().enumerate() {
            for (owner, cost) in [(0, heavy), (1, light)] {
                let (team, subscriber) = team_and_subscriber(owner);
                let request = 1_000 + 2 * number as u64 + u64::from(owner);
                queue.push(entry(request, team, subscriber, SizeClass::Short, f64::from(*cost)));
            }
        }
        let mut served = [0.0, 0.0];
        let mut left = [heavy_first + costs.len(), costs.len()];
        while left.iter().all(|left| *left > 0) {
            let next = queue.pop(SizeClass::Short).unwrap();
            let light = if by_subscriber { team_and_subscriber(1).1 } else { team_and_subscriber(1).0 };
            let name = if by_subscriber { next.subscriber.to_string() } else { next.team.to_string() };
            let owner = usize::from(name.ends_with(&format!("-{light}")));
            served[owner] += next.cost.0;
            left[owner] -= 1;
            prop_assert!((served[0] - served[1]).abs() <= 2.0 * MAX_COST_MS, "{served:?}");
        }
    }
}

#[test]
fn refunded_subscriber_is_still_served() {
    let mut queue = FairQueue::default();
    queue.push(entry(1, 0, 0, SizeClass::Short, 10.0));
    queue.push(entry(2, 0, 0, SizeClass::Short, 10.0));
    let first = queue.pop(SizeClass::Short).unwrap();
    queue.correct(&first.team, &first.subscriber, 1.0, SlotTime(-50.0));
    assert_eq!(queue.pop(SizeClass::Short).unwrap().request, RequestNumber(2));
}

#[test]
fn shed_request_is_newest_of_heaviest_team() {
    let mut queue = FairQueue::default();
    (1..=5).for_each(|number| queue.push(entry(number, 0, 0, SizeClass::Short, 10.0)));
    queue.push(entry(6, 1, 0, SizeClass::Short, 20.0));
    let team = queue.heaviest_team().map(|(team, _)| team.clone()).unwrap();
    assert_eq!(team.as_str(), "team-0");
    assert_eq!(queue.victim(&team), Some(RequestNumber(5)));
}

#[test]
fn standing_queue_shortens_the_wait_bound() {
    let mut gate = QueueWaitLimiter::default();
    gate.observe(Millis(0), false);
    assert_eq!(
        gate.longest_wait(Millis(500), Millis(250)),
        Millis(QueueWaitLimiter::BURST_WAIT_MS)
    );
    assert_eq!(gate.longest_wait(Millis(1_000), Millis(250)), Millis(250));
    gate.observe(Millis(1_100), true);
    assert_eq!(
        gate.longest_wait(Millis(1_200), Millis(250)),
        Millis(QueueWaitLimiter::BURST_WAIT_MS)
    );
}

/// Three entry VMs that share a limit of 30 requests per second, with uneven demand.
struct LimitedVms {
    books: Vec<TeamLimiter>,
    admitted: u64,
}

impl LimitedVms {
    const LIMIT: f64 = 30.0;
    const REQUEST_INTERVALS_MS: [u64; 3] = [10, 20, 100];

    fn run(&mut self, from: u64, to: u64, exchange: bool) {
        let team: TeamId = "crews".parse().unwrap();
        let limits =
            TeamLimits { rate: Some(RequestsPerSecond(Self::LIMIT)), ..TeamLimits::default() };
        self.admitted = 0;
        for now in from..to {
            let at = Millis(now);
            for (book, every) in self.books.iter_mut().zip(Self::REQUEST_INTERVALS_MS) {
                if now % every == 0 && book.admit(at, &team, &limits, 1.0, 3, Tokens(1)).is_ok() {
                    self.admitted += 1;
                }
            }
            if exchange && now % 1_000 == 0 {
                self.exchange(at, now);
            }
        }
    }

    fn exchange(&mut self, now: Millis, sequence: u64) {
        let demands: Vec<_> = self.books.iter().map(|book| book.demands(now)).collect();
        for (from, demands) in demands.into_iter().enumerate() {
            let origin = PeerName {
                vm: format!("vm-{from}").parse().unwrap(),
                incarnation: guavapass::ids::Incarnation(1),
            };
            for (to, book) in self.books.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                assert_ne!(to, from);
                book.merge(now, &origin, sequence, demands.clone());
            }
        }
    }
}

#[test]
fn limit_holds_across_vms() {
    let mut vms = LimitedVms { books: vec![TeamLimiter::default(); 3], admitted: 0 };
    vms.run(0, 10_000, true);
    vms.run(10_000, 30_000, true);
    let rate = vms.admitted as f64 / 20.0;
    assert!((0.9..=1.05).contains(&(rate / LimitedVms::LIMIT)), "{rate} a second");
}

#[test]
fn limit_holds_roughly_in_a_partition() {
    let mut vms = LimitedVms { books: vec![TeamLimiter::default(); 3], admitted: 0 };
    vms.run(0, 10_000, true);
    vms.run(10_000, 20_000, false);
    vms.run(20_000, 40_000, false);
    let rate = vms.admitted as f64 / 20.0;
    assert!((0.8..=1.05).contains(&(rate / LimitedVms::LIMIT)), "{rate} a second");
}
