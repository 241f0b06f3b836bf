//! Attribution of server crashes to the requests that cause them.

use guavapass::{
    gateway::Gateway,
    health::{
        CrashReport, CrashSubject, CrashTracker, CrashUpdate, RequestFingerprint, ServerCrash,
    },
    ids::VmId,
    units::{Clock, Millis},
};
use proptest::prelude::*;

const CRASHING: CrashSubject = CrashSubject::request(RequestFingerprint(1));
const CONCURRENT: CrashSubject = CrashSubject::request(RequestFingerprint(2));
const LATER: Millis = Millis(60_000);

fn vm(number: u8) -> VmId {
    format!("front-{number}").parse().unwrap()
}

fn crash(server: &str, run: u64, started: u64, ended: u64) -> ServerCrash {
    let server = server.parse().unwrap();
    ServerCrash { server, run, started: Millis(started), ended: Millis(ended) }
}

/// Records a crash of a server while it ran a request.
fn record_crash(book: &mut CrashTracker, subject: CrashSubject, crash: ServerCrash) {
    let now = crash.ended;
    book.crashed(now, subject, crash, false);
}

/// Returns a book in which a request has crashed `count` servers, one each second from 20 s on.
fn after_crashes(count: u64) -> CrashTracker {
    let mut book = CrashTracker::default();
    for number in 0..count {
        let started = 20_000 + number * 1_000;
        let crash = crash(&format!("e{number}"), number, started, started + 10);
        record_crash(&mut book, CRASHING, crash);
    }
    book
}

/// Returns how long a request will at least not be run.
fn rest(book: &CrashTracker, now: Millis, subject: CrashSubject) -> Option<Millis> {
    let quarantine = book.clone().quarantine(now, subject, &[], false);
    quarantine.map(|quarantine| quarantine.rest)
}

fn is_quarantined(book: &CrashTracker, subject: CrashSubject) -> bool {
    rest(book, LATER, subject).is_some()
}

#[test]
fn quarantines_at_the_third_crash() {
    assert!(!is_quarantined(&after_crashes(2), CRASHING));
    assert!(is_quarantined(&after_crashes(3), CRASHING));
}

#[test]
fn servers_that_crash_together_do_not_quarantine() {
    let mut book = CrashTracker::default();
    for number in 0..9 {
        record_crash(
            &mut book,
            CRASHING,
            crash(&format!("e{number}"), number, 20_000, 20_500 + number),
        );
    }
    assert_eq!(book.crashes(CRASHING).len(), 1, "none of the runs started after a crash");
}

#[test]
fn recent_answer_prevents_quarantine() {
    let mut book = after_crashes(2);
    book.answered(Millis(21_500), CRASHING, Millis(21_500));
    record_crash(&mut book, CRASHING, crash("e2", 2, 22_000, 22_010));
    assert!(
        !is_quarantined(&book, CRASHING),
        "it was answered half a second before the third crash"
    );
    let mut book = after_crashes(3);
    book.answered(Millis(23_000), CRASHING, Millis(23_000));
    assert!(!is_quarantined(&book, CRASHING), "a run in progress was answered");
}

#[test]
fn old_answer_does_not_prevent_quarantine() {
    let mut book = CrashTracker::default();
    book.answered(Millis(5_000), CRASHING, Millis(5_000));
    for number in 0..3 {
        let started = 20_000 + number * 1_000;
        record_crash(
            &mut book,
            CRASHING,
            crash(&format!("e{number}"), number, started, started + 10),
        );
    }
    assert!(is_quarantined(&book, CRASHING), "a new version of the servers may crash on it");
}

#[test]
fn concurrent_requests_are_told_apart_by_a_later_crash() {
    let mut book = after_crashes(3);
    for number in 0..3 {
        let started = 20_000 + number * 1_000;
        let crash = crash(&format!("e{number}"), 100 + number, started, started + 12);
        record_crash(&mut book, CONCURRENT, crash);
    }
    assert!(
        !is_quarantined(&book, CRASHING) && !is_quarantined(&book, CONCURRENT),
        "either request may be the cause"
    );
    record_crash(&mut book, CRASHING, crash("e7", 7, 24_000, 24_010));
    assert!(is_quarantined(&book, CRASHING) && !is_quarantined(&book, CONCURRENT));
}

#[test]
fn concurrent_requests_are_told_apart_by_an_answer() {
    let mut book = after_crashes(3);
    for number in 0..3 {
        let started = 20_000 + number * 1_000;
        record_crash(
            &mut book,
            CONCURRENT,
            crash(&format!("e{number}"), 100 + number, started, started + 12),
        );
    }
    book.answered(Millis(24_000), CONCURRENT, Millis(24_000));
    assert!(is_quarantined(&book, CRASHING) && !is_quarantined(&book, CONCURRENT));
}

