//! Which requests are held to be the cause of the ends of servers.

use guavapass::{
    health::{CrashBook, RequestFingerprint, ServerCrash},
    units::Millis,
};
use proptest::prelude::*;

const KILLER: RequestFingerprint = RequestFingerprint(1);
const BESIDE: RequestFingerprint = RequestFingerprint(2);
const LATER: Millis = Millis(60_000);

fn crash(server: &str, run: u64, started: u64, ended: u64) -> ServerCrash {
    let server = server.parse().unwrap();
    ServerCrash { server, run, started: Millis(started), ended: Millis(ended) }
}

/// Enters the end of a server under a run of a request.
fn enter(book: &mut CrashBook, fingerprint: RequestFingerprint, crash: ServerCrash) {
    let now = crash.ended;
    book.crashed(now, fingerprint, crash, false);
}

/// Returns a book in which a request has ended so many servers, one each second from 20 s on.
fn after_crashes(count: u64) -> CrashBook {
    let mut book = CrashBook::default();
    for number in 0..count {
        let started = 20_000 + number * 1_000;
        let crash = crash(&format!("e{number}"), number, started, started + 10);
        enter(&mut book, KILLER, crash);
    }
    book
}

fn is_condemned(book: &CrashBook, fingerprint: RequestFingerprint) -> bool {
    book.quarantine(LATER, fingerprint).is_some()
}

#[test]
fn condemn_at_the_third_crash() {
    assert!(!is_condemned(&after_crashes(2), KILLER));
    assert!(is_condemned(&after_crashes(3), KILLER));
}

#[test]
fn condemn_not_for_servers_that_end_together() {
    let mut book = CrashBook::default();
    for number in 0..9 {
        enter(&mut book, KILLER, crash(&format!("e{number}"), number, 20_000, 20_500 + number));
    }
    assert_eq!(book.crashes(KILLER).len(), 1, "none of the runs had started after an end");
}

#[test]
fn condemn_not_after_an_answer() {
    let mut book = after_crashes(2);
    book.answered(Millis(21_500), KILLER);
    enter(&mut book, KILLER, crash("e2", 2, 22_000, 22_010));
    assert!(!is_condemned(&book, KILLER), "answered half a second before the third crash");
    let mut book = after_crashes(3);
    book.answered(Millis(23_000), KILLER);
    assert!(!is_condemned(&book, KILLER), "a run that was under way was answered");
}

#[test]
fn condemn_after_an_answer_of_long_ago() {
    let mut book = CrashBook::default();
    book.answered(Millis(5_000), KILLER);
    for number in 0..3 {
        let started = 20_000 + number * 1_000;
        enter(&mut book, KILLER, crash(&format!("e{number}"), number, started, started + 10));
    }
    assert!(is_condemned(&book, KILLER), "a new version of the servers may not bear it");
}

#[test]
fn condemn_the_one_that_goes_on_alone() {
    let mut book = after_crashes(3);
    for number in 0..3 {
        let started = 20_000 + number * 1_000;
        let crash = crash(&format!("e{number}"), 100 + number, started, started + 12);
        enter(&mut book, BESIDE, crash);
    }
    assert!(!is_condemned(&book, KILLER) && !is_condemned(&book, BESIDE), "it may be either");
    enter(&mut book, KILLER, crash("e7", 7, 24_000, 24_010));
    assert!(is_condemned(&book, KILLER) && !is_condemned(&book, BESIDE));
}

#[test]
fn condemn_the_one_left_when_the_other_is_answered() {
    let mut book = after_crashes(3);
    for number in 0..3 {
        let started = 20_000 + number * 1_000;
        enter(&mut book, BESIDE, crash(&format!("e{number}"), 100 + number, started, started + 12));
    }
    book.answered(Millis(24_000), BESIDE);
    assert!(is_condemned(&book, KILLER) && !is_condemned(&book, BESIDE));
}

#[test]
fn quarantine_ends_and_one_more_crash_renews_it() {
    let mut book = after_crashes(3);
    let ends = 22_010 + CrashBook::QUARANTINE_MS;
    assert_eq!(book.quarantine(Millis(ends - 5_000), KILLER), Some(Millis(5_000)));
    assert_eq!(book.quarantine(Millis(ends), KILLER), None);
    enter(&mut book, KILLER, crash("e9", 9, ends, ends + 10));
    assert!(book.quarantine(Millis(ends + 20), KILLER).is_some());
}

#[test]
fn tell_a_first_crash_only_without_an_answer() {
    let mut book = CrashBook::default();
    book.crashed(Millis(20_010), KILLER, crash("e1", 1, 20_000, 20_010), true);
    assert!(book.since(LATER, 0).notices.is_empty(), "it is sent once more");
    book.tell(KILLER);
    book.tell(KILLER);
    assert_eq!(book.since(LATER, 0).notices.len(), 1);
}

