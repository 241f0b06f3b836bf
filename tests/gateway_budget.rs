//! The budget of second sends, summed over all entry VMs.

use guavapass::{gateway::ResendBudget, units::Millis};

const WINDOW: Millis = Millis(10_000);
/// The bound of the large deployment: a share of the requests, and so many more.
const SHARE: f64 = 0.9;
const EXTRA: u32 = 630;
/// The part of the share that the core uses.
const PART: f64 = 0.85;
/// The VMs of the large deployment, and those that may be added in a day.
const LISTED: u32 = 295;
const ADDED: u32 = 58;

/// Lets VMs see requests and send each as often as the budget lets them; returns both sums.
fn storm(vms: u32, requests_of: impl Fn(u32) -> u32, tries: u32) -> (u32, u32) {
    let reserve = ResendBudget::reserve(EXTRA, LISTED);
    let (mut requests, mut resends) = (0, 0);
    for vm in 0..vms {
        let mut budget = ResendBudget::default();
        for request in 0..requests_of(vm) {
            let now = Millis(u64::from(request) * 100);
            budget.earn(now, WINDOW);
            requests += 1;
            let taken = (0..tries).filter(|_| budget.take(now, WINDOW, SHARE * PART, reserve));
            resends += taken.count() as u32;
        }
    }
    (requests, resends)
}

fn assert_bounded(requests: u32, resends: u32) {
    let bound = f64::from(requests) * SHARE + f64::from(EXTRA);
    assert!(f64::from(resends) <= bound, "{resends} second sends of {requests} requests");
}

#[test]
fn budget_summed_over_all_vms() {
    // Each VM gets the same few requests, all of which fail at each server (herd kills).
    for each in 0..=20 {
        let (requests, resends) = storm(LISTED + ADDED, |_| each, 10);
        assert_bounded(requests, resends);
    }
    // A retry storm at a tenth of the VMs, the others have next to nothing.
    let uneven = |vm: u32| if vm.is_multiple_of(10) { 100 } else { vm % 2 };
    let (requests, resends) = storm(LISTED + ADDED, uneven, 10);
    assert_bounded(requests, resends);
    assert!(f64::from(resends) > f64::from(requests) * SHARE * PART, "the reserves are used");
}

#[test]
fn budget_of_requests_before_the_window() {
    // Streams that all VMs have taken in are broken off when they have run for longer than the
    // window: no request in it speaks for their second sends.
    let reserve = ResendBudget::reserve(EXTRA, LISTED);
    let resends = (0..LISTED + ADDED).map(|_| {
        let mut budget = ResendBudget::default();
        for _ in 0..10 {
            budget.earn(Millis(0), WINDOW);
        }
        let now = WINDOW + Millis(1_000);
        (0..10).filter(|_| budget.take(now, WINDOW, SHARE * PART, reserve)).count() as u32
    });
    assert_bounded(0, resends.sum());
}

#[test]
fn budget_reserve_follows_from_bound_and_vms() {
    let all = |vms: u32| ResendBudget::reserve(EXTRA, vms) * f64::from(vms) * 1.2;
    assert!([300, 400, 1_000].iter().all(|vms| all(*vms) <= f64::from(EXTRA)));
    assert!(ResendBudget::reserve(52, 6) >= 2.0, "a small deployment has enough for each VM");
    let unknown = ResendBudget::reserve(EXTRA, 0);
    assert!(unknown <= 0.0, "a VM that knows nobody yet counts on nothing");
}