/// Returns whether the VM that runs the trials may run a request now.
fn may_try(book: &mut CrashTracker, now: Millis) -> bool {
    book.quarantine(now, CRASHING, &[], true).is_none()
}

#[test]
fn trials_are_bounded_and_a_crash_renews_the_quarantine() {
    const FIRST_WAIT: Millis = Millis(15_000);
    const SECOND_WAIT: Millis = Millis(10 * 60 * 1_000);
    let mut book = after_crashes(3);
    let first = Millis(22_010) + FIRST_WAIT;
    assert_eq!(rest(&book, Millis(first.0 - 5_000), CRASHING), Some(Millis(5_000)));
    assert!(!may_try(&mut book, Millis(first.0 - 1)));
    assert!(rest(&book, first, CRASHING).is_some(), "other VMs do not run the trial");
    assert!(may_try(&mut book, first));
    assert!(!may_try(&mut book, first + Millis(1)), "one trial at a time");
    record_crash(&mut book, CRASHING, crash("e9", 9, first.0, first.0 + 10));
    let second = first + Millis(10) + SECOND_WAIT;
    assert!(!may_try(&mut book, Millis(second.0 - 1)));
    assert!(may_try(&mut book, second));
    record_crash(&mut book, CRASHING, crash("e8", 8, second.0, second.0 + 10));
    let days = Millis(second.0 + 100 * SECOND_WAIT.0);
    assert!(!may_try(&mut book, days), "there is no third trial");
}

#[test]
fn answered_trial_ends_the_quarantine() {
    let mut book = after_crashes(3);
    let trial = Millis(40_000);
    assert!(may_try(&mut book, trial));
    book.answered(trial + Millis(900), CRASHING, trial);
    assert_eq!(rest(&book, trial + Millis(900), CRASHING), None);
}

#[test]
fn first_crash_is_shared_only_once_the_request_is_final() {
    let mut book = CrashTracker::default();
    book.crashed(Millis(20_010), CRASHING, crash("e1", 1, 20_000, 20_010), true);
    assert!(book.since(LATER, 0, &vm(9)).notices.is_empty(), "the request is sent again first");
    book.publish(CRASHING);
    book.publish(CRASHING);
    assert_eq!(book.since(LATER, 0, &vm(9)).notices.len(), 1);
}

#[test]
fn received_crashes_count_once_and_in_the_receivers_time() {
    let own = after_crashes(3);
    let news = own.since(Millis(30_000), 0, &vm(9));
    let mut other = CrashTracker::default();
    // The other VM's clock is 500 s ahead.
    let now = Millis(530_000);
    assert_eq!(other.merge(now, &vm(8), &news).len(), 3);
    assert!(other.merge(now, &vm(8), &news).is_empty());
    assert!(rest(&other, now, CRASHING).is_some());
    let forwarded = other.since(now, 0, &vm(9));
    assert_eq!(
        forwarded.notices.len(),
        3,
        "it forwards them to VMs that the first one cannot reach"
    );
    other.answered(now + Millis(1), CRASHING, now + Millis(1));
    let mut own = own;
    own.merge(Millis(30_001), &vm(8), &other.since(now + Millis(1), forwarded.last, &vm(9)));
    assert!(rest(&own, Millis(30_001), CRASHING).is_none(), "the answer is reported too");
}

#[test]
fn recent_answer_at_a_receiver_cancels_the_quarantine() {
    let news = after_crashes(3).since(Millis(30_000), 0, &vm(9));
    let mut other = CrashTracker::default();
    other.answered(Millis(29_900), CRASHING, Millis(29_900));
    other.merge(Millis(30_000), &vm(8), &news);
    assert!(rest(&other, Millis(30_000), CRASHING).is_none());
    let back = other.since(Millis(30_000), 0, &vm(9));
    let mut own = after_crashes(3);
    own.merge(Millis(30_010), &vm(8), &back);
    assert!(rest(&own, Millis(30_010), CRASHING).is_none(), "the answer is reported back at once");
}

/// Reports of one run differ in time if the messages were delayed.
#[test]
fn one_run_reported_with_delays_counts_once() {
    let mut book = CrashTracker::default();
    for delay in [0, 2_000, 9_000, 35_000] {
        let now = Millis(20_000 + delay);
        let (server, run) = ("e1".parse().unwrap(), 7);
        let (started, ended) = (Millis(300), Millis(100));
        let report = CrashReport::Ended { subject: CRASHING, server, run, started, ended };
        book.merge(now, &vm(8), &CrashUpdate { notices: vec![report], last: delay });
    }
    assert_eq!(book.crashes(CRASHING).len(), 1);
    assert_eq!(book.crashes(CRASHING)[0].ended, Millis(19_900), "the first report is the best");
}

