use super::*;

/// A budget of second sends of a pool's requests, over a sliding window.
///
/// The bound holds for the sum over all entry VMs. Each keeps to the share of the requests that it
/// has seen itself, and to its part of the second sends that the bound has without requests.
#[derive(Clone, Debug, Default)]
pub struct ResendBudget {
    slices: VecDeque<WindowSlice>,
}

#[derive(Clone, Copy, Debug)]
struct WindowSlice {
    start: Millis,
    requests: u32,
    resends: u32,
}

impl ResendBudget {
    /// The parts of a window that are counted apart.
    const SLICES: u64 = 20;
    /// The most second sends of one VM that need no requests.
    const MOST_RESERVE: f64 = 2.0;
    /// The part of the second sends without requests that all VMs together use.
    const RESERVE_PART: f64 = 0.9;
    /// How many times the VMs that are known there may be: some are not listed yet, have just been
    /// added, or are cut off with their part.
    const UNKNOWN_VMS: f64 = 1.25;

    /// Returns one VM's part of the second sends that the bound has without requests, if so many VMs
    /// are known. A VM that knows of no other data centre's VMs yet has none.
    #[must_use]
    pub fn reserve(extra: u32, vms: u32) -> f64 {
        if vms == 0 {
            return 0.0;
        }
        let all = f64::from(extra) * Self::RESERVE_PART;
        (all / (f64::from(vms) * Self::UNKNOWN_VMS)).min(Self::MOST_RESERVE)
    }

    /// Counts a request.
    pub fn earn(&mut self, now: Millis, window: Millis) {
        self.slice(now, window).requests += 1;
    }

    /// Takes one second send if the window has it, or the reserve.
    pub fn take(&mut self, now: Millis, window: Millis, share: f64, reserve: f64) -> bool {
        self.slice(now, window);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let resends: u32 = self.slices.iter().map(|slice| slice.resends).sum();
        let limit = f64::from(requests) * share + reserve;
        let has = f64::from(resends + 1) <= limit;
        if has {
            self.slice(now, window).resends += 1;
        }
        has
    }

    /// Returns the slice of now, and forgets those outside the window.
    fn slice(&mut self, now: Millis, window: Millis) -> &mut WindowSlice {
        let length = (window.0 / Self::SLICES).max(1);
        let start = Millis(now.0 / length * length);
        while self.slices.front().is_some_and(|slice| now.since(slice.start) >= window) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.start != start) {
            self.slices.push_back(WindowSlice { start, requests: 0, resends: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
