//! A bad version is rolled back, and entry VMs that get the store's records from another one go on
//! sending requests to it.

use crate::client::Clients;
use crate::server::{Run, Runs, Server};
use crate::store::Store;
use crate::{vm, Stage, Verdict};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ZONE: &str = "bayan-lepas";
const SERVICE: &str = "order-desk";
const DURATION: Duration = Duration::from_secs(24);
/// The new servers drain some seconds after the roll-back, and serve on for `drain_ms` (2 s).
const DRAIN_AFTER: Duration = Duration::from_secs(10);
const DRAIN: Duration = Duration::from_secs(2);
const ROLLBACK: Duration = Duration::from_millis(5_000);
const BAD_ANSWERS: usize = 50;
const PER_S: u64 = 500;

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"run-confirm","host":"kencana.example","path_prefix":"/confirm/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"order-desk","max_attempts":3,"public":false}],"services":[{"name":"order-desk","health_path":"/healthz","max_connections":110}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"kencana","api_keys":["key-1"]}]}"#;

pub fn play(stage: &Stage, record: &mut Vec<String>) -> Verdict {
    let store = Store::start();
    let runs = Runs::default();
    let old: Vec<Server> =
        (1..=4).map(|number| Server::start(&format!("old-{number}"), "v1", 0, &runs)).collect();
    // Half of the requests of a bad version fail.
    let fails_each = if stage.has_trouble { 2 } else { 0 };
    let new: Vec<Server> = (1..=4)
        .map(|number| Server::start(&format!("new-{number}"), "v2", fails_each, &runs))
        .collect();
    store.put("keyed.op", "config", CONFIGURATION);
    register(&store, &old, "ready", 1);
    let mut vms = match vm::start_zone(&stage.folder, ZONE, store.address, 3) {
        Ok(vms) => vms,
        Err(error) => return Verdict::CouldNotRun(error),
    };
    std::thread::sleep(Duration::from_secs(2));
    let callers: Vec<SocketAddr> = vms.iter().map(|vm| vm.callers).collect();
    let clients = Clients::start(&callers, "POST", "/confirm/run", 24, PER_S);
    std::thread::sleep(Duration::from_secs(2));
    register(&store, &new, "ready", 1);
    std::thread::sleep(Duration::from_millis(200));
    let order = format!(
        "{{\"service\":\"{SERVICE}\",\"target\":\"v2\",\"duration_s\":{}}}",
        DURATION.as_secs()
    );
    store.put("keyed.op", &format!("rollout/{SERVICE}"), &order);
    let ordered = Instant::now();
    record.push(format!("{:7.3} s  the operator orders the roll-out", stage.seconds(ordered)));
    let ended = follow(&store, &new, ordered);
    let calls = clients.finish();
    let all_ran = vms.iter_mut().all(vm::EntryVm::is_running);
    for (at, text) in statuses(&store) {
        record.push(format!("{:7.3} s  status/rollout: {text}", stage.seconds(at)));
    }
    for vm in &vms {
        record.push(format!("{} (process {}) logged:", vm.name, vm.id()));
        for line in vm.log_lines("guavapass::gateway::rollouts") {
            if !line.contains("compared") {
                record.push(format!("    {line}"));
            }
        }
    }
    if !all_ran {
        return Verdict::CouldNotRun("a process of the system has ended".into());
    }
    let Some((state, at)) = ended else {
        return Verdict::CouldNotRun("the roll-out has not ended".into());
    };
    let runs = runs.lock().unwrap().clone();
    summarize(stage, record, &runs, &calls);
    let of_new: Vec<&Run> = runs.iter().filter(|run| run.version == "v2").collect();
    let bad: Vec<&&Run> = of_new.iter().filter(|run| run.status == 500).collect();
    record.push(format!(
        "{state} {:.3} s after the order; the new version ran {} of {} requests, {} of them badly",
        (at - ordered).as_secs_f64(),
        of_new.len(),
        runs.len(),
        bad.len()
    ));
    if !stage.has_trouble {
        return Verdict::Held(format!("{state}; a sound version may get any share"));
    }
    if state != "rolled_back" {
        return Verdict::CouldNotRun(format!("the bad version ended as {state}"));
    }
    let Some(fiftieth) = bad.get(BAD_ANSWERS - 1) else {
        return Verdict::Held(format!("the bad version gave {} bad answers", bad.len()));
    };
    let sent: BTreeMap<&str, (Instant, usize)> =
        calls.iter().map(|call| (call.id.as_str(), (call.at, call.vm))).collect();
    let late: Vec<(&&Run, (Instant, usize))> = of_new
        .iter()
        .filter_map(|run| Some((run, *sent.get(run.id.as_str())?)))
        .filter(|(_, (at, _))| *at > fiftieth.at + ROLLBACK)
        .collect();
    for (run, (at, vm)) in late.iter().take(20) {
        record.push(format!(
            "{:7.3} s  {} sent to {}, {:.0} ms after the 50th bad answer; {:.3} s {} ({}) runs it",
            stage.seconds(*at),
            run.id,
            vms[*vm].name,
            (*at - fiftieth.at).as_secs_f64() * 1_000.0,
            stage.seconds(run.at),
            run.server,
            run.version
        ));
    }
    let text = format!(
        "{} requests that were sent later than 5000 ms after the 50th bad answer ran on v2",
        late.len()
    );
    if late.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) }
}

