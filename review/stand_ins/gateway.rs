//! Starts the project's own program with the command of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

pub struct GatewayProcess {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Child,
}

/// The addresses of a machine.
#[derive(Clone, Copy)]
pub struct Machine {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

impl Machine {
    pub fn new() -> Self {
        Self { front: free_address(), ready: free_address(), control: free_address() }
    }
}

impl GatewayProcess {
    /// Starts a process with the settings that the platform makes of `deploy/settings.jsonc`.
    pub fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        machine: Machine,
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> Option<Self> {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let settings = format!(
            r#"{{
  "vm": "{name}",
  "data_centre": "{zone}",
  "processor_cores": 0.25,
  "callers": {{ "listen": "{}" }},
  "status": {{ "listen": "{}" }},
  "peers": {{ "listen": "{}", "seeds": [{}] }},
  "store": {{ "address": "{store}" }},
  "bounds": {{
    "key_removal_ms": 5000,
    "drain_ms": 2000,
    "shutdown_ms": 8000,
    "resend_share": 0.9,
    "resend_extra": 58,
    "resend_window_ms": 10000,
    "session_s": 5,
    "exposure_share": 0.15,
  }},
  "log": {{ "format": "json", "level": "info" }},
}}
"#,
            machine.front,
            machine.ready,
            machine.control,
            seeds.join(",")
        );
        let path = folder.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings).ok()?;
        let child = Self::spawn(&path)?;
        Some(Self {
            name: name.into(),
            front: machine.front,
            ready: machine.ready,
            settings: path,
            child,
        })
    }

    fn spawn(settings: &Path) -> Option<Child> {
        let log = settings.with_extension("log");
        let log = File::options().create(true).append(true).open(log).ok()?;
        let mut command = Command::new("target/release/guavapass");
        command.arg("gateway").env_clear().env("GUAVAPASS_SETTINGS", settings);
        for variable in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(variable) {
                command.env(variable, value);
            }
        }
        command.stdin(Stdio::null()).stderr(log.try_clone().ok()?).stdout(log).spawn().ok()
    }

    /// Ends the process with SIGKILL if it has not ended yet.
    pub fn stop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) -> bool {
        Self::spawn(&self.settings).map(|child| self.child = child).is_some()
    }
}

impl GatewayProcess {
    /// Sends SIGTERM, as the platform does to stop a process.
    pub fn terminate(&self) -> bool {
        let line = format!("kill -TERM {}", self.child.id());
        Command::new("sh").args(["-c", &line]).status().is_ok_and(|status| status.success())
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.stop();
    }
}
