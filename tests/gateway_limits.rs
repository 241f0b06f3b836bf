//! Servers that name a request limit for all entry VMs together, with several VMs.

#[path = "support/gateway_crowd.rs"]
#[allow(dead_code)]
mod gateway_crowd;
#[path = "support/gateway_world.rs"]
#[allow(dead_code)]
mod gateway_world;
#[path = "support/limited_pool.rs"]
#[allow(dead_code)]
mod limited_pool;

use gateway_crowd::GatewaySimulation;
use guavapass::units::Millis;
use limited_pool::LimitedPool;

const CENTRES: [&str; 3] = ["norte", "sur", "valle"];
const VMS_PER_CENTRE: usize = 3;
const ENGINES: [&str; 6] = ["e1", "e2", "e3", "e4", "e5", "e6"];
const BOOKINGS: [&str; 4] = ["b1", "b2", "b3", "b4"];

fn pool(seed: u64) -> LimitedPool {
    let mut crowd = GatewaySimulation::new(&CENTRES, VMS_PER_CENTRE);
    crowd.start_all();
    crowd.run(4_000);
    assert_eq!(crowd.ready(), crowd.len());
    LimitedPool::new(crowd, seed)
}

/// Returns the seeds of the random days to play. `GUAVAPASS_LIMIT_SEEDS` sets others, as `first,end`.
fn chaos_seeds() -> std::ops::Range<u64> {
    let seeds = std::env::var("GUAVAPASS_LIMIT_SEEDS").unwrap_or_else(|_| "0,4".into());
    let (first, end) = seeds.split_once(',').expect("the seeds are given as first,end");
    first.parse().unwrap()..end.parse().unwrap()
}

fn all_vms(pool: &LimitedPool) -> Vec<usize> {
    (0..pool.crowd.len()).collect()
}

#[test]
fn limit_holds_for_all_kinds_of_requests() {
    for (path, servers) in [
        ("/slot/1", &BOOKINGS[..]),
        ("/book/1", &BOOKINGS),
        ("/plan/1", &ENGINES),
        ("/sized/1", &ENGINES),
    ] {
        let mut pool = pool(1);
        let vms = all_vms(&pool);
        pool.load(&vms, path, 4.0, 3_000);
        pool.set_limit(servers[0], Some(1.0));
        pool.set_limit(servers[1], Some(2.0));
        pool.load(&vms, path, 4.0, 15_000);
        pool.run(3_000);
        pool.assert_limits_hold();
        assert!(pool.refused.is_empty(), "{path}: {:?}", pool.refused);
        assert!(pool.answered >= 600, "{path}: {}", pool.answered);
    }
}

#[test]
fn limits_of_all_servers_are_used() {
    for (path, servers, limit) in [
        ("/slot/1", &BOOKINGS[..], 1.0),
        ("/plan/1", &ENGINES, 1.0),
        ("/plan/1", &ENGINES, 5.0),
        ("/slot/1", &BOOKINGS, 20.0),
    ] {
        let mut pool = pool(2);
        let vms = all_vms(&pool);
        pool.set_limits(servers, Some(limit));
        let total = limit * servers.len() as f64;
        // Half as much again as the servers take.
        let per_vm = 1.5 * total / vms.len() as f64;
        pool.load(&vms, path, per_vm, 5_000);
        let from = pool.crowd.now;
        pool.load(&vms, path, per_vm, 20_000);
        pool.assert_limits_hold();
        let seen = pool.seen_since(servers, from);
        let share = seen as f64 / (total * 20.0);
        assert!((0.75..1.1).contains(&share), "{path} {limit}: {share}");
        assert_eq!(pool.refused_not_run(), pool.refused.len());
    }
}

#[test]
fn limit_is_used_by_one_busy_vm() {
    let mut pool = pool(3);
    pool.set_limits(&BOOKINGS, Some(5.0));
    pool.load(&[4], "/slot/1", 30.0, 5_000);
    let from = pool.crowd.now;
    pool.load(&[4], "/slot/1", 30.0, 10_000);
    pool.assert_limits_hold();
    let seen = pool.seen_since(&BOOKINGS, from);
    assert!(seen >= 150, "{seen} of 200 are used");
}