#[test]
fn told_crashes_count_once_and_in_the_hearers_time() {
    let own = after_crashes(3);
    let news = own.since(Millis(30_000), 0);
    let mut other = CrashBook::default();
    // The other VM's clock shows 500 s more.
    let now = Millis(530_000);
    assert_eq!(other.take(now, &news).len(), 3);
    assert!(other.take(now, &news).is_empty());
    assert!(other.quarantine(now, KILLER).is_some());
    let told_on = other.since(now, 0);
    assert_eq!(told_on.notices.len(), 3, "it tells VMs that the first one does not reach");
    other.answered(now + Millis(1), KILLER);
    let mut own = own;
    own.take(Millis(30_001), &other.since(now + Millis(1), told_on.last));
    assert!(own.quarantine(Millis(30_001), KILLER).is_none(), "the answer is told too");
}

#[test]
fn told_to_a_vm_that_has_answered_it_lately() {
    let news = after_crashes(3).since(Millis(30_000), 0);
    let mut other = CrashBook::default();
    other.answered(Millis(29_900), KILLER);
    other.take(Millis(30_000), &news);
    assert!(other.quarantine(Millis(30_000), KILLER).is_none());
    let back = other.since(Millis(30_000), 0);
    let mut own = after_crashes(3);
    own.take(Millis(30_010), &back);
    assert!(own.quarantine(Millis(30_010), KILLER).is_none(), "it says so at once");
}

#[test]
fn bounded_in_requests_and_events() {
    let mut book = CrashBook::default();
    for number in 0..20_000 {
        let at = 20_000 + number;
        enter(&mut book, RequestFingerprint(number), crash("e1", number, at, at + 1));
    }
    let bytes = rmp_serde::to_vec(&book.since(LATER, 0)).unwrap().len();
    assert!(bytes < 64 * 1_024, "{bytes} bytes to a VM that knows nothing");
    assert!(!book.is_suspect(RequestFingerprint(0)));
    assert!(book.is_suspect(RequestFingerprint(19_999)));
}

proptest! {
    /// A request that is answered each few seconds is never condemned, whichever servers end under
    /// it, in whatever order the events of several VMs arrive.
    #[test]
    fn condemn_never_what_is_answered(
        crashes in prop::collection::vec((0_u64..60_000, 0_u64..2_000, 0_u8..6), 0..40),
        order in any::<u64>(),
    ) {
        let mut events: Vec<(u64, Option<ServerCrash>)> = crashes
            .iter()
            .enumerate()
            .map(|(run, (ended, took, server))| {
                let ended = ended + 20_000;
                let crash = crash(&format!("e{server}"), run as u64, ended - took, ended);
                (ended, Some(crash))
            })
            .chain((0..9).map(|number| (18_000 + number * 8_000, None)))
            .collect();
        events.sort_by_key(|(at, _)| *at);
        let mut books = [CrashBook::default(), CrashBook::default()];
        let mut told = [0, 0];
        for (index, (at, event)) in events.into_iter().enumerate() {
            let now = Millis(at);
            let seer = (order >> (index % 64)) as usize & 1;
            match event {
                Some(crash) => books[seer].crashed(now, KILLER, crash, false),
                None => books[seer].answered(now, KILLER),
            }
            for from in [0, 1] {
                let news = books[from].since(now, told[from]);
                told[from] = news.last;
                books[1 - from].take(now, &news);
            }
            for book in &books {
                prop_assert!(book.quarantine(now, KILLER).is_none());
            }
        }
    }

    /// A request that ends each server that runs it, and is never answered, is condemned at its
    /// third crash at every VM that has heard of it.
    #[test]
    fn condemn_what_ends_all(
        gaps in prop::collection::vec(0_u64..5_000, 3..12),
        seers in prop::collection::vec(0_usize..3, 12),
    ) {
        let mut books = [CrashBook::default(), CrashBook::default(), CrashBook::default()];
        let mut now = Millis(20_000);
        for (number, gap) in gaps.iter().enumerate() {
            let started = now + Millis(*gap);
            now = started + Millis(10);
            let crash = crash(&format!("e{number}"), number as u64, started.0, now.0);
            books[seers[number]].crashed(now, KILLER, crash, false);
            for from in 0..3 {
                let news = books[from].since(now, 0);
                for (to, book) in books.iter_mut().enumerate() {
                    if to != from {
                        book.take(now, &news);
                    }
                }
            }
            for book in &books {
                prop_assert_eq!(book.quarantine(now, KILLER).is_some(), number >= 2);
            }
        }
    }
}
