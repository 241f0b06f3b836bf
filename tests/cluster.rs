//! Tests of several simulated entry VMs under faults: configuration, membership and withdrawals.

use guavapass::{
    configuration::{ConfigurationChange, ConfigurationDocument, PublicationOutcome},
    control::{Event, OperatorAnswer, OperatorRequest},
    ids::{DataCentreId, Revision, VersionId},
    peer::PeerState,
    ports::MemberState,
    stand_in::{CoreCluster, CoreState},
    units::Millis,
};

const DOCUMENT: &str = include_str!("support/document.json");
const CENTRES: [&str; 4] = ["norte", "sur", "valle", "cumbaya"];
const HOUR: Millis = Millis(3_600_000);

fn seconds(count: u64) -> Millis {
    Millis(count * 1_000)
}

fn document() -> ConfigurationDocument {
    serde_json::from_str(DOCUMENT).unwrap()
}

fn publish(name: &str, change: ConfigurationChange, wait: Millis) -> OperatorRequest {
    OperatorRequest::Publish { publication: name.into(), base: None, change, wait }
}

fn preset(name: &str, to: &str) -> OperatorRequest {
    publish(name, ConfigurationChange::Preset(to.parse().unwrap()), seconds(30))
}

/// Returns a cluster of nine VMs in four data centres with the test document in force.
fn cluster() -> CoreCluster {
    sized_cluster(9)
}

fn sized_cluster(count: usize) -> CoreCluster {
    let mut cluster = CoreCluster::new(7).with_vms(count, &CENTRES);
    cluster.run(seconds(3));
    let change = ConfigurationChange::Document(Box::new(document()));
    cluster.ask(0, 1, publish("first", change, seconds(30)));
    assert!(cluster.run_until(seconds(5), at_revision(1)).is_some(), "{:?}", cluster.revisions());
    cluster
}

fn at_revision(revision: u64) -> impl FnMut(&CoreCluster) -> bool {
    move |cluster| cluster.revisions().iter().all(|found| *found == Revision(revision))
}

fn outcome(cluster: &CoreCluster, vm: usize, call: u64) -> Option<PublicationOutcome> {
    match cluster.answer(vm, call)? {
        OperatorAnswer::Published(outcome) => Some(outcome.clone()),
        answer => panic!("not the outcome of a publication: {answer:?}"),
    }
}

fn centre(name: &str) -> DataCentreId {
    name.parse().unwrap()
}

fn version(name: &str) -> VersionId {
    name.parse().unwrap()
}

#[test]
fn publish_racing_operators() {
    let mut cluster = cluster();
    cluster.ask(0, 10, preset("a", "peak"));
    cluster.ask(1, 11, preset("b", "maintenance"));
    cluster.run(seconds(3));
    let outcomes = [outcome(&cluster, 0, 10).unwrap(), outcome(&cluster, 1, 11).unwrap()];
    let accepted =
        |outcome: &&PublicationOutcome| matches!(outcome, PublicationOutcome::Accepted(_));
    assert_eq!(outcomes.iter().filter(accepted).count(), 1, "{outcomes:?}");
    assert!(cluster.agrees() && at_revision(2)(&cluster), "{:?}", cluster.revisions());
}

#[test]
fn publish_append_answer_lost() {
    let mut cluster = cluster();
    cluster.faults.lost_appends = 1;
    cluster.ask(3, 10, preset("a", "peak"));
    cluster.run(seconds(10));
    assert_eq!(outcome(&cluster, 3, 10), Some(PublicationOutcome::Accepted(Revision(2))));
    assert!(at_revision(2)(&cluster), "{:?}", cluster.revisions());
}

#[test]
fn publish_appended_twice() {
    let mut cluster = cluster();
    cluster.faults.lost_appends = 2;
    let records = cluster.log.records.len();
    cluster.ask(3, 10, preset("a", "peak"));
    cluster.run(seconds(1));
    cluster.faults.platform_down = true;
    cluster.run(seconds(10));
    cluster.faults.platform_down = false;
    let again = cluster.log.records[records].clone();
    cluster.log.records.push(again);
    cluster.run(seconds(10));
    assert_eq!(outcome(&cluster, 3, 10), Some(PublicationOutcome::Accepted(Revision(2))));
    assert!(at_revision(2)(&cluster), "{:?}", cluster.revisions());
}

