//! Plays the scripted cases of the second review: `play CASE FOLDER`.
//!
//! The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod http;
mod rollout_follower;
mod server;
mod short_stream;
mod store;
mod stream_server;
mod vm;

use std::path::{Path, PathBuf};
use std::time::Instant;

/// What a case found out.
pub enum Verdict {
    Broken(String),
    Held(String),
    CouldNotRun(String),
}

/// What a case gets.
pub struct Stage {
    pub begun: Instant,
    /// Whether the disruption is played.
    pub has_trouble: bool,
    /// A temporary folder.
    pub folder: PathBuf,
}

impl Stage {
    /// Returns a time in seconds since the start.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.begun).as_secs_f64()
    }
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(target)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: play CASE FOLDER");
        std::process::exit(2);
    };
    if case == "serve-streams" {
        let port = words.get(3).and_then(|port| port.parse().ok());
        stream_server::serve(target, port.unwrap_or_default());
    }
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let _ = std::fs::create_dir_all(&folder);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let stage = Stage { begun: Instant::now(), has_trouble, folder: folder.clone() };
    let mut record = Vec::new();
    let verdict = match case.as_str() {
        "rollout_follower" => rollout_follower::play(&stage, &mut record),
        "short_stream" => short_stream::play(&stage, &mut record),
        _ => Verdict::CouldNotRun(format!("there is no case {case}")),
    };
    let (status, text) = match verdict {
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    println!("{text}");
    record.push(text);
    let _ = std::fs::write(Path::new(target).join("record.txt"), record.join("\n") + "\n");
    let _ = std::fs::remove_dir_all(&folder);
    std::process::exit(status);
}
