//! Unit tests of the parts of placement: lease, plan, rate limit of loads, and drains.

use guavapass::{
    configuration::{FenceRule, VersionState},
    ids::*,
    peer::PeerName,
    placement::*,
    ports::LogRecord,
    units::{ByteSize, Millis, Share},
};

/// The lease table and the lease of one VM.
struct Reader {
    table: LeaseTable,
    lease: PlacementLease,
}

impl Reader {
    fn new(vm: &str) -> Self {
        let name = PeerName { vm: vm.parse().unwrap(), incarnation: Incarnation(1) };
        let pool = "planning".parse().unwrap();
        Self { table: LeaseTable::new(name.clone()), lease: PlacementLease::new(name, pool) }
    }

    fn next_record(&mut self, now: u64, intent: LeaseIntent) -> Option<LeaseRecord> {
        self.lease.next_record(Millis(now), &self.table, intent)
    }

    fn read(&mut self, now: u64, offset: u64, record: &LeaseRecord) {
        let record = serde_json::to_vec(record).unwrap().into();
        let record = LogRecord { offset: Offset(offset), record };
        if let Some(folded) = self.table.fold(Millis(now), &record) {
            self.lease.on_record(Millis(now), &folded);
        }
    }

    fn may_order(&self, now: u64, rule: FenceRule) -> bool {
        self.lease.right(Millis(now), &self.table, rule).is_some()
    }
}

const REFUSES: FenceRule = FenceRule::Refuses;

/// Returns two readers, of which the first holds the lease with fencing number 0.
fn held() -> (Reader, Reader) {
    let (mut first, mut second) = (Reader::new("vm-1"), Reader::new("vm-2"));
    let acquire = first.next_record(0, LeaseIntent::Hold).unwrap();
    for reader in [&mut first, &mut second] {
        reader.read(10, 0, &acquire);
    }
    (first, second)
}

#[test]
fn lease_race_has_one_winner() {
    let (mut first, mut second) = (Reader::new("vm-1"), Reader::new("vm-2"));
    let one = first.next_record(0, LeaseIntent::Hold).unwrap();
    let two = second.next_record(0, LeaseIntent::Hold).unwrap();
    for reader in [&mut first, &mut second] {
        reader.read(10, 0, &one);
        reader.read(10, 1, &two);
    }
    assert!(first.may_order(20, REFUSES));
    assert!(!second.may_order(20, REFUSES));
}

#[test]
fn lease_counts_from_the_append() {
    let mut first = Reader::new("vm-1");
    let acquire = first.next_record(0, LeaseIntent::Hold).unwrap();
    first.read(20_000, 0, &acquire);
    assert!(first.may_order(PlacementLease::HOLD_MS - 1, REFUSES));
    assert!(!first.may_order(PlacementLease::HOLD_MS, REFUSES));
}

#[test]
fn lease_read_too_late_is_not_held() {
    let mut first = Reader::new("vm-1");
    let acquire = first.next_record(0, LeaseIntent::Hold).unwrap();
    first.read(PlacementLease::HOLD_MS, 0, &acquire);
    assert!(!first.may_order(PlacementLease::HOLD_MS, REFUSES));
}

#[test]
fn lease_taken_over_after_silence() {
    let (mut first, mut second) = held();
    assert_eq!(second.next_record(10 + PlacementLease::LEASE_MS - 1, LeaseIntent::Hold), None);
    let now = 10 + PlacementLease::LEASE_MS;
    let acquire = second.next_record(now, LeaseIntent::Hold).unwrap();
    first.read(now, 1, &acquire);
    second.read(now, 1, &acquire);
    assert!(second.may_order(now, REFUSES));
    assert!(!first.may_order(now, REFUSES));
    assert_eq!(second.lease.fence(Millis(now)), Some(Fence(1)));
}

#[test]
fn renewal_before_takeover_wins() {
    let (mut first, mut second) = held();
    let renew = first.next_record(15_000, LeaseIntent::Hold).unwrap();
    let now = 10 + PlacementLease::LEASE_MS;
    let acquire = second.next_record(now, LeaseIntent::Hold).unwrap();
    for reader in [&mut first, &mut second] {
        reader.read(now, 1, &renew);
        reader.read(now, 2, &acquire);
    }
    assert!(first.may_order(now, REFUSES));
    assert!(!second.may_order(now, REFUSES));
}