fn register(store: &Store, servers: &[Server], state: &str, seq: u64) {
    for server in servers {
        store.put("keyed.servers", &server.id, &server.entry(SERVICE, ZONE, state, seq));
    }
}

/// Returns the states that the system wrote, and when.
fn statuses(store: &Store) -> Vec<(Instant, String)> {
    let records = store.records("keyed.status");
    let texts = records.iter().map(|record| {
        (record.at, String::from_utf8_lossy(record.value()).into_owned())
    });
    texts.collect()
}

/// Does what the platform does with the new servers until they have left or the version is
/// completed. Returns how the roll-out ended, and when.
fn follow(store: &Store, new: &[Server], ordered: Instant) -> Option<(&'static str, Instant)> {
    let (state, at) = loop {
        std::thread::sleep(Duration::from_millis(20));
        let ended = statuses(store).into_iter().find_map(|(at, text)| {
            let state = ["completed", "rolled_back"].into_iter().find(|state| text.contains(state));
            state.map(|state| (state, at))
        });
        if let Some(ended) = ended {
            break ended;
        }
        if ordered.elapsed() > DURATION + Duration::from_secs(5) {
            return None;
        }
    };
    if state == "rolled_back" {
        std::thread::sleep((at + DRAIN_AFTER).saturating_duration_since(Instant::now()));
        register(store, new, "draining", 2);
        std::thread::sleep(DRAIN);
        for server in new {
            store.put("keyed.servers", &server.id, "");
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    Some((state, at))
}

/// Records for each second what was sent, answered and run.
fn summarize(stage: &Stage, record: &mut Vec<String>, runs: &[Run], calls: &[crate::client::Call]) {
    record.push("second  sent  200  500  503  other  runs on v1  runs on v2".into());
    let second = |at: Instant| stage.seconds(at) as u64;
    let last = calls.last().map_or(0, |call| second(call.at));
    for now in 0..=last {
        let of_now: Vec<u16> =
            calls.iter().filter(|call| second(call.at) == now).map(|call| call.status).collect();
        let count = |status: u16| of_now.iter().filter(|known| **known == status).count();
        let on = |version: &str| {
            runs.iter().filter(|run| second(run.at) == now && run.version == version).count()
        };
        if of_now.is_empty() {
            continue;
        }
        let other = of_now.len() - count(200) - count(500) - count(503);
        record.push(format!(
            "{now:6}  {:4}  {:3}  {:3}  {:3}  {other:5}  {:10}  {:10}",
            of_now.len(),
            count(200),
            count(500),
            count(503),
            on("v1"),
            on("v2")
        ));
    }
}
