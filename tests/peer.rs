//! The protocol between entry VMs: signatures and replay protection, withdrawals, the membership
//! list and the spreading of news.

use guavapass::{
    configuration::ConfigurationStamp,
    ids::{Incarnation, Revision, VmId},
    peer::*,
    ports::{MembershipList, VmMember},
    session::{SessionToken, TokenError},
    units::Millis,
};

fn name(vm: &str, incarnation: u64) -> PeerName {
    PeerName { vm: vm.parse().unwrap(), incarnation: Incarnation(incarnation) }
}

fn ring(secrets: &[&str]) -> KeyRing {
    KeyRing::new(secrets.iter().map(|secret| secret.as_bytes()))
}

fn seal(vm: &str, incarnation: u64, secrets: &[&str]) -> PeerSeal {
    PeerSeal::new(name(vm, incarnation), ring(secrets))
}

fn message(revision: u64) -> PeerMessage {
    PeerMessage::Announce(ConfigurationStamp { revision: Revision(revision), digest: 0 })
}

/// Has a sender learn the incarnation of a receiver, by a message that the receiver rejects.
fn introduce(sender: &mut PeerSeal, receiver: &mut PeerSeal, to: &VmId) {
    let hello = sender.seal(to, &message(0)).unwrap();
    let error = receiver.open(&hello).unwrap_err();
    let answer = receiver.introduce(&error).expect("the receiver must answer with its incarnation");
    assert_eq!(sender.open(&answer).unwrap().1, PeerMessage::Introduce);
}

#[test]
fn seal_round_trip_after_introduction() {
    let (mut a, mut b) = (seal("a", 1, &["one"]), seal("b", 7, &["one"]));
    let to = name("b", 7).vm;
    introduce(&mut a, &mut b, &to);
    let bytes = a.seal(&to, &message(3)).unwrap();
    assert_eq!(b.open(&bytes).unwrap(), (name("a", 1), message(3)));
}

#[test]
fn seal_repeat_refused() {
    let (mut a, mut b) = (seal("a", 1, &["one"]), seal("b", 7, &["one"]));
    let to = name("b", 7).vm;
    introduce(&mut a, &mut b, &to);
    let first = a.seal(&to, &message(1)).unwrap();
    let second = a.seal(&to, &message(2)).unwrap();
    assert!(b.open(&second).is_ok());
    assert!(b.open(&first).is_ok(), "a reordered message is not a replay");
    assert!(matches!(b.open(&first), Err(SealError::Replay { .. })));
    assert!(matches!(b.open(&second), Err(SealError::Replay { .. })));
}

#[test]
fn seal_recorded_for_older_incarnation() {
    let (mut a, mut b) = (seal("a", 1, &["one"]), seal("b", 7, &["one"]));
    let to = name("b", 7).vm;
    introduce(&mut a, &mut b, &to);
    let recorded = a.seal(&to, &message(1)).unwrap();
    let mut restarted = seal("b", 8, &["one"]);
    assert!(matches!(restarted.open(&recorded), Err(SealError::Receiver { .. })));
    introduce(&mut a, &mut restarted, &to);
    let fresh = a.seal(&to, &message(2)).unwrap();
    assert!(restarted.open(&fresh).is_ok());
}

#[test]
fn seal_older_sender_refused() {
    let (mut old, mut b) = (seal("a", 1, &["one"]), seal("b", 7, &["one"]));
    let to = name("b", 7).vm;
    introduce(&mut old, &mut b, &to);
    let mut new = seal("a", 2, &["one"]);
    introduce(&mut new, &mut b, &to);
    let fresh = new.seal(&to, &message(1)).unwrap();
    assert!(b.open(&fresh).is_ok());
    let late = old.seal(&to, &message(1)).unwrap();
    assert!(matches!(b.open(&late), Err(SealError::Replay { .. })));
}

#[test]
fn seal_changed_or_foreign_bytes() {
    let (mut a, mut b) = (seal("a", 1, &["one"]), seal("b", 7, &["one"]));
    let to = name("b", 7).vm;
    introduce(&mut a, &mut b, &to);
    let bytes = a.seal(&to, &message(1)).unwrap();
    for index in 0..bytes.len() {
        let mut changed = bytes.to_vec();
        changed[index] ^= 1;
        assert_eq!(b.open(&changed), Err(SealError::Signature), "byte {index}");
    }
    let mut stranger = seal("a", 1, &["two"]);
    let forged = stranger.seal(&to, &message(1)).unwrap();
    assert_eq!(b.open(&forged), Err(SealError::Signature));
    assert_eq!(b.open(b"short"), Err(SealError::Signature));
}

#[test]
fn seal_secret_replaced_under_traffic() {
    let steps: [(&[&str], &[&str]); 4] = [
        (&["one", "two"], &["one"]),
        (&["one", "two"], &["one", "two"]),
        (&["two", "one"], &["one", "two"]),
        (&["two", "one"], &["two"]),
    ];
    let to = name("b", 7).vm;
    for (left, right) in steps {
        let (mut a, mut b) = (seal("a", 1, left), seal("b", 7, right));
        introduce(&mut a, &mut b, &to);
        let there = a.seal(&to, &message(1)).unwrap();
        assert!(b.open(&there).is_ok(), "{left:?} to {right:?}");
        let back = b.seal(&name("a", 1).vm, &message(1)).unwrap();
        assert!(a.open(&back).is_ok(), "{right:?} to {left:?}");
    }
}