/// A VM that has just started hears of crashes before its start.
#[test]
fn crashes_before_the_start_of_a_vm_keep_their_order() {
    let restarted = Clock::start_at(Gateway::KNOWN_PAST).now();
    let mut book = CrashTracker::default();
    for number in 0..4 {
        let server = format!("e{number}").parse().unwrap();
        let (started, ended) = (Millis(30_000), Millis(25_000));
        let report = CrashReport::Ended { subject: CRASHING, server, run: number, started, ended };
        book.merge(restarted, &vm(8), &CrashUpdate { notices: vec![report], last: number });
    }
    assert!(!is_quarantined(&book, CRASHING), "they crashed together");
    assert_eq!(restarted.since(book.crashes(CRASHING)[0].ended), Millis(25_000));
}

#[test]
fn server_that_goes_down_and_up_counts_once() {
    let mut book = CrashTracker::default();
    for number in 0..4 {
        let started = 20_000 + number * 2_000;
        record_crash(&mut book, CRASHING, crash("e1", number, started, started + 100));
    }
    assert!(!is_quarantined(&book, CRASHING));
    assert_eq!(book.crashes(CRASHING).len(), 1);
}

/// Thirteen servers go down and up together; at each moment other ones run the subject.
#[test]
fn servers_that_go_down_together_under_others_do_not_quarantine() {
    let mut book = CrashTracker::default();
    for number in 0..39 {
        let at = 20_000 + number / 13 * 4_000 + number % 13;
        let server = format!("e{}", number % 13);
        let other = CrashSubject::request(RequestFingerprint(100 + number));
        let is_present = number % 13 == number / 13;
        let subject = if is_present { CRASHING } else { other };
        record_crash(&mut book, subject, crash(&server, number, at - 500, at));
    }
    assert!(!is_quarantined(&book, CRASHING));
}

#[test]
fn size_is_bounded_in_requests_and_events() {
    let mut book = CrashTracker::default();
    for number in 0..20_000 {
        let at = 20_000 + number;
        record_crash(
            &mut book,
            CrashSubject::request(RequestFingerprint(number)),
            crash("e1", number, at, at + 1),
        );
    }
    let bytes = rmp_serde::to_vec(&book.since(LATER, 0, &vm(9))).unwrap().len();
    assert!(bytes < 64 * 1_024, "{bytes} bytes to a VM that knows nothing");
    assert!(!book.is_suspect(CrashSubject::request(RequestFingerprint(0))));
    assert!(book.is_suspect(CrashSubject::request(RequestFingerprint(19_999))));
}

proptest! {
    /// A request that is answered every few seconds is never quarantined, whichever servers crash
    /// while they run it, and in whatever order the events of several VMs arrive.
    #[test]
    fn never_quarantines_an_answered_request(
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
        let mut books = [CrashTracker::default(), CrashTracker::default()];
        let mut sent = [0, 0];
        for (index, (at, event)) in events.into_iter().enumerate() {
            let now = Millis(at);
            let observer = (order >> (index % 64)) as usize & 1;
            match event {
                Some(crash) => books[observer].crashed(now, CRASHING, crash, false),
                None => books[observer].answered(now, CRASHING, now),
            }
            for from in [0, 1] {
                let news = books[from].since(now, sent[from], &vm(9));
                sent[from] = news.last;
                books[1 - from].merge(now, &vm(8), &news);
            }
            for book in &books {
                prop_assert!(rest(book, now, CRASHING).is_none());
            }
        }
    }

    /// A request that crashes each server that runs it, and is never answered, is quarantined at
    /// its third crash by every VM that has received the events.
    #[test]
    fn quarantines_a_request_that_always_crashes(
        gaps in prop::collection::vec(0_u64..5_000, 3..12),
        observers in prop::collection::vec(0_usize..3, 12),
    ) {
        let mut books = [CrashTracker::default(), CrashTracker::default(), CrashTracker::default()];
        let mut now = Millis(20_000);
        for (number, gap) in gaps.iter().enumerate() {
            let started = now + Millis(*gap);
            now = started + Millis(10);
            let crash = crash(&format!("e{number}"), number as u64, started.0, now.0);
            books[observers[number]].crashed(now, CRASHING, crash, false);
            for from in 0..3 {
                let news = books[from].since(now, 0, &vm(9));
                for (to, book) in books.iter_mut().enumerate() {
                    if to != from {
                        book.merge(now, &vm(8), &news);
                    }
                }
            }
            for book in &books {
                prop_assert_eq!(rest(book, now, CRASHING).is_some(), number >= 2);
            }
        }
    }
}
