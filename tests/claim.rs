//! Claims of idempotency keys: the fold of a claims stream, its batcher, tickets and keys.

use guavapass::{
    claim::*,
    ids::{ClaimAttempt, Incarnation, Offset, TeamId, TicketNumber, VmId},
    peer::{KeyRing, PeerName},
    ports::{LogPage, LogRecord, PlatformError},
    units::Millis,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const NOW: Millis = Millis(1_760_000_000_000);

fn team() -> TeamId {
    "crews".parse().unwrap()
}

fn key_at(number: u8, time: Millis) -> ClaimKey {
    let uuid = uuid::Builder::from_unix_timestamp_millis(time.0, &[number; 10]).into_uuid();
    ClaimKey::new(&team(), uuid)
}

fn peer(vm: &str) -> PeerName {
    PeerName { vm: vm.parse().unwrap(), incarnation: Incarnation(1) }
}

fn name(vm: u8, attempt: u64) -> ClaimName {
    ClaimName { claimant: peer(&format!("vm-{vm}")), attempt: ClaimAttempt(attempt) }
}

fn claim(key: ClaimKey, name: ClaimName) -> ClaimEntry {
    ClaimEntry::Claim { key, name, fingerprint: 1 }
}

fn record(offset: u64, stamp: Millis, entries: Vec<ClaimEntry>) -> LogRecord {
    let batch = ClaimBatch { stamp, entries };
    LogRecord { offset: Offset(offset), record: rmp_serde::to_vec(&batch).unwrap().into() }
}

fn held_by(fold: &ClaimFold, key: ClaimKey) -> Option<ClaimName> {
    match fold.verdict(&claim(key, name(99, 99))) {
        Some(ClaimVerdict::Held(holder)) => Some(holder.name),
        _ => None,
    }
}

#[test]
fn fold_first_claim_takes_key() {
    let key = key_at(1, NOW);
    let mut fold = ClaimFold::default();
    fold.fold(&record(0, NOW, vec![claim(key, name(1, 1)), claim(key, name(2, 1))]));
    assert_eq!(fold.verdict(&claim(key, name(1, 1))), Some(ClaimVerdict::Taken));
    assert_eq!(held_by(&fold, key), Some(name(1, 1)));
}

#[test]
fn fold_dead_claim_stays_dead() {
    let key = key_at(1, NOW);
    let mut fold = ClaimFold::default();
    let release = ClaimEntry::Release { key, name: name(1, 1) };
    let entries =
        vec![claim(key, name(1, 1)), claim(key, name(2, 1)), release, claim(key, name(2, 1))];
    fold.fold(&record(0, NOW, entries));
    assert_eq!(fold.verdict(&claim(key, name(2, 1))), Some(ClaimVerdict::Void));
    fold.fold(&record(1, NOW, vec![claim(key, name(2, 2))]));
    assert_eq!(fold.verdict(&claim(key, name(2, 2))), Some(ClaimVerdict::Taken));
}

#[test]
fn fold_release_before_claim() {
    let key = key_at(1, NOW);
    let mut fold = ClaimFold::default();
    fold.fold(&record(0, NOW, vec![ClaimEntry::Release { key, name: name(1, 1) }]));
    fold.fold(&record(1, NOW, vec![claim(key, name(1, 1))]));
    assert_eq!(fold.verdict(&claim(key, name(1, 1))), Some(ClaimVerdict::Void));
    assert!(fold.is_empty());
}

#[test]
fn fold_release_of_other_attempt() {
    let key = key_at(1, NOW);
    let mut fold = ClaimFold::default();
    let release = ClaimEntry::Release { key, name: name(1, 2) };
    fold.fold(&record(0, NOW, vec![claim(key, name(1, 1)), release]));
    assert_eq!(held_by(&fold, key), Some(name(1, 1)));
}

#[test]
fn fold_forgets_after_window_only() {
    let key = key_at(1, NOW);
    let mut fold = ClaimFold::default();
    fold.fold(&record(0, NOW, vec![claim(key, name(1, 1))]));
    let inside = NOW + Millis(KeyWindow::LENGTH_MS);
    fold.fold(&record(1, inside, vec![claim(key, name(2, 1))]));
    assert_eq!(held_by(&fold, key), Some(name(1, 1)));
    let outside = NOW + Millis(KeyWindow::LENGTH_MS + KeyWindow::SKEW_MS + 1);
    fold.fold(&record(2, outside, vec![claim(key, name(2, 2))]));
    assert!(fold.is_empty(), "a late claim must not take a key whose holder was dropped");
    assert_eq!(fold.verdict(&claim(key, name(2, 2))), Some(ClaimVerdict::Uncovered));
}

#[test]
fn fold_after_trim_covers_newer_keys_only() {
    let mut fold = ClaimFold::starting_at(Offset(7));
    let (old, new) = (key_at(1, NOW), key_at(2, NOW + Millis(KeyWindow::SKEW_MS)));
    fold.fold(&record(7, NOW, vec![claim(old, name(1, 1)), claim(new, name(1, 2))]));
    assert_eq!(fold.verdict(&claim(old, name(1, 1))), Some(ClaimVerdict::Uncovered));
    assert_eq!(fold.verdict(&claim(new, name(1, 2))), Some(ClaimVerdict::Taken));
}

#[test]
fn window_future_and_past() {
    let window = KeyWindow::at(NOW);
    assert!(window.contains(key_at(1, NOW)));
    assert!(!window.contains(key_at(1, NOW + Millis(KeyWindow::SKEW_MS + 1))));
    assert!(!window.contains(key_at(1, Millis(NOW.0 - KeyWindow::LENGTH_MS))));
}

/// Returns the holder of a key by replaying the whole history, as a reference for [`ClaimFold`].
fn replayed_holder(history: &[ClaimEntry], key: ClaimKey) -> Option<ClaimName> {
    let mut holder: Option<ClaimName> = None;
    let mut dead = BTreeSet::new();
    for entry in history.iter().filter(|entry| entry.key() == key) {
        let name = entry.name().clone();
        match entry {
            ClaimEntry::Claim { .. } if dead.contains(&name) => {}
            ClaimEntry::Claim { .. } if holder.is_none() => holder = Some(name),
            ClaimEntry::Claim { .. } if holder.as_ref() == Some(&name) => {}
            ClaimEntry::Claim { .. } => {
                dead.insert(name);
            }
            ClaimEntry::Release { .. } => {
                if holder.as_ref() == Some(&name) {
                    holder = None;
                }
                dead.insert(name);
            }
        }
    }
    holder
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn fold_like_naive(steps in prop::collection::vec((0..3_u8, 0..3_u8, 0..3_u64, any::<bool>()), 0..60)) {
        let mut fold = ClaimFold::default();
        let mut history = Vec::new();
        for (offset, (key, vm, attempt, is_claim)) in steps.into_iter().enumerate() {
            let (key, name) = (key_at(key, NOW), name(vm, attempt));
            let entry = if is_claim { claim(key, name) } else { ClaimEntry::Release { key, name } };
            history.push(entry.clone());
            fold.fold(&record(offset as u64, NOW, vec![entry]));
            for key in 0..3 {
                let key = key_at(key, NOW);
                prop_assert_eq!(held_by(&fold, key), replayed_holder(&history, key));
            }
        }
    }

    /// Two batchers of one stream, whose appends are delayed, repeated or unconfirmed, never
    /// report to two claimants that they took the same key.
    #[test]
    fn batchers_agree(steps in prop::collection::vec((0..2_usize, 0..3_u8, 0..4_u8), 0..80)) {
        let mut log: Vec<bytes::Bytes> = Vec::new();
        let mut batchers = [ClaimBatcher::new(), ClaimBatcher::new()];
        let mut pending: [Option<bytes::Bytes>; 2] = [None, None];
        let mut taken: BTreeMap<ClaimKey, ClaimName> = BTreeMap::new();
        let mut now = Millis(0);
        for (index, (which, vm, step)) in steps.into_iter().enumerate() {
            now = now + Millis(1_000);
            let from: VmId = format!("vm-{vm}").parse().unwrap();
            let mut actions = match step {
                0 => batchers[which]
                    .submit(now, &from, claim(key_at(vm % 2, NOW), name(vm, index as u64))),
                1 => match pending[which].take() {
                    None => Vec::new(),
                    Some(bytes) => {
                        log.push(bytes);
                        let offset = Offset(log.len() as u64 - 1);
                        batchers[which].on_appended(now, &Ok(offset))
                    }
                },
                2 => match pending[which].take() {
                    None => Vec::new(),
                    Some(bytes) => {
                        log.push(bytes);
                        let lost = PlatformError::Lost { address: "log".into(), cause: "cut".into() };
                        batchers[which].on_appended(now, &Err(lost))
                    }
                },
                _ => {
                    let from = batchers[which].fold().next();
                    let records = (from.0..log.len() as u64).map(|at| LogRecord {
                        offset: Offset(at),
                        record: log[at as usize].clone(),
                    });
                    let next = Offset(log.len() as u64);
                    let page = LogPage { oldest: Offset(0), next, records: records.collect() };
                    batchers[which].on_read(now, NOW, &Ok(page))
                }
            };
            actions.extend(batchers[which].due_actions(now, NOW));
            for action in actions {
                match action {
                    ClaimBatcherAction::Append(bytes) => pending[which] = Some(bytes),
                    ClaimBatcherAction::SendVerdict(_, name, ClaimVerdict::Taken) => {
                        let vm: u8 = name.claimant.vm.as_str()[3..].parse().unwrap();
                        let key = key_at(vm % 2, NOW);
                        let first = taken.entry(key).or_insert_with(|| name.clone());
                        prop_assert_eq!(&*first, &name);
                    }
                    _ => {}
                }
            }
        }
    }
}

#[test]
fn batcher_gap_forgets_all() {
    let mut batcher = ClaimBatcher::new();
    let key = key_at(1, NOW);
    batcher.start(Millis(0));
    let page = |offset, entries| LogPage {
        oldest: Offset(0),
        next: Offset(offset + 1),
        records: vec![record(offset, NOW, entries)],
    };
    batcher.on_read(Millis(0), NOW, &Ok(page(0, vec![claim(key, name(1, 1))])));
    assert_eq!(batcher.fold().len(), 1);
    batcher.on_read(Millis(0), NOW, &Err(PlatformError::Trimmed { oldest: Offset(5) }));
    assert!(batcher.fold().is_empty());
    batcher.on_read(Millis(0), NOW, &Ok(page(5, vec![claim(key, name(2, 1))])));
    let verdict = batcher.fold().verdict(&claim(key, name(2, 1)));
    assert_eq!(verdict, Some(ClaimVerdict::Uncovered));
}

#[test]
fn batcher_stream_restored_to_earlier_state() {
    let mut batcher = ClaimBatcher::new();
    let (old, new) = (key_at(1, NOW), key_at(2, NOW + Millis(KeyWindow::SKEW_MS)));
    batcher.start(Millis(0));
    let page = |from, next, records| LogPage { oldest: Offset(from), next: Offset(next), records };
    let first = record(0, NOW, vec![claim(old, name(1, 1))]);
    batcher.on_read(Millis(0), NOW, &Ok(page(0, 1, vec![first])));
    batcher.on_read(Millis(0), NOW, &Ok(page(0, 0, Vec::new())));
    let again = record(0, NOW, vec![claim(old, name(2, 1)), claim(new, name(2, 2))]);
    batcher.on_read(Millis(0), NOW, &Ok(page(0, 1, vec![again])));
    let verdict = |key, name| batcher.fold().verdict(&claim(key, name));
    assert_eq!(verdict(old, name(2, 1)), Some(ClaimVerdict::Uncovered));
    assert_eq!(verdict(new, name(2, 2)), Some(ClaimVerdict::Taken));
}

#[test]
fn batcher_batches_while_append_is_under_way() {
    let mut batcher = ClaimBatcher::new();
    let from: VmId = "vm-1".parse().unwrap();
    let mut appends = 0;
    for number in 0..100 {
        let now = Millis(u64::from(number));
        batcher.submit(now, &from, claim(key_at(number, NOW), name(1, u64::from(number))));
        let append = |action: &ClaimBatcherAction| matches!(action, ClaimBatcherAction::Append(_));
        let actions = batcher.due_actions(now, NOW);
        let count = actions.iter().filter(|action| append(action)).count();
        if count > 0 {
            appends += count;
            let offset = batcher.fold().next();
            batcher.on_appended(now, &Ok(offset));
        }
    }
    assert_eq!(appends, 4, "at most one append every 33 ms");
}

#[test]
fn ticket_round_trip() {
    let secret = KeyRing::new([&b"a secret of the peers"[..]]);
    let issuer = PeerName { vm: "vm_1.a".parse().unwrap(), incarnation: Incarnation(7) };
    let ticket = Ticket::issue(&secret, issuer, TicketNumber(3), Millis(5), &team()).unwrap();
    let parsed = ticket.to_string().parse::<IdempotencyKey>().unwrap();
    assert_eq!(parsed, IdempotencyKey::Ticket(ticket.clone()));
    assert!(ticket.is_genuine(&secret, &team()));
    assert!(!ticket.is_genuine(&secret, &"others".parse().unwrap()));
    assert!(!ticket.is_genuine(&KeyRing::new([&b"another secret"[..]]), &team()));
    let mut changed = ticket;
    changed.number = TicketNumber(4);
    assert!(!changed.is_genuine(&secret, &team()));
}

#[test]
fn key_must_be_version_seven() {
    assert!("00000000-0000-4000-8000-000000000000".parse::<IdempotencyKey>().is_err());
    assert!("gt1_nonsense".parse::<IdempotencyKey>().is_err());
    let uuid = uuid::Uuid::now_v7();
    assert_eq!(uuid.to_string().parse::<IdempotencyKey>(), Ok(IdempotencyKey::Own(uuid)));
}

#[test]
fn key_of_other_team_differs() {
    let uuid = uuid::Uuid::now_v7();
    assert_ne!(ClaimKey::new(&team(), uuid), ClaimKey::new(&"others".parse().unwrap(), uuid));
}
