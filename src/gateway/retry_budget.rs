use super::*;

/// The budget for retries of a pool's requests, over a sliding window.
///
/// The operators' limit applies to the sum over all entry VMs. Each VM spends at most the permitted
/// share of the requests that it has seen itself, plus its part of the retries that the limit
/// permits regardless of the number of requests (the reserve).
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    slices: VecDeque<WindowSlice>,
}

#[derive(Clone, Copy, Debug)]
struct WindowSlice {
    start: Millis,
    requests: u32,
    resends: u32,
}

impl RetryBudget {
    /// The number of slices in a window; whole slices expire.
    const SLICES: u64 = 20;
    /// The largest reserve of one VM.
    const MAX_RESERVE: f64 = 2.0;
    /// The fraction of the total reserve that all VMs together use.
    const USED_RESERVE: f64 = 0.9;
    /// The assumed ratio of existing VMs to known ones: some are not listed yet, have just been
    /// added, or are cut off and still spend their part.
    const VM_COUNT_MARGIN: f64 = 1.25;

    /// Returns one VM's part of the `extra` retries that all VMs together may spend regardless of
    /// their requests, if `vms` are known. Zero if `vms` is, which means that this VM has not heard
    /// of the VMs of another data centre yet.
    #[must_use]
    pub fn reserve(extra: u32, vms: u32) -> f64 {
        if vms == 0 {
            return 0.0;
        }
        let all = f64::from(extra) * Self::USED_RESERVE;
        (all / (f64::from(vms) * Self::VM_COUNT_MARGIN)).min(Self::MAX_RESERVE)
    }

    /// Counts a request, which adds to the budget.
    pub fn record_request(&mut self, now: Millis, window: Millis) {
        self.slice(now, window).requests += 1;
    }

    /// Spends one retry if the share of the window's requests or the reserve permits it, and
    /// `leaves`, a share of what they permit, is left for others; returns whether it did.
    pub fn try_spend(
        &mut self,
        now: Millis,
        window: Millis,
        share: f64,
        reserve: f64,
        leaves: f64,
    ) -> bool {
        self.slice(now, window);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let resends: u32 = self.slices.iter().map(|slice| slice.resends).sum();
        let limit = f64::from(requests) * share + reserve;
        let is_permitted = f64::from(resends + 1) <= limit * (1.0 - leaves);
        if is_permitted {
            self.slice(now, window).resends += 1;
        }
        is_permitted
    }

    /// Removes the slices outside the window and returns the current one.
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
