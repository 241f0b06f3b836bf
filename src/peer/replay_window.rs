/// A sliding window that rejects sequence numbers that were seen before, or are too old to tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    seen: u128,
}

impl ReplayWindow {
    const WIDTH: u64 = 128;

    /// Records a sequence number and returns whether it is new. Sequence numbers start at 1.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift >= Self::WIDTH { 0 } else { self.seen << shift };
            self.seen |= 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if sequence == 0 || age >= Self::WIDTH || self.seen >> age & 1 == 1 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }
}
