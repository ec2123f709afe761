//! What an endpoint has in its prefix cache, by the owner's own knowledge.
//!
//! The owner knows which prompts it sent to which endpoint. Cache events of endpoints come late
//! and with gaps, so they add to that knowledge and correct it only where they cannot be older
//! than it.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, Hasher},
};

use wasabi_protocol::clock::Millis;

/// Prefix blocks that are remembered for one endpoint by default.
///
/// At 256 bytes a block this covers 1 MiB of prompt text, more than small engines cache.
pub const BLOCKS_DEFAULT: usize = 4_096;

/// Time after which a block that was not used again counts as evicted.
pub const KEPT_FOR: Millis = Millis::from_secs(600);

/// Longest delay of a cache event. An eviction that arrives sooner after a send of the block may
/// describe the time before the send and is ignored.
pub const EVENT_LAG_MAX: Millis = Millis(2_000);

/// A cache event of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event<'a> {
    /// The endpoint stored these blocks.
    Stored(&'a [u64]),
    /// The endpoint evicted these blocks.
    Evicted(&'a [u64]),
    /// Events were lost.
    Gap,
    /// The endpoint dropped everything.
    Cleared,
}

/// The prefix blocks that one endpoint is believed to hold.
///
/// Two generations bound the memory: new and used blocks go to the young one; when it is full,
/// it replaces the old one. This forgets the blocks that were not used for longest.
#[derive(Debug, Clone)]
pub struct Cache {
    young: Blocks,
    old: Blocks,
    generation_max: usize,
}

type Blocks = HashMap<u64, Mark, BuildHasherDefault<Identity>>;

#[derive(Debug, Clone, Copy)]
struct Mark {
    used: Millis,
    source: Source,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Sent,
    Event,
}

impl Default for Cache {
    fn default() -> Self {
        Self::new(BLOCKS_DEFAULT)
    }
}

impl Cache {
    /// Returns an empty cache that remembers at most about `blocks_max` blocks.
    pub fn new(blocks_max: usize) -> Self {
        Self {
            young: Blocks::default(),
            old: Blocks::default(),
            generation_max: (blocks_max / 2).max(1),
        }
    }

    /// Returns how many leading blocks of a prompt the endpoint is believed to hold.
    ///
    /// A send stores all blocks of a prefix together, so a known block implies that the ones
    /// before it are known, and the length is found by binary search.
    pub fn cached_blocks(&self, now: Millis, prefix: &[u64]) -> usize {
        prefix.partition_point(|&block| self.holds(now, block))
    }

    /// Returns how many prompt tokens the endpoint is believed to hold, by the part of the blocks
    /// that it holds.
    ///
    /// Blocks cover only the leading part of a long prompt, so the tokens are counted with
    /// `tokens_per_block`.
    pub fn cached_tokens(&self, now: Millis, prefix: &[u64], tokens_per_block: u32) -> u32 {
        let blocks = u32::try_from(self.cached_blocks(now, prefix)).unwrap_or(u32::MAX);
        blocks.saturating_mul(tokens_per_block)
    }

    /// Notes that a prompt with this prefix was sent to the endpoint.
    pub fn sent(&mut self, now: Millis, prefix: &[u64]) {
        self.store(prefix, Mark { used: now, source: Source::Sent });
    }

    /// Notes that a prompt sent at `sent_at` was never prefilled, because the endpoint was not
    /// reached or failed before the first token.
    ///
    /// Blocks that were sent again since then stay.
    pub fn unsent(&mut self, sent_at: Millis, prefix: &[u64]) {
        for block in prefix {
            for blocks in [&mut self.young, &mut self.old] {
                if blocks.get(block).is_some_and(|mark| mark.used <= sent_at) {
                    blocks.remove(block);
                }
            }
        }
    }

    /// Takes a cache event of the endpoint into account.
    pub fn learn(&mut self, now: Millis, event: Event<'_>) {
        match event {
            Event::Stored(blocks) => {
                let unknown = blocks
                    .iter()
                    .copied()
                    .filter(|&block| !self.holds(now, block))
                    .collect::<Vec<_>>();
                self.store(&unknown, Mark { used: now, source: Source::Event });
            }
            Event::Evicted(blocks) => {
                for block in blocks {
                    self.evict(now, *block);
                }
            }
            // The lost events may hold evictions of what is known by events alone.
            Event::Gap => {
                self.young.retain(|_, mark| mark.source == Source::Sent);
                self.old.retain(|_, mark| mark.source == Source::Sent);
            }
            Event::Cleared => {
                self.young.retain(|_, mark| now.since(mark.used) < EVENT_LAG_MAX);
                self.old.retain(|_, mark| now.since(mark.used) < EVENT_LAG_MAX);
            }
        }
    }

    /// Forgets everything, because the endpoint restarted.
    pub fn clear(&mut self) {
        *self = Self::new(self.generation_max * 2);
    }

    /// Returns how many blocks are remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether no block is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn holds(&self, now: Millis, block: u64) -> bool {
        self.young
            .get(&block)
            .or_else(|| self.old.get(&block))
            .is_some_and(|mark| now.since(mark.used) < KEPT_FOR)
    }

    /// Stores blocks of one prefix in one generation, so that no prefix is cut by a rotation.
    fn store(&mut self, prefix: &[u64], mark: Mark) {
        if self.generation_max < self.young.len() + prefix.len() {
            self.old = std::mem::take(&mut self.young);
        }
        for block in prefix.iter().take(self.generation_max) {
            self.old.remove(block);
            self.young.insert(*block, mark);
        }
    }

    fn evict(&mut self, now: Millis, block: u64) {
        for blocks in [&mut self.young, &mut self.old] {
            let is_older = blocks.get(&block).is_some_and(|mark| {
                mark.source == Source::Event || EVENT_LAG_MAX <= now.since(mark.used)
            });
            if is_older {
                blocks.remove(&block);
            }
        }
    }
}

/// Uses a block's hash as its own hash; block hashes are already well mixed.
#[derive(Debug, Clone, Copy, Default)]
struct Identity(u64);

impl Hasher for Identity {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, value: u64) {
        self.0 = value;
    }
}
