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
pub const BLOCK_TTL: Millis = Millis::from_secs(600);

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

/// Blocks by half of their hash. A false match is rare (4,096 in 2^32) and costs only a wrong
/// estimate, while a small table keeps the look-ups of a pool in the processor's cache.
type Blocks = HashMap<u32, Mark, BuildHasherDefault<Identity>>;

/// When a block was last used and how that is known, in four bytes.
///
/// Times are in milliseconds modulo 2^31 (24 days); blocks are forgotten long before that.
#[derive(Debug, Clone, Copy)]
struct Mark(u32);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Sent,
    Event,
}

impl Mark {
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
        // Most endpoints hold no block of a prompt, and one look-up shows that.
        if !prefix.first().is_some_and(|&block| self.holds(now, block)) {
            return 0;
        }
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
    pub fn record_sent(&mut self, now: Millis, prefix: &[u64]) {
        self.store(prefix, Mark::new(now, Source::Sent));
    }

    /// Notes that a prompt sent at `sent_at` was never prefilled, because the endpoint was not
    /// reached or failed before the first token.
    ///
    /// Blocks that were sent again since then stay.
    pub fn undo_sent(&mut self, sent_at: Millis, prefix: &[u64]) {
        for block in prefix {
            for blocks in [&mut self.young, &mut self.old] {
                if blocks.get(&key(*block)).is_some_and(|mark| !mark.is_after(sent_at)) {
                    blocks.remove(&key(*block));
                }
            }
        }
    }

    /// Takes a cache event of the endpoint into account.
    pub fn apply_event(&mut self, now: Millis, event: Event<'_>) {
        match event {
            Event::Stored(blocks) => {
                let unknown = blocks
                    .iter()
                    .copied()
                    .filter(|&block| !self.holds(now, block))
                    .collect::<Vec<_>>();
                self.store(&unknown, Mark::new(now, Source::Event));
            }
            Event::Evicted(blocks) => {
                for block in blocks {
                    self.evict(now, *block);
                }
            }
            // The lost events may hold evictions of what is known by events alone.
            Event::Gap => {
                self.young.retain(|_, mark| mark.source() == Source::Sent);
                self.old.retain(|_, mark| mark.source() == Source::Sent);
            }
            Event::Cleared => {
                self.young.retain(|_, mark| mark.age(now) < EVENT_LAG_MAX);
                self.old.retain(|_, mark| mark.age(now) < EVENT_LAG_MAX);
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
            .get(&key(block))
            .or_else(|| self.old.get(&key(block)))
            .is_some_and(|mark| mark.age(now) < BLOCK_TTL)
    }

    /// Stores blocks of one prefix in one generation, so that no prefix is cut by a rotation.
    fn store(&mut self, prefix: &[u64], mark: Mark) {
        if self.generation_max < self.young.len() + prefix.len() {
            self.old = std::mem::take(&mut self.young);
        }
        for block in prefix.iter().take(self.generation_max) {
            self.old.remove(&key(*block));
            self.young.insert(key(*block), mark);
        }
    }

    fn evict(&mut self, now: Millis, block: u64) {
        for blocks in [&mut self.young, &mut self.old] {
            let is_older = blocks.get(&key(block)).is_some_and(|mark| {
                mark.source() == Source::Event || EVENT_LAG_MAX <= mark.age(now)
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

    fn write_u32(&mut self, value: u32) {
        // The table uses both ends of the hash.
        self.0 = u64::from(value) << 32 | u64::from(value);
    }
}
