//! A VM in a process of its own before a faulty pool and a sound one.

use super::{
    gateway_stage::{configuration, eventually, free_address, send},
    route_server::{RouteServer, ServerAction},
    vm_process::{VmProcess, scratch_folder},
};
use guavapass::{platform::write_keyed, stand_in::PlatformStandIn};
use serde_json::json;
use std::{
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    time::Duration,
};

/// The memory of the smallest entry VM.
pub const MEMORY_MB: u64 = 110;
pub const CALLERS: usize = 200;
pub const MB: usize = 1_024 * 1_024;

/// A VM before a faulty pool and a sound one.
pub struct MemoryBench {
    _platform: PlatformStandIn,
    pub faulty: Vec<RouteServer>,
    pub sound: RouteServer,
    pub callers: SocketAddr,
    pub status: SocketAddr,
    memory_mb: u64,
    process: VmProcess,
    folder: PathBuf,
}

impl MemoryBench {
    pub fn start(name: &str) -> Self {
        Self::with_memory(name, MEMORY_MB)
    }

    /// Starts a VM with this memory in MB.
    pub fn with_memory(name: &str, memory_mb: u64) -> Self {
        let folder = scratch_folder(name);
        let platform = PlatformStandIn::start();
        let faulty: Vec<RouteServer> = ["f1", "f2", "f3"].map(RouteServer::start).into();
        let sound = RouteServer::start("sound");
        let [callers, status, peers] = [(); 3].map(|()| free_address());
        let settings = json!({
            "vm": "front-1", "data_centre": "norte", "memory_mb": memory_mb,
            "callers": {"listen": callers}, "status": {"listen": status},
            "peers": {"listen": peers, "seeds": []},
            "store": {"address": platform.address()},
            "bounds": {"shutdown_ms": 8000},
            "log": {"format": "json", "level": "warn"},
        });
        let file = folder.join("front-1.jsonc");
        std::fs::write(&file, settings.to_string()).unwrap();
        let mut document = configuration(1, &["key-1"]);
        document["routes"][0]["service"] = json!("sound");
        document["limits"]["max_body_bytes"] = json!(4 * MB);
        let publish = |stream: &str, key: &str, value: String| {
            platform.log().append(stream, [write_keyed(key, value.as_bytes()).into()]);
        };
        publish("keyed.op", "config", document.to_string());
        for (server, service) in
            faulty.iter().map(|server| (server, "booking")).chain([(&sound, "sound")])
        {
            let entry = json!({
                "service": service, "address": server.address, "zone": "norte", "version": "v1",
                "slots": 64, "state": "ready", "cold_remaining_ms": 0, "seq": 1,
            });
            publish("keyed.servers", &server.id, entry.to_string());
        }
        let process = VmProcess::start(env!("CARGO_BIN_EXE_guavapass"), "gateway", &file);
        let bench = Self {
            _platform: platform,
            faulty,
            sound,
            callers,
            status,
            memory_mb,
            process,
            folder,
        };
        eventually("readiness", || {
            let request = "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            TcpStream::connect(status).is_ok() && send(status, request).status == 200
        });
        bench
    }

    pub fn script(&self, action: ServerAction) {
        self.faulty.iter().for_each(|server| server.script(&vec![action; 2 * CALLERS]));
    }

    pub fn head(path: &str, id: usize, length: usize) -> String {
        format!(
            "POST {path} HTTP/1.1\r\nHost: plaza.example\r\nX-Attempt-Id: call-{id}\r\n\
             Api-Key: key-1\r\nX-Deadline-Ms: 3000\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n"
        )
    }

    /// Returns the statuses of small sound requests that are sent one after the other meanwhile.
    pub fn sound_statuses(&self) -> Vec<u16> {
        let statuses = (0..20).map(|number| {
            std::thread::sleep(Duration::from_millis(50));
            send(self.callers, &Self::head("/slot/a", 10_000 + number, 0)).status
        });
        statuses.collect()
    }

    pub fn assert_memory(&mut self, context: &str) {
        let peak = self.process.peak_kb().expect("the process has not ended");
        assert!(peak < self.memory_mb * 1_024, "{context}: {peak} kB");
        eprintln!("{context}: peak of {peak} kB");
    }
}

impl MemoryBench {
    /// Returns how many answers were lost because their callers did not read them.
    pub fn lost(&self) -> usize {
        let causes = ["server-waits", "memory", "idle"];
        causes
            .map(|cause| self.metric(&format!("guavapass.unread_answers_lost.kind:{cause}")))
            .iter()
            .sum()
    }

    /// Returns a counter or gauge of the metrics page; 0 if it isn't there.
    pub fn metric(&self, name: &str) -> usize {
        let request = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        // A port that a caller has just closed is still taken for a caller's.
        let mut body = String::new();
        eventually("the metrics page", || {
            let answer = send(self.status, request);
            body = answer.body;
            answer.status == 200
        });
        let value = body.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value.map_or(0, |value| value.trim().parse().unwrap())
    }
}

impl Drop for MemoryBench {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
