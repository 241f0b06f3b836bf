//! The prefix cache of a fake engine.

use super::*;

/// An LRU cache of prompt prefixes in blocks. The key of a block is the hash of the prompt up to the
/// block's end; its value is the time of its last use, as a counter.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    uses: u64,
    blocks: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) const BLOCK_BYTES: usize = 64;

    pub(super) const fn new(capacity: usize) -> Self {
        Self { capacity, uses: 0, blocks: BTreeMap::new() }
    }

    /// Adds a prompt to the cache and returns how many bytes of its prefix were cached before.
    pub(super) fn admit(&mut self, prompt: &[u8]) -> usize {
        let mut prefix = 0;
        let mut cached_bytes = 0;
        let mut hit = true;
        for block in prompt.chunks_exact(Self::BLOCK_BYTES) {
            prefix = xxhash_rust::xxh3::xxh3_64_with_seed(block, prefix);
            self.uses += 1;
            hit &= self.blocks.insert(prefix, self.uses).is_some();
            cached_bytes += if hit { Self::BLOCK_BYTES } else { 0 };
        }
        self.evict();
        cached_bytes
    }

    /// Returns the share of the capacity that is free, from 0 to 1.
    pub(super) fn free_share(&self) -> f64 {
        1.0 - self.blocks.len() as f64 / self.capacity.max(1) as f64
    }

    pub(super) fn clear(&mut self) {
        self.blocks.clear();
    }

    fn evict(&mut self) {
        if self.blocks.len() <= self.capacity {
            return;
        }
        let mut ages: Vec<_> = self.blocks.values().copied().collect();
        ages.sort_unstable();
        let oldest_kept = ages[ages.len() - self.capacity];
        self.blocks.retain(|_, used| *used >= oldest_kept);
    }
}