#[test]
fn publish_waits_through_outage() {
    let mut cluster = CoreCluster::new(7).with_vms(3, &CENTRES[..1]);
    cluster.tick = Millis(100);
    let change = ConfigurationChange::Document(Box::new(document()));
    cluster.ask(0, 1, publish("first", change, seconds(30)));
    cluster.run(seconds(5));
    cluster.faults.platform_down = true;
    cluster.run(seconds(1));
    let change = ConfigurationChange::Preset("peak".parse().unwrap());
    cluster.ask(1, 10, publish("a", change, Millis(2 * HOUR.0)));
    cluster.run(HOUR);
    assert_eq!(outcome(&cluster, 1, 10), None);
    cluster.faults.platform_down = false;
    cluster.run(seconds(5));
    assert_eq!(outcome(&cluster, 1, 10), Some(PublicationOutcome::Accepted(Revision(2))));
    assert!(at_revision(2)(&cluster), "{:?}", cluster.revisions());
}

#[test]
fn publish_outage_outlasts_wait() {
    let mut cluster = cluster();
    cluster.faults.platform_down = true;
    cluster.run(seconds(1));
    cluster.ask(0, 10, preset("a", "peak"));
    cluster.run(seconds(31));
    let certain = outcome(&cluster, 0, 10).unwrap();
    assert!(matches!(certain, PublicationOutcome::Rejected(_)), "{certain:?}");
    cluster.faults.platform_down = false;
    cluster.run(seconds(10));
    assert!(at_revision(1)(&cluster), "{:?}", cluster.revisions());
}

#[test]
fn publish_unknown_is_truthful() {
    let mut cluster = cluster();
    cluster.faults.lost_appends = 1;
    cluster.ask(0, 10, preset("a", "peak"));
    cluster.run(Millis(2));
    let records = cluster.log.records.len();
    assert!(cluster.run_until(seconds(1), |cluster| cluster.log.records.len() > records).is_some());
    cluster.faults.platform_down = true;
    cluster.faults.partitioned = CENTRES.iter().map(|name| centre(name)).collect();
    let hidden = cluster.log.records.pop().unwrap();
    cluster.run(seconds(31));
    let unknown = outcome(&cluster, 0, 10).unwrap();
    assert!(matches!(unknown, PublicationOutcome::Unknown(_)), "{unknown:?}");
    cluster.log.records.push(hidden);
    cluster.faults.platform_down = false;
    cluster.faults.partitioned.clear();
    cluster.run(seconds(20));
    assert!(at_revision(2)(&cluster), "{:?}", cluster.revisions());
}

#[test]
fn snapshot_before_retention() {
    let mut cluster = CoreCluster::new(7).with_vms(2, &CENTRES[..1]);
    cluster.tick = Millis(100);
    let change = ConfigurationChange::Document(Box::new(document()));
    cluster.ask(0, 1, publish("first", change, seconds(30)));
    cluster.run(Millis(HOUR.0 + 120_000));
    assert!(cluster.log.records.len() > 1, "no snapshot was appended");
    let last = cluster.log.next() - 1;
    cluster.log.trim(last);
    cluster.faults.partitioned = [centre("norte")].into();
    let fresh = cluster.add_vm("vm-new", "sur", 5);
    cluster.run(seconds(5));
    assert_eq!(cluster.vms[fresh].control.configuration().revision(), Revision(1));
}

#[test]
fn log_trimmed_past_position() {
    let mut cluster = cluster();
    cluster.vms[4].state = CoreState::Paused;
    cluster.ask(0, 10, preset("a", "peak"));
    cluster.run(seconds(2));
    cluster.ask(0, 11, preset("b", "maintenance"));
    cluster.run(seconds(2));
    let next = cluster.log.next();
    cluster.log.trim(next);
    cluster.vms[4].state = CoreState::Running;
    assert!(cluster.run_until(seconds(5), at_revision(3)).is_some(), "{:?}", cluster.revisions());
    assert!(cluster.agrees());
}