#[test]
fn limit_ends_when_answers_no_longer_name_it() {
    let mut pool = pool(4);
    let vms = all_vms(&pool);
    pool.set_limits(&BOOKINGS, Some(1.0));
    pool.load(&vms, "/slot/1", 5.0, 5_000);
    pool.set_limits(&BOOKINGS, None);
    pool.load(&vms, "/slot/1", 5.0, 3_000);
    let (from, refused) = (pool.crowd.now, pool.refused.len());
    pool.load(&vms, "/slot/1", 5.0, 5_000);
    let seen = pool.seen_since(&BOOKINGS, from);
    assert!(seen > 180, "{seen} of about 225");
    assert_eq!(pool.refused.len(), refused);
}

#[test]
fn limit_of_zero_ends() {
    let mut pool = pool(5);
    let vms = all_vms(&pool);
    pool.set_limits(&BOOKINGS, Some(0.0));
    pool.load(&vms, "/slot/1", 5.0, 15_000);
    pool.assert_limits_hold();
    pool.set_limits(&BOOKINGS, None);
    pool.load(&vms, "/slot/1", 5.0, 15_000);
    let from = pool.crowd.now;
    pool.load(&vms, "/slot/1", 5.0, 5_000);
    let seen = pool.seen_since(&BOOKINGS, from);
    assert!(seen > 180, "{seen} of about 225");
}

#[test]
fn limit_is_spread_before_all_vms_are_told() {
    let mut pool = pool(6);
    let vms = all_vms(&pool);
    pool.load(&vms, "/slot/1", 10.0, 2_000);
    pool.set_limits(&BOOKINGS, Some(1.0));
    pool.load(&[0], "/slot/1", 100.0, 500);
    pool.run(1_000);
    let from = pool.crowd.now;
    pool.load(&vms, "/slot/1", 10.0, 4_000);
    for server in BOOKINGS {
        let seen = pool.seen_in(server, from, from + Millis(4_000));
        assert!(seen <= 6, "{server}: {seen}");
    }
}

#[test]
fn limit_holds_while_hub_restarts_freezes_and_is_cut_off() {
    for seed in 0..6 {
        let mut pool = pool(10 + seed);
        let vms = all_vms(&pool);
        pool.set_limits(&BOOKINGS, Some(2.0));
        pool.load(&vms, "/slot/1", 4.0, 5_000);
        for vm in 0..VMS_PER_CENTRE {
            match seed % 3 {
                0 => pool.restart(vm),
                1 => {
                    pool.crowd.freeze(vm, 3_000);
                    pool.forget(vm);
                }
                _ => {
                    pool.crowd.cut.insert(vm);
                    pool.forget(vm);
                }
            }
            pool.load(&vms, "/slot/1", 4.0, 3_000);
            pool.crowd.cut.clear();
            pool.load(&vms, "/slot/1", 4.0, 2_000);
        }
        pool.load(&vms, "/slot/1", 4.0, 5_000);
        pool.assert_limits_hold();
    }
}

/// Plays a day on which VMs are restarted, frozen and cut off at random.
fn play_random_day(seed: u64) {
    println!("seed {seed}");
    let mut pool = pool(100 + seed);
    let vms = all_vms(&pool);
    let limits = [0.5, 1.0, 3.0, 10.0];
    for (server, limit) in BOOKINGS.iter().zip(limits) {
        pool.set_limit(server, Some(limit));
    }
    pool.broken_share = 0.05;
    let mut healed = pool.crowd.now;
    for _ in 0..15 {
        let vm = pool.draw(vms.len());
        match pool.draw(4) {
            0 => pool.restart(vm),
            1 => {
                pool.crowd.freeze(vm, 2_000);
                pool.forget(vm);
            }
            2 => {
                pool.crowd.cut.insert(vm);
                pool.forget(vm);
            }
            _ => {}
        }
        pool.load(&vms, "/slot/1", 4.0, 1_500);
        if pool.crowd.now.since(healed).0 > 5_000 {
            healed = pool.crowd.now;
            for vm in std::mem::take(&mut pool.crowd.cut) {
                pool.forget(vm);
            }
        }
    }
    pool.assert_limits_hold();
}

#[test]
fn limit_holds_while_vms_come_and_go() {
    for seed in chaos_seeds() {
        play_random_day(seed);
    }
}

