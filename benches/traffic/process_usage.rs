//! What the system says about this process.

use super::*;

pub struct ProcessUsage;

impl ProcessUsage {
    const TICKS_PER_SECOND: f64 = 100.0;
    /// The threads that belong to the bench itself, by the start of their names.
    const OTHER_THREADS: [&str; 3] = ["stand-in", "load", "traffic"];

    /// Returns the resident memory.
    pub fn resident_bytes() -> u64 {
        let status = std::fs::read_to_string("/proc/self/status").expect("the system has /proc");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        kib.expect("the status has VmRSS") * 1024
    }

    /// Returns the processor time of all threads of the entry VM.
    pub fn vm_cpu() -> Duration {
        Duration::from_secs_f64(Self::threads().iter().map(|(_, seconds)| seconds).sum())
    }

    /// Returns the processor time of the entry VM's busy threads, by name.
    pub fn vm_threads() -> String {
        let busy = Self::threads().into_iter().filter(|(_, seconds)| *seconds > 0.1);
        let texts: Vec<_> = busy.map(|(name, seconds)| format!("{name} {seconds:.1} s")).collect();
        texts.join(", ")
    }

    fn threads() -> Vec<(String, f64)> {
        let tasks = std::fs::read_dir("/proc/self/task").expect("the system has /proc");
        let read = |task: std::fs::DirEntry| {
            let name = std::fs::read_to_string(task.path().join("comm")).ok()?;
            let other = Self::OTHER_THREADS.iter().any(|other| name.starts_with(other));
            let stat = std::fs::read_to_string(task.path().join("stat")).ok()?;
            let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
            let ticks = fields[11].parse::<f64>().ok()? + fields[12].parse::<f64>().ok()?;
            (!other).then(|| (name.trim().to_owned(), ticks / Self::TICKS_PER_SECOND))
        };
        tasks.flatten().filter_map(read).collect()
    }
}