#[test]
fn log_restored_to_older_state() {
    let mut cluster = cluster();
    for (call, to) in ["peak", "maintenance", "ordinary"].into_iter().enumerate() {
        cluster.ask(0, 10 + call as u64, preset(to, to));
        cluster.run(seconds(2));
    }
    assert!(at_revision(4)(&cluster), "{:?}", cluster.revisions());
    cluster.log.records.truncate(1);
    cluster.run(seconds(60));
    assert!(at_revision(4)(&cluster), "{:?}", cluster.revisions());
    cluster.ask(2, 20, preset("after", "peak"));
    cluster.run(seconds(20));
    assert_eq!(outcome(&cluster, 2, 20), Some(PublicationOutcome::Accepted(Revision(5))));
    assert!(at_revision(5)(&cluster) && cluster.agrees(), "{:?}", cluster.revisions());
    cluster.faults.partitioned = CENTRES[1..].iter().map(|name| centre(name)).collect();
    let fresh = cluster.add_vm("vm-new", "norte", 5);
    cluster.run(seconds(10));
    assert_eq!(cluster.vms[fresh].control.configuration().revision(), Revision(5));
}

#[test]
fn centre_cut_off_and_healed() {
    let mut cluster = cluster();
    cluster.faults.partitioned = [centre("sur")].into();
    cluster.run(seconds(10));
    cluster.ask(0, 10, preset("a", "peak"));
    cluster.run(seconds(10));
    let ready = cluster.vms.iter().all(|vm| vm.control.is_ready());
    assert!(ready, "a VM stopped serving");
    for vm in &cluster.vms {
        let cut = vm.data_centre.as_str() == "sur";
        let expected = Revision(if cut { 1 } else { 2 });
        assert_eq!(vm.control.configuration().revision(), expected, "{}", vm.name);
        for peer in vm.control.peers().iter() {
            let same_side = cut == (peer.data_centre.as_str() == "sur");
            assert_eq!(peer.is_in_reach(), same_side, "{} sees {}", vm.name, peer.vm);
        }
    }
    cluster.faults.partitioned.clear();
    assert!(cluster.run_until(seconds(5), at_revision(2)).is_some(), "{:?}", cluster.revisions());
    let all_reach = |cluster: &CoreCluster| {
        cluster.vms.iter().all(|vm| vm.control.peers().iter().all(PeerState::is_in_reach))
    };
    assert!(cluster.run_until(seconds(15), all_reach).is_some());
}

#[test]
fn vm_paused_and_resumed() {
    let mut cluster = cluster();
    cluster.ask(1, 10, preset("a", "peak"));
    cluster.run(Millis(4));
    let awaits_reply = |cluster: &CoreCluster| {
        let mut peers = cluster.vms[0].control.peers().iter();
        peers
            .any(|peer| peer.pending_exchange.is_some_and(|(_, sent)| peer.last_heard < Some(sent)))
    };
    assert!(cluster.run_until(seconds(5), awaits_reply).is_some());
    cluster.vms[0].state = CoreState::Paused;
    cluster.run(seconds(60));
    let others = cluster.revisions()[1..].iter().all(|revision| *revision == Revision(2));
    assert!(others, "{:?}", cluster.revisions());
    cluster.vms[0].state = CoreState::Running;
    cluster.handle(0, Event::Tick);
    let missed =
        cluster.vms[0].control.peers().iter().filter(|peer| peer.consecutive_failures > 0).count();
    assert_eq!(missed, 0, "the pause counts against the peers");
    assert!(cluster.run_until(seconds(3), at_revision(2)).is_some(), "{:?}", cluster.revisions());
    let blamed = cluster.vms[0].control.peers().iter().filter(|peer| !peer.is_in_reach()).count();
    assert_eq!(blamed, 0, "the paused VM blames its peers");
}

#[test]
fn vms_replaced_with_platform_down() {
    let mut cluster = cluster();
    cluster.faults.platform_down = true;
    cluster.run(seconds(5));
    for index in 1..9 {
        let name = cluster.vms[index].name.vm.to_string();
        cluster.replace_vm(index, &name, 2);
        let seeds = cluster.members.entry_vms[..3].to_vec();
        cluster.seed(index, seeds);
    }
    assert!(cluster.run_until(seconds(10), at_revision(1)).is_some(), "{:?}", cluster.revisions());
}

