//! What the cases share: the platform's store with its records, servers, machines, and the record.

use crate::client;
use crate::gateway::{GatewayProcess, Machine};
use crate::server::{Runs, ServerProcess, unix_ms};
use crate::store::Store;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const SERVICE: &str = "wuno96b";
const HEARTBEAT_MS: u64 = 1_200;

/// A deployment on this machine.
pub struct Bench {
    pub store: Arc<Store>,
    pub runs: Runs,
    pub gateways: Vec<GatewayProcess>,
    alive: Arc<Mutex<Vec<(String, SocketAddr)>>>,
    is_over: Arc<AtomicBool>,
    pub folder: PathBuf,
    begun: Instant,
    record: Mutex<Vec<(Duration, String)>>,
}

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of a client attempt.
pub fn new_id() -> String {
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{number:08x}", unix_ms() as u32)
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The configuration of a small deployment: one service, a safe and an unsafe route, one tenant.
pub fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    let host = client::HOST;
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{host}\",\"path_prefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":0,\
             \"service\":\"{SERVICE}\",\"max_attempts\":{attempts},\"public\":false}}"
        )
    };
    let routes = [
        route("r-safe", "/cufi504/", "safe", 3),
        route("r-unsafe", "/puxa403/", "unsafe", 3),
    ]
    .join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{keys}],\"priority\":1}}]}}"
    )
}

impl Bench {
    /// Starts the store and `machines` gateways, each in a zone of its own.
    pub fn start(machines: usize, first: &str) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("guavapass-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let store = Store::start();
        store.put("keyed.op", "config", first);
        let places: Vec<Machine> = (0..machines).map(|_| Machine::new()).collect();
        let seeds: Vec<SocketAddr> = places.iter().map(|place| place.control).collect();
        let gateways: Vec<GatewayProcess> = places
            .iter()
            .enumerate()
            .filter_map(|(index, place)| {
                let (name, zone) = (format!("front-z{index}-1"), format!("z{index}"));
                GatewayProcess::start(&folder, &name, &zone, *place, &seeds, store.address)
            })
            .collect();
        if gateways.len() < machines {
            return None;
        }
        let alive: Arc<Mutex<Vec<(String, SocketAddr)>>> = Arc::default();
        let is_over = Arc::new(AtomicBool::new(false));
        let beats = (Arc::clone(&store), Arc::clone(&alive), Arc::clone(&is_over));
        std::thread::spawn(move || beat(&beats.0, &beats.1, &beats.2));
        let (begun, runs, record) = (Instant::now(), Runs::default(), Mutex::default());
        Some(Self { store, runs, gateways, alive, is_over, folder, begun, record })
    }

    /// Waits until all gateways say that they are ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.gateways.iter().all(|gateway| client::is_ready(gateway.ready)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Registers a server that has started; its heartbeats follow.
    pub fn register(&self, server: &ServerProcess) {
        let entry = (server.id.clone(), server.address);
        write_beat(&self.store, &entry, 0);
        self.alive.lock().unwrap().push(entry);
    }

    /// Ends the heartbeats of a server that has crashed. Its entry goes after three intervals.
    pub fn silence(&self, id: &str) {
        self.alive.lock().unwrap().retain(|(known, _)| known != id);
        let (store, id) = (Arc::clone(&self.store), id.to_string());
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(3 * HEARTBEAT_MS));
            store.put("keyed.servers", &id, "");
        });
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    pub fn note(&self, line: String) {
        self.record.lock().unwrap().push((self.now(), line));
    }

    /// Writes the record, with the runs and the verdict, and returns the exit code.
    pub fn finish(&self, folder: &str, broken: &[String]) -> i32 {
        self.is_over.store(true, Ordering::SeqCst);
        let offset = unix_ms() - self.now().as_millis() as u64;
        let mut lines = self.record.lock().unwrap().clone();
        for run in self.runs.lock().unwrap().iter() {
            let at = Duration::from_millis(run.at_ms.saturating_sub(offset));
            let (request, server, tenant) = (&run.request, &run.server, &run.tenant);
            let (key, bytes) = (&run.key, run.bytes);
            let text = format!(
                "run {request} at {server} tenant {tenant} key {key} with a body of {bytes} bytes"
            );
            lines.push((at, text));
        }
        lines.sort();
        let mut text = String::new();
        for (at, line) in lines {
            text.push_str(&format!("{:9.3} {line}\n", at.as_secs_f64()));
        }
        for line in broken {
            text.push_str(&format!("BROKEN {line}\n"));
            println!("BROKEN {line}");
        }
        let verdict = if broken.is_empty() { "the rule held" } else { "the rule was broken" };
        text.push_str(&format!("{verdict}\n"));
        println!("{verdict}");
        if std::fs::write(format!("{folder}/record.txt"), text).is_err() {
            return 2;
        }
        i32::from(!broken.is_empty())
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        self.gateways.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn beat(store: &Store, alive: &Mutex<Vec<(String, SocketAddr)>>, is_over: &AtomicBool) {
    let mut number = 1;
    while !is_over.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        for entry in alive.lock().unwrap().iter() {
            write_beat(store, entry, number);
        }
        number += 1;
    }
}

fn write_beat(store: &Store, (id, address): &(String, SocketAddr), number: u64) {
    let value = format!(
        "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"z0\",\
         \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\
         \"seq\":{number}}}"
    );
    store.put("keyed.servers", id, &value);
}