#[test]
fn renewal_delayed_past_takeover_is_void() {
    let (mut first, mut second) = held();
    let renew = first.next_record(23_000, LeaseIntent::Hold).unwrap();
    let now = 10 + PlacementLease::LEASE_MS;
    let acquire = second.next_record(now, LeaseIntent::Hold).unwrap();
    for reader in [&mut first, &mut second] {
        reader.read(now, 1, &acquire);
        reader.read(now, 2, &renew);
    }
    assert!(!first.may_order(now, REFUSES));
    assert!(second.may_order(now, REFUSES));
    assert_eq!(second.table.get(&"planning".parse().unwrap()).unwrap().fence, Fence(1));
}

#[test]
fn renewal_after_lost_answer_has_one_fence() {
    let mut first = Reader::new("vm-1");
    let one = first.next_record(0, LeaseIntent::Hold).unwrap();
    let again = first.next_record(4_000, LeaseIntent::Hold).unwrap();
    first.read(5_000, 0, &one);
    first.read(5_000, 1, &again);
    assert_eq!(first.lease.fence(Millis(5_000)), Some(Fence(0)));
}

#[test]
fn renewal_with_a_strange_fence_is_void() {
    let (mut first, mut second) = held();
    let stale = LeaseRecord {
        pool: "planning".parse().unwrap(),
        holder: PeerName { vm: "vm-2".parse().unwrap(), incarnation: Incarnation(1) },
        serial: 9,
        seen: Offset(1),
        step: LeaseStep::Renew(Fence(0)),
    };
    first.read(20, 1, &stale);
    second.read(20, 1, &stale);
    assert!(first.may_order(30, REFUSES));
}

#[test]
fn release_frees_at_once() {
    let (mut first, mut second) = held();
    let release = first.next_record(100, LeaseIntent::Release).unwrap();
    assert!(!first.may_order(100, REFUSES));
    second.read(200, 1, &release);
    assert!(second.next_record(200, LeaseIntent::Hold).is_some());
}

#[test]
fn engines_that_ignore_fences_wait_out_the_pause() {
    let (mut first, mut second) = held();
    let release = first.next_record(100, LeaseIntent::Release).unwrap();
    second.read(200, 1, &release);
    let acquire = second.next_record(40_000, LeaseIntent::Hold).unwrap();
    second.read(40_010, 2, &acquire);
    let free = 200 + PlacementLease::LEASE_MS + PlacementLease::PAUSE_MS;
    assert!(second.may_order(41_000, REFUSES));
    assert!(!second.may_order(free - 1, FenceRule::Ignores));
    assert!(second.may_order(free, FenceRule::Ignores));
}

#[test]
fn refused_fence_ends_the_lease() {
    let (mut first, _) = held();
    first.lease.on_fence_refused(Millis(50), Fence(0));
    assert!(!first.may_order(50, REFUSES));
    assert_eq!(first.next_record(60, LeaseIntent::Hold), None);
}

fn need(memory: u64, share: f64, demand: f64) -> VersionNeed {
    VersionNeed {
        state: VersionState::Live,
        memory: ByteSize(memory),
        share: Share::new(share).unwrap(),
        min_copies: 1,
        demand,
    }
}

/// Returns a view of servers with these versions loaded, in two data centres by turns.
fn view(loaded: &[&[&str]], needs: &[(&str, VersionNeed)]) -> PlacementView {
    let servers = loaded.iter().enumerate().map(|(index, versions)| ServerView {
        id: format!("engine-{index}").parse().unwrap(),
        data_centre: format!("dc-{}", index % 2).parse().unwrap(),
        availability: ServerAvailability::Available,
        loaded: versions.iter().map(|text| text.parse().unwrap()).collect(),
        loading: std::collections::BTreeSet::new(),
    });
    PlacementView {
        slots: 10,
        memory: ByteSize(100),
        versions: needs.iter().map(|(id, need)| (id.parse().unwrap(), *need)).collect(),
        servers: servers.collect(),
    }
}

fn planned(plan: &PlacementPlan, id: &str) -> usize {
    let id = id.parse().unwrap();
    plan.desired.values().filter(|versions| versions.contains(&id)).count()
}

#[test]
fn plan_keeps_what_suffices() {
    let view = view(&[&["a@1"], &["a@1"], &[]], &[("a@1", need(50, 0.0, 8.0))]);
    let plan = PlacementPlan::of(&view);
    for server in &view.servers {
        assert_eq!(plan.desired[&server.id], server.loaded);
    }
}

#[test]
fn plan_grows_with_demand() {
    let view = view(&[&["a@1"], &[], &[]], &[("a@1", need(50, 0.0, 15.0))]);
    assert_eq!(planned(&PlacementPlan::of(&view), "a@1"), 3);
}

