//! The prefix cache of a stand-in engine.

use super::*;

/// Remembers the prefixes of prompts, block by block, least recently used out first.
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

    /// Takes in a prompt and returns how many of its bytes were in the cache.
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

    /// Returns the share of its memory that is free.
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
