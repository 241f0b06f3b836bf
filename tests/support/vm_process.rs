//! Processes of the program, which end with the test.

use std::{
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
};

/// An entry VM in a process of its own, which is killed when dropped.
pub struct VmProcess(Child);

impl VmProcess {
    pub fn start(build: &str, command: &str, settings: &Path) -> Self {
        let mut child = Command::new(build);
        let child = child.arg(command).arg(settings).stdout(Stdio::null()).stderr(Stdio::null());
        Self(child.spawn().unwrap())
    }
}

impl VmProcess {
    /// Returns the largest resident memory that the process has had, in kB; none if it has ended.
    pub fn peak_kb(&mut self) -> Option<u64> {
        if !matches!(self.0.try_wait(), Ok(None)) {
            return None;
        }
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }
}

impl Drop for VmProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Runs a command of the program to its end.
pub fn run(build: &str, words: &[&str]) -> Output {
    Command::new(build).args(words).output().unwrap()
}

/// Returns an empty folder of this process.
pub fn scratch_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("guavapass-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}