#[test]
fn all_vms_replaced_with_platform_down() {
    let mut cluster = cluster();
    cluster.faults.platform_down = true;
    for index in 0..9 {
        let name = cluster.vms[index].name.vm.to_string();
        cluster.replace_vm(index, &name, 2);
        let seeds = cluster.members.entry_vms.clone();
        cluster.seed(index, seeds);
    }
    cluster.run(seconds(10));
    assert!(cluster.vms.iter().all(|vm| !vm.control.is_ready()), "a VM serves without a document");
    cluster.faults.platform_down = false;
    assert!(cluster.run_until(seconds(5), at_revision(1)).is_some(), "{:?}", cluster.revisions());
}

#[test]
fn messages_repeated_late_and_lost() {
    let mut cluster = cluster();
    cluster.faults.loss = 0.3;
    cluster.faults.repeat = 0.3;
    cluster.faults.jitter = seconds(2);
    for step in 0..6 {
        let to = ["peak", "ordinary"][step % 2];
        cluster.ask(step, 10, preset(&format!("p-{step}"), to));
        let revision = 2 + step as u64;
        let reached = cluster.run_until(seconds(20), at_revision(revision));
        assert!(reached.is_some(), "{revision}: {:?}", cluster.revisions());
    }
    assert!(cluster.agrees());
}

#[test]
fn dead_vm_leaves_reach() {
    let mut cluster = cluster();
    cluster.run(seconds(5));
    cluster.vms[8].state = CoreState::Dead;
    let gone = |cluster: &CoreCluster| {
        let name = &cluster.vms[8].name.vm;
        let mut others = cluster.vms[..8].iter();
        others.all(|vm| vm.control.peers().get(name).is_none_or(|peer| !peer.is_in_reach()))
    };
    assert!(cluster.run_until(seconds(10), gone).is_some());
}

#[test]
fn new_vm_known_before_it_is_listed() {
    let mut cluster = cluster();
    let fresh = cluster.add_vm("vm-new", "norte", 1);
    let name = cluster.vms[fresh].name.vm.clone();
    let known = |cluster: &CoreCluster| {
        cluster.vms[..9].iter().filter(|vm| vm.control.peers().get(&name).is_some()).count() >= 4
    };
    assert!(cluster.run_until(seconds(10), known).is_some());
}

#[test]
fn old_incarnation_is_not_heard() {
    let mut cluster = cluster();
    cluster.run(seconds(5));
    let name = cluster.vms[8].name.vm.clone();
    cluster.replace_vm(8, name.as_str(), 2);
    cluster.run(seconds(5));
    let known = cluster.vms[0].control.peers().get(&name).unwrap().incarnation;
    assert_eq!(known.map(|incarnation| incarnation.0), Some(2));
    let from =
        guavapass::peer::PeerName { vm: name.clone(), incarnation: guavapass::ids::Incarnation(1) };
    let withdrawal = guavapass::peer::Withdrawal {
        version: version("planner@1"),
        generation: 0,
        reason: "late".into(),
        by: name,
    };
    let message = guavapass::peer::PeerMessage::Withdrawals(vec![withdrawal]);
    cluster.handle(0, guavapass::control::Event::FromPeer { from, message });
    assert!(!cluster.vms[0].control.is_withdrawn(&version("planner@1")));
}

#[test]
fn withdrawal_spreads_and_generation_ends_it() {
    let mut cluster = cluster();
    let id = version("planner@2");
    let now = cluster.local(0);
    cluster.vms[0].control.withdraw(now, id.clone(), 0, "too many errors");
    assert!(cluster.vms[0].control.is_withdrawn(&id));
    let everywhere = |cluster: &CoreCluster| {
        cluster.vms.iter().all(|vm| vm.control.is_withdrawn(&version("planner@2")))
    };
    assert!(cluster.run_until(seconds(5), everywhere).is_some());
    let mut next = document();
    let model = next.models.get_mut(&"planner".parse().unwrap()).unwrap();
    model.versions.get_mut("2").unwrap().generation = 1;
    let change = ConfigurationChange::Document(Box::new(next));
    cluster.ask(0, 10, publish("bring-back", change, seconds(30)));
    assert!(cluster.run_until(seconds(5), at_revision(2)).is_some());
    assert!(cluster.vms.iter().all(|vm| !vm.control.is_withdrawn(&id)));
}