/// On these days a VM takes over as the hub while the hub before it, unknown to it, is still asked.
#[test]
fn limit_holds_with_two_hubs_in_a_data_centre() {
    for seed in [17, 80, 125] {
        play_random_day(seed);
    }
}

/// With one request per second for hundreds of VMs, nearly all of them must send nothing.
#[test]
fn low_limit_holds_in_a_large_fleet() {
    let mut crowd = GatewaySimulation::new(&["norte", "sur", "valle", "centro"], 30);
    crowd.start_all();
    crowd.run(4_000);
    let mut pool = LimitedPool::new(crowd, 7);
    let vms = all_vms(&pool);
    pool.load(&vms, "/slot/1", 1.0, 1_000);
    pool.set_limit("b1", Some(1.0));
    pool.set_limit("b2", Some(1.0));
    pool.load(&vms, "/slot/1", 1.0, 3_000);
    let (from, queries) = (pool.crowd.now, pool.crowd.permit_queries.clone());
    pool.load(&vms, "/slot/1", 1.0, 6_000);
    pool.assert_limits_hold();
    for server in ["b1", "b2"] {
        let seen = pool.seen_in(server, from, pool.crowd.now);
        assert!(seen <= 8, "{server}: {seen}");
    }
    assert!(pool.refused.is_empty(), "{:?}", pool.refused);
    for (vm, count) in &pool.crowd.permit_queries {
        let before = queries.get(vm).copied().unwrap_or_default();
        assert!(count - before <= 6 * 120, "VM {vm} gets {} queries in 6 s", count - before);
    }
}

#[test]
fn limit_holds_while_it_changes() {
    for seed in 0..4 {
        let mut pool = pool(200 + seed);
        let vms = all_vms(&pool);
        pool.broken_share = 0.1;
        for step in 0..8 {
            for server in BOOKINGS {
                let limits = [Some(0.25), Some(1.0), Some(4.0), Some(20.0), Some(0.0)];
                // A server whose limit ended would be excused from then on.
                let limit = if step == 7 { None } else { limits[pool.draw(limits.len())] };
                pool.set_limit(server, limit);
            }
            pool.load(&vms, "/slot/1", 5.0, 5_000);
        }
        pool.assert_limits_hold();
    }
}

#[test]
fn limit_holds_for_broken_streams() {
    let mut pool = pool(300);
    let vms = all_vms(&pool);
    pool.broken_share = 0.3;
    pool.set_limits(&ENGINES, Some(2.0));
    pool.load(&vms, "/plan/1", 2.0, 15_000);
    pool.assert_limits_hold();
}

#[test]
fn limits_are_used_without_vms_in_the_data_centre() {
    let mut crowd = GatewaySimulation::new(&["sur", "valle"], 3);
    crowd.start_all();
    crowd.run(4_000);
    let mut pool = LimitedPool::new(crowd, 8);
    let vms = all_vms(&pool);
    pool.set_limits(&BOOKINGS, Some(5.0));
    pool.load(&vms, "/slot/1", 5.0, 4_000);
    let from = pool.crowd.now;
    pool.load(&vms, "/slot/1", 5.0, 10_000);
    pool.assert_limits_hold();
    let seen = pool.seen_since(&BOOKINGS, from);
    assert!(seen >= 150, "{seen} of 200");
}

#[test]
fn limit_holds_while_data_centres_are_cut_apart() {
    for seed in 0..4 {
        let mut pool = pool(400 + seed);
        let vms = all_vms(&pool);
        pool.crowd.can_cut_vms_connect = true;
        pool.set_limits(&BOOKINGS, Some(3.0));
        pool.load(&vms, "/slot/1", 4.0, 5_000);
        let centre = pool.draw(CENTRES.len());
        pool.crowd.cut.extend(centre * VMS_PER_CENTRE..(centre + 1) * VMS_PER_CENTRE);
        pool.load(&vms, "/slot/1", 4.0, 12_000);
        pool.crowd.cut.clear();
        let healed = pool.crowd.now;
        pool.load(&vms, "/slot/1", 4.0, 15_000);
        pool.assert_limits_hold();
        let from = healed + Millis(10_000);
        let seen = pool.seen_since(&BOOKINGS, from);
        assert!(seen >= 45, "{seen} of 60 are used again");
    }
}
