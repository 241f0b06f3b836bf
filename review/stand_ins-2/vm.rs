//! The entry VMs: processes of the program, started as the deploy file says.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A process of the role `gateway`, killed on drop.
pub struct EntryVm {
    pub name: String,
    pub callers: SocketAddr,
    pub status: SocketAddr,
    log: PathBuf,
    child: Child,
}

/// Returns a loopback address that was free a moment ago, with a port below the ephemeral ones.
pub fn free_address() -> SocketAddr {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(131);
    loop {
        let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], (10_000 + offset) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Starts the entry VMs of one zone with the settings of `deploy/settings.jsonc`, filled in with
/// the bounds of kencana-cube, and waits until all are ready.
pub fn start_zone(
    folder: &Path,
    zone: &str,
    store: SocketAddr,
    count: usize,
) -> Result<Vec<EntryVm>, String> {
    let peers: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
    let seeds = peers.iter().take(3).map(|seed| format!("\"{seed}\""));
    let seeds = seeds.collect::<Vec<_>>().join(",");
    let mut vms = Vec::new();
    for (index, peer) in peers.iter().enumerate() {
        let name = format!("front-{zone}-{}", index + 1);
        let (callers, status) = (free_address(), free_address());
        let text = format!(
            "{{ \"vm\": \"{name}\", \"data_centre\": \"{zone}\", \"processor_cores\": 0.25, \
             \"memory_mb\": 110, \"callers\": {{ \"listen\": \"{callers}\" }}, \
             \"status\": {{ \"listen\": \"{status}\" }}, \
             \"peers\": {{ \"listen\": \"{peer}\", \"seeds\": [{seeds}] }}, \
             \"store\": {{ \"address\": \"{store}\" }}, \"bounds\": {{ \"key_removal_ms\": 5000, \
             \"drain_ms\": 2000, \"shutdown_ms\": 8000, \"resend_share\": 0.9, \
             \"resend_extra\": 58, \"resend_window_ms\": 10000, \"session_s\": 5, \
             \"exposure_share\": 0.15 }}, \
             \"log\": {{ \"format\": \"json\", \"level\": \"info\" }} }}"
        );
        let settings = folder.join(format!("{name}.jsonc"));
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = folder.join(format!("{name}.log"));
        let child = start_process(&settings, &log)?;
        vms.push(EntryVm { name, callers, status, log, child });
    }
    let begun = Instant::now();
    while !vms.iter().all(EntryVm::is_ready) {
        if begun.elapsed() > Duration::from_secs(15) {
            return Err("the entry VMs are not ready".into());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(vms)
}

fn start_process(settings: &Path, log: &Path) -> Result<Child, String> {
    let output = std::fs::OpenOptions::new().create(true).append(true).open(log);
    let output = output.map_err(|error| error.to_string())?;
    Command::new("target/release/guavapass")
        .arg("gateway")
        .env("GUAVAPASS_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(Stdio::null())
        .spawn()
        .map_err(|error| format!("target/release/guavapass does not start: {error}"))
}

impl EntryVm {
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.status) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = b"GET /-/readyz HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n";
        if stream.write_all(request).is_err() {
            return false;
        }
        let answer = crate::http::read_message(&mut BufReader::new(stream));
        answer.is_ok_and(|answer| answer.status() == Some(200))
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the lines of its log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for EntryVm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