#[test]
fn replay_window_matches_reference() {
    use std::collections::BTreeSet;
    let mut window = ReplayWindow::default();
    let mut seen = BTreeSet::new();
    let mut highest = 0;
    let mut state = 12_345_u64;
    for _ in 0..20_000 {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let sequence = highest + 4 - (state >> 33) % 160.min(highest + 4);
        let expected =
            sequence > 0 && highest.max(sequence) - sequence < 128 && seen.insert(sequence);
        let known = seen.contains(&sequence);
        assert_eq!(window.accept(sequence), expected, "{sequence} after {highest}, {known}");
        highest = highest.max(sequence);
    }
}

#[test]
fn token_secret_replaced() {
    let team = "crews".parse().unwrap();
    let version = "planner@1".parse().unwrap();
    let token = SessionToken { team, version, issued: Millis(1_000) };
    let text = token.sign(&ring(&["one"])).unwrap();
    let open =
        |secrets: &[&str]| SessionToken::verify(&ring(secrets), &text, &token.team, Millis(2_000));
    assert_eq!(open(&["two", "one"]), Ok(token.clone()));
    assert_eq!(open(&["two"]), Err(TokenError::Invalid));
}

#[test]
fn token_is_no_peer_signature() {
    let keys = ring(&["one"]);
    let signature = keys.sign("guavapass session", b"text").unwrap();
    assert!(keys.verify("guavapass session", b"text", &signature));
    assert!(!keys.verify("guavapass peer", b"text", &signature));
}

fn withdrawal(version: &str, generation: u32, by: &str) -> Withdrawal {
    let (version, by) = (version.parse().unwrap(), by.parse().unwrap());
    Withdrawal { version, generation, reason: "errors".into(), by }
}

#[test]
fn withdrawals_merge_in_any_order() {
    let notices = [
        withdrawal("m@1", 0, "a"),
        withdrawal("m@1", 1, "b"),
        withdrawal("m@1", 1, "a"),
        withdrawal("m@2", 0, "c"),
    ];
    let fold = |order: [usize; 4]| {
        let mut set = WithdrawalSet::default();
        for index in order {
            set.insert(notices[index].clone());
        }
        set
    };
    let set = fold([0, 1, 2, 3]);
    assert_eq!(set, fold([3, 2, 1, 0]));
    assert_eq!(set.digest(), fold([2, 0, 3, 1]).digest());
    assert!(set.contains(&"m@1".parse().unwrap(), 1) && !set.contains(&"m@1".parse().unwrap(), 2));
}

#[test]
fn member_delta_of_other_base_not_taken() {
    let member = |id: &str| VmMember {
        id: id.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "norte".parse().unwrap(),
        state: guavapass::ports::MemberState::Live,
    };
    let list = |ids: &[&str]| MembershipList {
        entry_vms: ids.iter().map(|id| member(id)).collect(),
        backend_servers: Vec::new(),
    };
    let (mut a, mut b) = (MemberView::default(), MemberView::default());
    let first = a.update(list(&["vm-1"])).unwrap();
    let second = a.update(list(&["vm-1", "vm-2"])).unwrap();
    assert!(!b.apply(&second), "applied a difference to an unknown base");
    assert!(b.apply(&first) && b.apply(&second));
    assert_eq!(a.list(), b.list());
    let third = a.update(list(&["vm-2"])).unwrap();
    assert!(b.apply(&third) && !b.apply(&first), "applied an older difference");
    assert_eq!((a.list(), a.stamp()), (b.list(), b.stamp()));
}

#[test]
fn spread_reaches_all() {
    use std::collections::BTreeSet;
    for count in [2_usize, 9, 30, 100, 400] {
        let cluster = guavapass::stand_in::CoreCluster::new(1).with_vms(count, &["a", "b", "c"]);
        let members = cluster.members.entry_vms.clone();
        let targets = |index: usize| {
            let member = &members[index];
            let mut peers = PeerTable::default();
            peers.update(Millis(0), &member.id, &members);
            let identity = guavapass::control::VmIdentity {
                vm: member.id.clone(),
                incarnation: Incarnation(1),
                data_centre: member.data_centre.clone(),
            };
            broadcast_targets(&identity, &peers)
        };
        let mut reached = BTreeSet::from([members[0].id.clone()]);
        let mut steps = 0;
        while reached.len() < count {
            let next: Vec<VmId> = (0..count)
                .filter(|index| reached.contains(&members[*index].id))
                .flat_map(targets)
                .collect();
            reached.extend(next);
            steps += 1;
            assert!(steps <= 16, "only {} of {count} VMs reached", reached.len());
        }
        assert!(targets(0).len() <= 5);
    }
}