#[test]
fn withdrawal_reaches_healed_centre() {
    let mut cluster = cluster();
    cluster.faults.partitioned = [centre("sur")].into();
    cluster.run(seconds(10));
    let id = version("planner@2");
    let now = cluster.local(0);
    cluster.vms[0].control.withdraw(now, id.clone(), 0, "too many errors");
    cluster.run(seconds(5));
    assert!(!cluster.vms[1].control.is_withdrawn(&id));
    cluster.faults.partitioned.clear();
    let everywhere =
        |cluster: &CoreCluster| cluster.vms.iter().all(|vm| vm.control.is_withdrawn(&id));
    assert!(cluster.run_until(seconds(10), everywhere).is_some());
}

#[test]
fn member_list_read_by_few_known_to_all() {
    let mut cluster = sized_cluster(40);
    cluster.list_server("engine-1", "planning", "norte");
    let known = |cluster: &CoreCluster| {
        let id = "engine-1".parse().unwrap();
        cluster.vms.iter().all(|vm| vm.control.servers().get(&id).is_some())
    };
    let took = cluster.run_until(seconds(10), known);
    assert!(took.is_some_and(|took| took <= seconds(2)), "{took:?}");
    cluster.members.backend_servers[0].state = MemberState::Leaving;
    let leaving = |cluster: &CoreCluster| {
        let id = "engine-1".parse().unwrap();
        let is_leaving = |vm: &guavapass::stand_in::CoreVm| {
            vm.control
                .servers()
                .get(&id)
                .is_some_and(|server| server.member == MemberState::Leaving)
        };
        cluster.vms.iter().all(is_leaving)
    };
    let took = cluster.run_until(seconds(10), leaving);
    assert!(took.is_some_and(|took| took <= seconds(2)), "{took:?}");
}

#[test]
fn load_reports_reach_all() {
    let mut cluster = cluster();
    cluster.list_server("engine-1", "unordered", "norte");
    cluster.run(seconds(8));
    let id = "engine-1".parse().unwrap();
    let known = |vm: &guavapass::stand_in::CoreVm| {
        vm.control.servers().get(&id).is_some_and(|server| server.load.is_some())
    };
    assert!(cluster.vms.iter().all(known));
    let reads: u64 = cluster.vms.iter().map(|vm| vm.bytes.loads).sum();
    cluster.run(seconds(4));
    let more: u64 = cluster.vms.iter().map(|vm| vm.bytes.loads).sum();
    assert_eq!(more - reads, 4, "one VM reads the report each second");
}

#[test]
fn status_names_vms_that_lag() {
    let mut cluster = cluster();
    cluster.run(seconds(5));
    cluster.vms[8].state = CoreState::Paused;
    cluster.ask(0, 10, preset("a", "peak"));
    cluster.run(seconds(4));
    let now = cluster.local(0);
    let status = cluster.vms[0].control.status(now);
    let current = &status.revisions[&Revision(2)];
    assert_eq!(current.count, 8, "{:?}", status.revisions);
    cluster.vms[8].state = CoreState::Running;
    cluster.run(seconds(5));
    let status = cluster.vms[0].control.status(cluster.local(0));
    assert_eq!(status.revisions[&Revision(2)].count, 9, "{:?}", status.revisions);
}

/// One step of a randomly generated history of operations and faults.
#[derive(Clone, Debug)]
enum HistoryStep {
    Publish { vm: usize, preset: usize },
    LoseAppends(u32),
    Pause(usize),
    Resume(usize),
    Replace(usize),
    Cut(usize),
    Heal,
    Outage(bool),
    Trim,
    Run(u64),
}

fn history() -> impl proptest::strategy::Strategy<Value = Vec<HistoryStep>> {
    use proptest::prelude::*;
    let step = prop_oneof![
        4 => (0..6_usize, 0..3_usize)
            .prop_map(|(vm, preset)| HistoryStep::Publish { vm, preset }),
        1 => (1..3_u32).prop_map(HistoryStep::LoseAppends),
        1 => (0..6_usize).prop_map(HistoryStep::Pause),
        2 => (0..6_usize).prop_map(HistoryStep::Resume),
        2 => (0..6_usize).prop_map(HistoryStep::Replace),
        1 => (0..2_usize).prop_map(HistoryStep::Cut),
        1 => Just(HistoryStep::Heal),
        1 => any::<bool>().prop_map(HistoryStep::Outage),
        1 => Just(HistoryStep::Trim),
        6 => (1..4_000_u64).prop_map(HistoryStep::Run),
    ];
    proptest::collection::vec(step, 1..40)
}

