//! The retry budget, summed over all entry VMs.

use guavapass::{gateway::RetryBudget, units::Millis};

const WINDOW: Millis = Millis(10_000);
/// The limit of the large deployment: retries as a share of the requests, and additional ones.
const SHARE: f64 = 0.9;
const EXTRA: u32 = 630;
/// The fraction of the share that the core uses.
const USED_SHARE: f64 = 0.85;
/// The entry VMs of the large deployment, and those that may be added within a day.
const LISTED: u32 = 295;
const ADDED: u32 = 58;

/// Has `vms` VMs receive requests and retry each up to `tries` times within their budgets. Returns
/// the total numbers of requests and retries.
fn retry_storm(vms: u32, requests_of: impl Fn(u32) -> u32, tries: u32) -> (u32, u32) {
    let reserve = RetryBudget::reserve(EXTRA, LISTED);
    let (mut requests, mut resends) = (0, 0);
    for vm in 0..vms {
        let mut budget = RetryBudget::default();
        for request in 0..requests_of(vm) {
            let now = Millis(u64::from(request) * 100);
            budget.record_request(now, WINDOW);
            requests += 1;
            let spent = (0..tries)
                .filter(|_| budget.try_spend(now, WINDOW, SHARE * USED_SHARE, reserve, 0.0));
            resends += spent.count() as u32;
        }
    }
    (requests, resends)
}

fn assert_bounded(requests: u32, resends: u32) {
    let bound = f64::from(requests) * SHARE + f64::from(EXTRA);
    assert!(f64::from(resends) <= bound, "{resends} retries of {requests} requests");
}

#[test]
fn budget_summed_over_all_vms() {
    // Each VM gets the same few requests, and all runs fail, as when many servers crash at once.
    for each in 0..=20 {
        let (requests, resends) = retry_storm(LISTED + ADDED, |_| each, 10);
        assert_bounded(requests, resends);
    }
    // A retry storm at a tenth of the VMs, while the others have at most one request.
    let uneven = |vm: u32| if vm.is_multiple_of(10) { 100 } else { vm % 2 };
    let (requests, resends) = retry_storm(LISTED + ADDED, uneven, 10);
    assert_bounded(requests, resends);
    assert!(f64::from(resends) > f64::from(requests) * SHARE * USED_SHARE, "the reserves are used");
}

#[test]
fn budget_without_requests_in_window() {
    // Streams at all VMs break after they have run for longer than the window, so that no request
    // in the window adds to the budget for their retries.
    let reserve = RetryBudget::reserve(EXTRA, LISTED);
    let resends = (0..LISTED + ADDED).map(|_| {
        let mut budget = RetryBudget::default();
        for _ in 0..10 {
            budget.record_request(Millis(0), WINDOW);
        }
        let now = WINDOW + Millis(1_000);
        (0..10).filter(|_| budget.try_spend(now, WINDOW, SHARE * USED_SHARE, reserve, 0.0)).count()
            as u32
    });
    assert_bounded(0, resends.sum());
}

#[test]
fn budget_reserve_from_limit_and_vms() {
    let all = |vms: u32| RetryBudget::reserve(EXTRA, vms) * f64::from(vms) * 1.2;
    assert!([300, 400, 1_000].iter().all(|vms| all(*vms) <= f64::from(EXTRA)));
    assert!(RetryBudget::reserve(52, 6) >= 2.0, "a small deployment has enough for each VM");
    let unknown = RetryBudget::reserve(EXTRA, 0);
    assert!(unknown <= 0.0, "a VM that knows no other VMs yet has no reserve");
}
