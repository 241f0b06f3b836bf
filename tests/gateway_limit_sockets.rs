//! Servers that name a request limit for all entry VMs together, over real sockets.

#[path = "support/gateway_stage.rs"]
#[allow(dead_code)]
mod gateway_stage;
#[path = "support/route_server.rs"]
#[allow(dead_code)]
mod route_server;

use gateway_stage::*;
use route_server::RouteServer;
use std::time::{Duration, Instant};

const VMS: usize = 3;
/// The window over which the rule counts the requests at a server.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests from a VM count from this time after its first answer with the limit.
const REPORT_TIME: Duration = Duration::from_millis(500);
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the number of requests that the rule permits in a window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Returns the largest number of requests in a window that began at `from` or later.
fn most_in_window(server: &RouteServer, from: Instant) -> usize {
    let times: Vec<Instant> =
        server.seen().iter().map(|request| request.at).filter(|at| *at >= from).collect();
    let in_window = |start: &Instant| {
        times.iter().filter(|at| *at >= start && at.duration_since(*start) < WINDOW).count()
    };
    times.iter().map(in_window).max().unwrap_or_default()
}

/// Sends calls to all VMs for a time; returns how many of them were not answered with 200.
fn call_all_vms(stage: &Stage, method: &str, path: &str, time: Duration) -> usize {
    let call_repeatedly = |vm: usize| {
        let start = Instant::now();
        let mut failed = 0;
        while start.elapsed() < time {
            let answer = stage.call_with(vm, method, path, "key-1", "");
            failed += usize::from(answer.status != 200);
            std::thread::sleep(CALL_INTERVAL);
        }
        failed
    };
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..VMS).map(|vm| scope.spawn(move || call_repeatedly(vm))).collect();
        callers.into_iter().map(|caller| caller.join().unwrap()).sum()
    })
}

#[test]
fn server_limit_holds_for_the_sum_of_all_vms() {
    for (method, path) in [("GET", "/slot/a"), ("POST", "/plan/a"), ("POST", "/book/a")] {
        let stage = Stage::start(2, VMS);
        stage.servers[0].set_limit(Some("2"));
        // Long enough for each VM to get an answer with the limit.
        call_all_vms(&stage, method, path, Duration::from_secs(1));
        let told = Instant::now() + REPORT_TIME;
        let failed = call_all_vms(&stage, method, path, Duration::from_secs(5));
        assert_eq!(failed, 0, "{path}: the other server takes the rest");
        let most = most_in_window(&stage.servers[0], told);
        assert!(most <= allowed(2.0), "{path}: {most} requests in 4 s, {} allowed", allowed(2.0));
    }
}