/// Runs a history with message loss, delay and duplication, then removes all faults and checks that
/// the VMs agree. Revisions must never decrease at a VM between restarts.
fn replay(steps: &[HistoryStep]) -> Result<(), proptest::test_runner::TestCaseError> {
    let mut cluster = CoreCluster::new(3).with_vms(6, &CENTRES[..2]);
    cluster.tick = Millis(100);
    cluster.faults.loss = 0.2;
    cluster.faults.repeat = 0.1;
    cluster.faults.jitter = Millis(300);
    cluster.run(seconds(2));
    let change = ConfigurationChange::Document(Box::new(document()));
    cluster.ask(0, 1, publish("first", change, seconds(30)));
    cluster.run(seconds(20));
    let mut last_revisions = vec![Revision(0); 6];
    let mut incarnation = 1;
    for (index, step) in steps.iter().enumerate() {
        match *step {
            HistoryStep::Publish { vm, preset: to } => {
                let to = ["ordinary", "peak", "maintenance"][to];
                cluster.ask(vm, 100 + index as u64, preset(&format!("p-{index}"), to));
            }
            HistoryStep::LoseAppends(count) => cluster.faults.lost_appends = count,
            HistoryStep::Pause(vm) => cluster.vms[vm].state = CoreState::Paused,
            HistoryStep::Resume(vm) => cluster.vms[vm].state = CoreState::Running,
            HistoryStep::Replace(vm) => {
                incarnation += 1;
                let name = cluster.vms[vm].name.vm.to_string();
                cluster.replace_vm(vm, &name, incarnation);
                last_revisions[vm] = Revision(0);
            }
            HistoryStep::Cut(centre) => {
                cluster.faults.partitioned = [CENTRES[centre].parse().unwrap()].into();
            }
            HistoryStep::Heal => cluster.faults.partitioned.clear(),
            HistoryStep::Outage(down) => cluster.faults.platform_down = down,
            HistoryStep::Trim => {
                let kept = cluster.log.next().saturating_sub(1);
                cluster.log.trim(kept);
            }
            HistoryStep::Run(millis) => {
                for _ in 0..millis.div_ceil(200) {
                    cluster.run(Millis(200));
                    check_monotonic(&cluster, &mut last_revisions)?;
                }
            }
        }
    }
    remove_faults_and_check(&mut cluster, &mut last_revisions)
}

fn check_monotonic(
    cluster: &CoreCluster,
    last_revisions: &mut [Revision],
) -> Result<(), proptest::test_runner::TestCaseError> {
    for (last, found) in last_revisions.iter_mut().zip(cluster.revisions()) {
        proptest::prop_assert!(*last <= found, "a revision fell from {last} to {found}");
        *last = found;
    }
    Ok(())
}

fn remove_faults_and_check(
    cluster: &mut CoreCluster,
    last_revisions: &mut [Revision],
) -> Result<(), proptest::test_runner::TestCaseError> {
    cluster.faults = guavapass::stand_in::CoreFaults::default();
    for vm in &mut cluster.vms {
        vm.state = CoreState::Running;
    }
    cluster.run(seconds(45));
    check_monotonic(cluster, last_revisions)?;
    proptest::prop_assert!(cluster.agrees(), "{:?}", cluster.revisions());
    Ok(())
}

#[test]
fn history_ends_in_agreement() {
    use proptest::test_runner::{Config, RngSeed, TestRunner};
    let config = Config {
        cases: 16,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    runner.run(&history(), |steps| replay(&steps)).unwrap();
}

#[test]
fn member_list_read_more_often_by_fewer() {
    let mut cluster = sized_cluster(60);
    cluster.run(seconds(40));
    for vm in 1..60 {
        cluster.vms[vm].state = CoreState::Dead;
        let to = cluster.vms[vm].name.vm.clone();
        cluster.handle(0, Event::SendFailed { to: to.clone() });
        cluster.handle(0, Event::SendFailed { to });
    }
    cluster.list_server("engine-1", "planning", "norte");
    let known = |cluster: &CoreCluster| {
        cluster.vms[0].control.servers().get(&"engine-1".parse().unwrap()).is_some()
    };
    let took = cluster.run_until(seconds(30), known);
    assert!(took.is_some_and(|took| took <= seconds(2)), "{took:?}");
}
