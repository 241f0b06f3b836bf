use super::*;

/// A budget of second sends of a pool's requests, over a sliding window.
///
/// The bound holds for the sum over all entry VMs. Each keeps to the share of what it has seen
/// itself, so that no VM has to know how many others there are.
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
    /// The second sends of one VM that need no requests; the bound has about as many for each VM.
    const RESERVE: f64 = 2.0;

    /// Counts a request.
    pub fn earn(&mut self, now: Millis, window: Millis) {
        self.slice(now, window).requests += 1;
    }

    /// Takes one second send if the window has it.
    pub fn take(&mut self, now: Millis, window: Millis, share: f64) -> bool {
        self.slice(now, window);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let resends: u32 = self.slices.iter().map(|slice| slice.resends).sum();
        let limit = f64::from(requests) * share + Self::RESERVE;
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
