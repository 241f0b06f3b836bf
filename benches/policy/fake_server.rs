//! A model engine in a page: slots, a queue by priority, a pace that may drop for a while.

use std::collections::BTreeMap;

/// One attempt at a server.
#[derive(Clone, Debug)]
pub struct ServerJob {
    pub request: u64,
    pub attempt: u64,
    pub priority: u8,
    /// The time to the first token and that from there to the end, at the usual pace.
    pub prefill_ms: f64,
    pub generate_ms: f64,
}

/// A time in which a server is slower by a factor.
#[derive(Clone, Copy, Debug)]
pub struct SlowTime {
    pub from: u64,
    pub to: u64,
    pub factor: f64,
}

/// A started job and when its first token and its end come.
#[derive(Clone, Debug)]
pub struct StartedJob {
    pub job: ServerJob,
    pub head: u64,
    pub end: u64,
}

pub struct FakeServer {
    slots: usize,
    pub slow: Vec<SlowTime>,
    running: BTreeMap<(u64, u64), StartedJob>,
    waiting: BTreeMap<(u8, u64), ServerJob>,
    order: u64,
}

impl FakeServer {
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            slow: Vec::new(),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            order: 0,
        }
    }

    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    pub fn has_slot(&self) -> bool {
        self.running.len() < self.slots
    }

    /// Takes a job and returns it if it starts at once.
    pub fn take(&mut self, now: u64, job: ServerJob) -> Option<StartedJob> {
        if self.has_slot() {
            return Some(self.start(now, job));
        }
        self.order += 1;
        self.waiting.insert((job.priority, self.order), job);
        None
    }

    fn start(&mut self, now: u64, job: ServerJob) -> StartedJob {
        let head = self.after(now as f64, job.prefill_ms);
        let end = self.after(head, job.generate_ms);
        let started = StartedJob { head: head.ceil() as u64, end: end.ceil() as u64, job };
        let key = (started.job.request, started.job.attempt);
        self.running.insert(key, started.clone());
        started
    }

    /// Removes a job that has ended or been cancelled, and returns one that starts in its place.
    pub fn remove(&mut self, now: u64, request: u64, attempt: u64) -> Option<StartedJob> {
        if self.running.remove(&(request, attempt)).is_none() {
            self.waiting.retain(|_, job| (job.request, job.attempt) != (request, attempt));
            return None;
        }
        let (_, next) = self.waiting.pop_first()?;
        Some(self.start(now, next))
    }

    pub fn is_running(&self, request: u64, attempt: u64) -> bool {
        self.running.contains_key(&(request, attempt))
    }

    /// Returns when so much work is done that starts at a time.
    fn after(&self, start: f64, work: f64) -> f64 {
        let (mut at, mut left) = (start, work);
        loop {
            let slow =
                self.slow.iter().find(|slow| (slow.from as f64..slow.to as f64).contains(&at));
            let factor = slow.map_or(1.0, |slow| slow.factor);
            let change = slow.map_or_else(
                || {
                    let next =
                        self.slow.iter().map(|slow| slow.from as f64).filter(|from| *from > at);
                    next.fold(f64::INFINITY, f64::min)
                },
                |slow| slow.to as f64,
            );
            if at + left * factor <= change {
                return at + left * factor;
            }
            left -= (change - at) / factor;
            at = change;
        }
    }
}