#[test]
fn plan_holds_between_grow_and_shrink() {
    let demand = 12.0;
    let two = view(&[&["a@1"], &["a@1"], &[], &[]], &[("a@1", need(50, 0.0, demand))]);
    let three = view(&[&["a@1"], &["a@1"], &["a@1"], &[]], &[("a@1", need(50, 0.0, demand))]);
    assert_eq!(PlacementPlan::of(&two).wanted.values().sum::<usize>(), 2);
    assert_eq!(PlacementPlan::of(&three).wanted.values().sum::<usize>(), 3);
}

#[test]
fn plan_never_evicts_the_last_copy() {
    let needs = [("a@1", need(60, 0.0, 0.0)), ("b@1", need(60, 1.0, 500.0))];
    let view = view(&[&["a@1"], &["b@1"]], &needs);
    let plan = PlacementPlan::of(&view);
    assert_eq!(planned(&plan, "a@1"), 1);
    assert!(plan.unplaced.contains(&"b@1".parse().unwrap()));
}

#[test]
fn plan_evicts_spare_copies_only() {
    let needs = [("a@1", need(60, 0.0, 0.0)), ("b@1", need(60, 0.5, 0.0))];
    let view = view(&[&["a@1"], &["a@1"], &["a@1"], &["a@1"]], &needs);
    let plan = PlacementPlan::of(&view);
    assert_eq!((planned(&plan, "a@1"), planned(&plan, "b@1")), (2, 2));
}

#[test]
fn plan_drops_withdrawn_versions() {
    let mut withdrawn = need(10, 0.0, 50.0);
    withdrawn.state = VersionState::Withdrawn;
    let view = view(&[&["a@1", "a@2"]], &[("a@1", need(10, 0.0, 0.0)), ("a@2", withdrawn)]);
    assert_eq!(planned(&PlacementPlan::of(&view), "a@2"), 0);
}

#[test]
fn plan_spreads_over_data_centres() {
    let view = view(&[&["a@1"], &[], &[], &[]], &[("a@1", need(50, 0.5, 0.0))]);
    let plan = PlacementPlan::of(&view);
    let second = plan
        .desired
        .iter()
        .find(|(id, versions)| id.as_str() != "engine-0" && !versions.is_empty());
    assert_eq!(second.unwrap().0.as_str(), "engine-1");
}

#[test]
fn plan_prefers_servers_with_the_model() {
    let needs =
        [("a@1", need(20, 0.0, 0.0)), ("b@1", need(20, 0.0, 0.0)), ("a@2", need(20, 0.0, 0.0))];
    let mut view = view(&[&["b@1"], &["a@1"]], &needs);
    view.servers[1].data_centre = view.servers[0].data_centre.clone();
    let plan = PlacementPlan::of(&view);
    assert!(plan.desired[&"engine-1".parse().unwrap()].contains(&"a@2".parse().unwrap()));
}

#[test]
fn plan_leaves_servers_out_of_reach_alone() {
    let mut withdrawn = need(10, 0.0, 0.0);
    withdrawn.state = VersionState::Withdrawn;
    let needs = [("a@1", withdrawn), ("b@1", need(10, 1.0, 0.0))];
    let mut view = view(&[&["a@1"], &["a@1"]], &needs);
    view.servers[0].availability = ServerAvailability::Unavailable;
    let plan = PlacementPlan::of(&view);
    assert_eq!(plan.desired[&view.servers[0].id], view.servers[0].loaded);
    assert_eq!(planned(&plan, "b@1"), 1);
}

#[test]
fn load_rate_limiter_spreads_loads() {
    let mut limiter = LoadRateLimiter::default();
    let taken =
        (0..60_000).step_by(100).filter(|now| limiter.try_start_load(Millis(*now), 6)).count();
    assert!((6..=7).contains(&taken), "{taken} loads in a minute");
}

#[test]
fn load_rate_limiter_obeys_retry_after() {
    let mut limiter = LoadRateLimiter::default();
    limiter.pause(Millis(0), Millis(30_000));
    assert!(!limiter.try_start_load(Millis(29_999), 60));
    assert!(limiter.try_start_load(Millis(30_000), 60));
}

#[test]
fn drain_ends_without_notices() {
    let mut table = DrainTable::default();
    let place = ServerVersion { server: "s".parse().unwrap(), version: "a@1".parse().unwrap() };
    let pool = "planning".parse().unwrap();
    assert!(table.apply_notice(Millis(0), &pool, Fence(5), std::slice::from_ref(&place)));
    assert!(
        !table.apply_notice(Millis(1), &pool, Fence(4), &[]),
        "the notice of an earlier holder must be ignored"
    );
    assert!(table.is_draining(
        Millis(DrainTable::NOTICE_EXPIRY_MS - 1),
        &place.server,
        &place.version
    ));
    assert!(!table.is_draining(
        Millis(DrainTable::NOTICE_EXPIRY_MS),
        &place.server,
        &place.version
    ));
}
