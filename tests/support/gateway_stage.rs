//! Starts entry VMs, backend servers and a store on loopback ports.

use super::route_server::RouteServer;
use guavapass::{
    driver::GatewayVm,
    gateway::GatewayBounds,
    platform::{HttpStore, write_keyed},
    settings::{
        GatewaySettings, LogSettings, PlatformSettings, RelayListener, RouteListener,
        StatusListener,
    },
    stand_in::PlatformStandIn,
    units::{ByteSize, Millis},
};
use serde_json::{Value, json};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

/// A running store, backend servers and entry VMs.
pub struct Stage {
    pub platform: PlatformStandIn,
    pub servers: Vec<RouteServer>,
    pub vms: Vec<GatewayVm>,
    seeds: Vec<SocketAddr>,
}

pub const WAIT: Duration = Duration::from_secs(20);

/// Waits until a condition holds; panics after [`WAIT`].
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Returns a free address with a port below the system's ephemeral range, as an outgoing connection
/// could take an ephemeral port before the test listens on it.
pub fn free_address() -> SocketAddr {
    const FIRST_PORT: u32 = 10_000;
    const PORTS: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    // Test processes that run at the same time start at different ports.
    let start = std::process::id().wrapping_mul(97);
    loop {
        let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + offset) as u16));
        if std::net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

pub fn configuration(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, kind: &str, attempts: u32| {
        json!({
            "name": name, "host": "plaza.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 20000, "gap_aim_ms": 200, "target_latency_ms": 2000, "priority": 1,
            "service": "booking", "max_attempts": attempts, "public": false, "resumable": true,
        })
    };
    let mut frail = route("frail", "streaming", 3);
    frail["resumable"] = json!(false);
    json!({
        "version": version,
        "routes": [
            route("slot", "safe", 3), route("book", "unsafe", 1), route("plan", "streaming", 3), frail,
        ],
        "services": [{"name": "booking", "health_path": "/healthz", "max_connections": 100}],
        "limits": {"max_header_bytes": 4096, "max_body_bytes": 1000},
        "tenants": [{"name": "plaza", "api_keys": keys}],
    })
}

impl Stage {
    pub fn start(server_count: usize, vm_count: usize) -> Self {
        let platform = PlatformStandIn::start();
        let servers: Vec<_> =
            (1..=server_count).map(|number| RouteServer::start(&format!("s{number}"))).collect();
        let mut stage = Self { platform, servers, vms: Vec::new(), seeds: Vec::new() };
        stage.publish(&configuration(1, &["key-1", "key-2"]));
        for index in 0..server_count {
            stage.register_server(index, "ready");
        }
        (0..vm_count).for_each(|_| stage.add_vm());
        for index in 0..vm_count {
            eventually("readiness", || stage.is_ready(index));
        }
        stage
    }

    /// Starts another VM, which finds the others through the addresses of those before it.
    pub fn add_vm(&mut self) {
        let peers = free_address();
        self.seeds.push(peers);
        let settings = GatewaySettings {
            vm: format!("front-{}", self.seeds.len()).parse().unwrap(),
            data_centre: "norte".parse().unwrap(),
            processor_cores: 1.0,
            memory_mb: 128,
            callers: RouteListener {
                listen: "127.0.0.1:0".parse().unwrap(),
                answer_limit_bytes: ByteSize(100_000),
            },
            status: StatusListener { listen: "127.0.0.1:0".parse().unwrap() },
            peers: Some(RelayListener { listen: peers, seeds: self.seeds.clone() }),
            store: PlatformSettings { address: self.platform.address() },
            bounds: GatewayBounds { shutdown_ms: Millis(8_000), ..GatewayBounds::default() },
            log: LogSettings::default(),
        };
        let store = self.platform.address();
        let vm = GatewayVm::start(&settings, move || Arc::new(HttpStore::new(store))).unwrap();
        self.vms.push(vm);
    }

    pub fn publish(&self, configuration: &Value) {
        let record = write_keyed("config", configuration.to_string().as_bytes());
        self.platform.log().append("keyed.op", [record.into()]);
    }

    pub fn register_server(&self, index: usize, state: &str) {
        let server = &self.servers[index];
        let entry = json!({
            "service": "booking", "address": server.address, "zone": "norte", "version": "v1",
            "slots": 8, "state": state, "cold_remaining_ms": 0, "seq": 1,
        });
        let record = write_keyed(&server.id, entry.to_string().as_bytes());
        self.platform.log().append("keyed.servers", [record.into()]);
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let request = "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        send(self.vms[index].status, request).status == 200
    }

    pub fn call(&self, method: &str, path: &str) -> CallAnswer {
        self.call_with(0, method, path, "key-1", "")
    }

    pub fn call_with(
        &self,
        vm: usize,
        method: &str,
        path: &str,
        key: &str,
        extra_headers: &str,
    ) -> CallAnswer {
        self.call_within(vm, 3_000, method, path, key, extra_headers)
    }

    pub fn call_within(
        &self,
        vm: usize,
        deadline_ms: u64,
        method: &str,
        path: &str,
        key: &str,
        extra_headers: &str,
    ) -> CallAnswer {
        let body = if method == "POST" { "the body" } else { "" };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: plaza.example\r\nX-Attempt-Id: call-7\r\n\
             Api-Key: {key}\r\nX-Deadline-Ms: {deadline_ms}\r\n{extra_headers}Content-Length: {}\r\n\
             Connection: close\r\n\r\n{body}",
            body.len()
        );
        send(self.vms[vm].callers, &request)
    }

    /// Sends a request with an attempt id of its own.
    pub fn call_as(&self, id: &str, method: &str, path: &str) -> CallAnswer {
        let body = if method == "POST" { "the body" } else { "" };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: plaza.example\r\nX-Attempt-Id: {id}\r\n\
             Api-Key: key-1\r\nX-Deadline-Ms: 3000\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n{body}",
            body.len()
        );
        send(self.vms[0].callers, &request)
    }

    /// Returns how often servers have received an attempt.
    pub fn runs_of(&self, id: &str) -> usize {
        let seen = self.servers.iter().flat_map(RouteServer::seen);
        seen.filter(|request| request.header("x-attempt-id") == Some(id)).count()
    }

    pub fn seen(&self) -> usize {
        self.servers.iter().map(|server| server.seen().len()).sum()
    }
}

/// An answer as received; `status` is 0 if it has no status line.
#[derive(Debug)]
pub struct CallAnswer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

pub fn send(address: SocketAddr, request: &str) -> CallAnswer {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0);
    CallAnswer { status, head: head.to_ascii_lowercase(), body: body.into() }
}
