//! The pool owner's estimate of each endpoint's prefix cache.
//!
//! The owner knows which prompts it sent to which endpoint. Cache events from endpoints arrive late
//! and with gaps, so they extend this knowledge and correct it only where they must be newer.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, Hasher},
};

use wasabi_protocol::clock::Millis;

/// Default number of prefix blocks that are tracked for one endpoint.
///
/// At 256 bytes a block this covers 1 MiB of prompt text, more than small engines cache.
pub const BLOCKS_DEFAULT: usize = 4_096;

/// Time after which a block that was not used again counts as evicted.
pub const BLOCK_TTL: Millis = Millis::from_secs(600);

/// Maximum delay of a cache event. An eviction that arrives within this time after the block was
/// sent may have happened before the send and is ignored.
pub const EVENT_LAG_MAX: Millis = Millis(2_000);

/// A cache event of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event<'a> {
    /// The endpoint stored these blocks.
    Stored(&'a [u64]),
    /// The endpoint evicted these blocks.
    Evicted(&'a [u64]),
    /// Some events were lost.
    Gap,
    /// The endpoint cleared its cache.
    Cleared,
}

/// The prefix blocks that one endpoint is expected to have in its cache.
///
/// Two generations bound the memory and approximate LRU eviction: new and reused blocks go to the
/// young generation, which replaces the old one when it is full.
#[derive(Debug, Clone)]
pub struct Cache {
    young: Blocks,
    old: Blocks,
    generation_blocks_max: usize,
}

/// Blocks by half of their hash. A collision is rare (4,096 in 2^32) and only makes an estimate
/// wrong, while the small table keeps the lookups of a pool in the CPU cache.
type Blocks = HashMap<u32, BlockUse, BuildHasherDefault<IdentityHasher>>;

/// Time and source of the last use of a block, packed into four bytes.
///
/// Times are in milliseconds modulo 2^31 (24 days); blocks expire long before that.
#[derive(Debug, Clone, Copy)]
struct BlockUse(u32);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Sent,
    Event,
}

impl BlockUse {
    const EVENT: u32 = 1 << 31;

    fn new(now: Millis, source: Source) -> Self {
        let time = now.0 as u32 & !Self::EVENT;
        Self(if source == Source::Event { time | Self::EVENT } else { time })
    }

    fn source(self) -> Source {
        if self.0 & Self::EVENT == 0 { Source::Sent } else { Source::Event }
    }

    fn age(self, now: Millis) -> Millis {
        Millis(u64::from((now.0 as u32).wrapping_sub(self.0) & !Self::EVENT))
    }

    fn is_after(self, time: Millis) -> bool {
        let later = self.0.wrapping_sub(time.0 as u32) & !Self::EVENT;
        0 < later && later < Self::EVENT / 2
    }
}

impl Default for Cache {
    fn default() -> Self {
        Self::new(BLOCKS_DEFAULT)
    }
}

impl Cache {
    /// Returns an empty cache that tracks about `blocks_max` blocks at most.
    pub fn new(blocks_max: usize) -> Self {
        Self {
            young: Blocks::default(),
            old: Blocks::default(),
            generation_blocks_max: (blocks_max / 2).max(1),
        }
    }

    /// Returns how many leading blocks of a prompt are expected to be cached.
    ///
    /// A send stores all blocks of a prefix together, so a cached block implies that the blocks
    /// before it are cached, and a binary search finds the length.
    pub fn cached_blocks(&self, now: Millis, prefix: &[u64]) -> usize {
        // Most endpoints have no block of a prompt, which the first lookup shows.
        if !prefix.first().is_some_and(|&block| self.is_cached(now, block)) {
            return 0;
        }
        prefix.partition_point(|&block| self.is_cached(now, block))
    }

    /// Returns how many prompt tokens are expected to be cached, from the number of cached blocks.
    ///
    /// Blocks cover only the leading part of a long prompt, so tokens are counted by
    /// `tokens_per_block`.
    pub fn cached_tokens(&self, now: Millis, prefix: &[u64], tokens_per_block: u32) -> u32 {
        let blocks = u32::try_from(self.cached_blocks(now, prefix)).unwrap_or(u32::MAX);
        blocks.saturating_mul(tokens_per_block)
    }

    /// Records that a prompt with this prefix was sent to the endpoint.
    pub fn record_sent(&mut self, now: Millis, prefix: &[u64]) {
        self.store(prefix, BlockUse::new(now, Source::Sent));
    }

    /// Removes the blocks of a prompt sent at `sent_at` that was never prefilled, because the
    /// endpoint was unreachable or failed before the first token.
    ///
    /// Blocks that were sent again since then are kept.
    pub fn undo_sent(&mut self, sent_at: Millis, prefix: &[u64]) {
        for block in prefix {
            for blocks in [&mut self.young, &mut self.old] {
                if blocks.get(&key(*block)).is_some_and(|block_use| !block_use.is_after(sent_at)) {
                    blocks.remove(&key(*block));
                }
            }
        }
    }

    /// Applies a cache event from the endpoint.
    pub fn apply_event(&mut self, now: Millis, event: Event<'_>) {
        match event {
            Event::Stored(blocks) => {
                let unknown = blocks
                    .iter()
                    .copied()
                    .filter(|&block| !self.is_cached(now, block))
                    .collect::<Vec<_>>();
                self.store(&unknown, BlockUse::new(now, Source::Event));
            }
            Event::Evicted(blocks) => {
                for block in blocks {
                    self.evict(now, *block);
                }
            }
            // The lost events may include evictions of blocks that are known from events only.
            Event::Gap => {
                self.young.retain(|_, block_use| block_use.source() == Source::Sent);
                self.old.retain(|_, block_use| block_use.source() == Source::Sent);
            }
            Event::Cleared => {
                self.young.retain(|_, block_use| block_use.age(now) < EVENT_LAG_MAX);
                self.old.retain(|_, block_use| block_use.age(now) < EVENT_LAG_MAX);
            }
        }
    }

    /// Removes all blocks, because the endpoint restarted.
    pub fn clear(&mut self) {
        *self = Self::new(self.generation_blocks_max * 2);
    }

    /// Returns the number of tracked blocks.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether no blocks are tracked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn is_cached(&self, now: Millis, block: u64) -> bool {
        self.young
            .get(&key(block))
            .or_else(|| self.old.get(&key(block)))
            .is_some_and(|block_use| block_use.age(now) < BLOCK_TTL)
    }

    /// Stores the blocks of a prefix in one generation, so that a rotation does not split a prefix.
    fn store(&mut self, prefix: &[u64], block_use: BlockUse) {
        if self.generation_blocks_max < self.young.len() + prefix.len() {
            self.old = std::mem::take(&mut self.young);
        }
        for block in prefix.iter().take(self.generation_blocks_max) {
            self.old.remove(&key(*block));
            self.young.insert(key(*block), block_use);
        }
    }

    fn evict(&mut self, now: Millis, block: u64) {
        for blocks in [&mut self.young, &mut self.old] {
            let is_older = blocks.get(&key(block)).is_some_and(|block_use| {
                block_use.source() == Source::Event || EVENT_LAG_MAX <= block_use.age(now)
            });
            if is_older {
                blocks.remove(&key(block));
            }
        }
    }
}

fn key(block: u64) -> u32 {
    block as u32
}

/// A hasher that returns the block hash itself, which is already well mixed.
#[derive(Debug, Clone, Copy, Default)]
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u32(&mut self, value: u32) {
        // The hash table uses the high and the low bits of the hash.
        self.0 = u64::from(value) << 32 | u64::from(value);
    }
}
