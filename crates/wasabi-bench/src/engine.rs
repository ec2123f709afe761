//! A small fake of a language-model engine with continuous batching, in virtual time.

use std::collections::{HashMap, VecDeque};

use wasabi_protocol::endpoint::{Announcement, Kind, Load};

/// Time of an iteration without requests, in microseconds.
const BASE_US: f64 = 12_000.0;

/// Time that each request in the batch adds to an iteration, in microseconds.
const PER_REQUEST_US: f64 = 600.0;

/// Time that each prompt token adds to an iteration, in microseconds.
const PER_PROMPT_TOKEN_US: f64 = 100.0;

/// Most prompt tokens that one iteration reads.
const CHUNK_TOKENS: u32 = 512;

/// Prompt tokens of one prefix block.
pub const BLOCK_TOKENS: u32 = 64;

/// Prefix blocks that the cache holds.
const CACHE_BLOCKS: usize = 3_000;

/// Requests that the engine batches; the others wait inside the engine, first come first served.
pub const BATCH_MAX: usize = 16;

/// One request inside the engine.
#[derive(Debug, Clone)]
pub struct Sequence {
    /// The attempt.
    pub attempt: u128,
    /// Prompt tokens.
    pub prompt: u32,
    /// Output tokens that it will produce.
    pub output: u32,
    /// Hashes of the leading prompt blocks.
    pub prefix: Vec<u64>,
    /// Prompt tokens that are still to be read; `None` before the request joined the batch.
    unread: Option<u32>,
    /// Prompt tokens read so far.
    pub read: u32,
    produced: u32,
}

impl Sequence {
    /// Returns a request that the engine has not seen yet.
    pub fn new(attempt: u128, prompt: u32, output: u32, prefix: Vec<u64>) -> Self {
        Self { attempt, prompt, output, prefix, unread: None, read: 0, produced: 0 }
    }
}

/// What an iteration produced.
#[derive(Debug, Default)]
pub struct Produced {
    /// Attempts that got one more token.
    pub tokens: Vec<u128>,
    /// Attempts that ended with it.
    pub done: Vec<Sequence>,
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    /// Speed relative to the fastest hardware generation.
    pub speed: f64,
    /// Factor by which it is slowed down at present.
    pub slow: f64,
    /// Until when it makes no progress, in microseconds.
    pub frozen_until: u64,
    /// The number of its process.
    pub incarnation: u64,
    /// Prompt tokens read by all processes.
    pub read_tokens: u64,
    batch: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    cache: Lru,
}

impl Engine {
    /// Returns an idle engine.
    pub fn new(speed: f64) -> Self {
        Self {
            speed,
            slow: 1.0,
            frozen_until: 0,
            incarnation: 1,
            read_tokens: 0,
            batch: Vec::new(),
            waiting: VecDeque::new(),
            cache: Lru::default(),
        }
    }

    /// Admits a request, however many there are.
    pub fn admit(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    /// Returns requests in the batch and waiting.
    pub fn load(&self) -> (u32, u32) {
        (self.batch.len() as u32, self.waiting.len() as u32)
    }

    /// Returns whether it has nothing to do.
    pub fn is_idle(&self) -> bool {
        self.batch.is_empty() && self.waiting.is_empty()
    }

    /// Removes a request and returns it.
    pub fn cancel(&mut self, attempt: u128) -> Option<Sequence> {
        if let Some(index) = self.batch.iter().position(|other| other.attempt == attempt) {
            return Some(self.batch.swap_remove(index));
        }
        let index = self.waiting.iter().position(|other| other.attempt == attempt)?;
        self.waiting.remove(index)
    }

    /// Ends the process; returns the requests that were lost.
    pub fn crash(&mut self) -> Vec<Sequence> {
        self.cache = Lru::default();
        self.incarnation += 1;
        self.batch.drain(..).chain(self.waiting.drain(..)).collect()
    }

    /// Runs one iteration; returns its length in microseconds and what it produced at its end.
    pub fn iterate(&mut self) -> (u64, Produced) {
        while self.batch.len() < BATCH_MAX
            && let Some(mut next) = self.waiting.pop_front()
        {
            let cached = next.prefix.iter().take_while(|block| self.cache.holds(**block)).count();
            let cached = (cached as u32 * BLOCK_TOKENS).min(next.prompt.saturating_sub(1));
            next.unread = Some(next.prompt - cached);
            self.batch.push(next);
        }
        let mut budget = CHUNK_TOKENS;
        let mut out = Produced::default();
        let size = self.batch.len();
        for sequence in &mut self.batch {
            let unread = sequence.unread.unwrap_or(0);
            let step = unread.min(budget);
            budget -= step;
            sequence.unread = Some(unread - step);
            sequence.read += step;
            self.read_tokens += u64::from(step);
            if step < unread {
                continue;
            }
            if sequence.produced == 0 {
                self.cache.store(&sequence.prefix);
            }
            sequence.produced += 1;
            out.tokens.push(sequence.attempt);
        }
        for sequence in self.batch.extract_if(.., |sequence| sequence.output <= sequence.produced) {
            out.done.push(sequence);
        }
        let read = f64::from(CHUNK_TOKENS - budget);
        let span = BASE_US + PER_REQUEST_US * size as f64 + PER_PROMPT_TOKEN_US * read;
        ((span * self.slow / self.speed) as u64, out)
    }
}

/// Prefix blocks, the least recently used dropped first.
#[derive(Debug, Default)]
struct Lru {
    used: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    clock: u64,
}

impl Lru {
    fn holds(&self, block: u64) -> bool {
        self.used.contains_key(&block)
    }

    fn store(&mut self, prefix: &[u64]) {
        // The last blocks of a prefix are dropped first, as they serve the fewest prompts.
        for block in prefix.iter().rev() {
            self.clock += 1;
            self.used.insert(*block, self.clock);
            self.order.push_back((*block, self.clock));
        }
        while CACHE_BLOCKS < self.used.len()
            && let Some((block, at)) = self.order.pop_front()
        {
            if self.used.get(&block) == Some(&at) {
                self.used.remove(&block);
            }
        }
    }
}

/// Returns the name of an engine.
pub fn name(engine: usize) -> String {
    format!("engine{engine:02}")
}

/// Returns the announcement of an engine.
pub fn announcement(index: usize, incarnation: u64, speed: f64, load: Load) -> Announcement {
    Announcement {
        name: name(index).as_str().into(),
        incarnation,
        address: format!("10.0.0.{index}:8000"),
        data_centre: "dc1".into(),
        kind: Kind::Model,
        backend: "chat".into(),
        version: "v1".into(),
        adapters: Vec::new(),
        hardware: format!("h{speed}"),
        concurrency: BATCH_MAX as u32,
        abilities: Default::default(),
        load,
    }
}
