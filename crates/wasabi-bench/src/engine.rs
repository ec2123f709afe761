//! A simulated language-model engine with continuous batching, in virtual time.

use std::collections::{HashMap, VecDeque};

use wasabi_protocol::endpoint::{Announcement, Kind, Load};

/// Duration of an iteration with an empty batch, in microseconds.
const ITERATION_BASE_US: f64 = 12_000.0;

/// Time that each request in the batch adds to an iteration, in microseconds.
const PER_REQUEST_US: f64 = 600.0;

/// Time that each prompt token adds to an iteration, in microseconds.
const PER_PROMPT_TOKEN_US: f64 = 100.0;

/// Maximum number of prompt tokens prefilled in one iteration.
const PREFILL_CHUNK_TOKENS: u32 = 512;

/// Prompt tokens per prefix block.
pub const BLOCK_TOKENS: u32 = 64;

/// Capacity of the prefix cache, in blocks.
const CACHE_BLOCKS: usize = 3_000;

/// Maximum batch size. Further requests wait in the engine's queue, in order of arrival.
pub const BATCH_MAX: usize = 16;

/// A request in the engine.
#[derive(Debug, Clone)]
pub struct Sequence {
    /// Id of the attempt.
    pub attempt: u128,
    /// Prompt tokens.
    pub prompt: u32,
    /// Output tokens to produce.
    pub output: u32,
    /// Hashes of the leading prompt blocks.
    pub prefix: Vec<u64>,
    /// Prompt tokens still to be prefilled; `None` until the request joins the batch.
    prefill_remaining: Option<u32>,
    /// Prompt tokens prefilled so far.
    pub prefilled: u32,
    produced: u32,
}

impl Sequence {
    /// Creates a request that has not been admitted.
    pub fn new(attempt: u128, prompt: u32, output: u32, prefix: Vec<u64>) -> Self {
        Self { attempt, prompt, output, prefix, prefill_remaining: None, prefilled: 0, produced: 0 }
    }
}

/// Output of an iteration.
#[derive(Debug, Default)]
pub struct Produced {
    /// Attempts that produced a token.
    pub tokens: Vec<u128>,
    /// Requests that completed.
    pub done: Vec<Sequence>,
}

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    /// Speed relative to the fastest hardware generation.
    pub speed: f64,
    /// Current slowdown factor.
    pub slowdown: f64,
    /// Time until which the engine makes no progress, in microseconds.
    pub frozen_until: u64,
    /// Incarnation number, incremented by each restart.
    pub incarnation: u64,
    /// Prompt tokens prefilled by all incarnations.
    pub prefill_tokens: u64,
    batch: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    cache: Lru,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(speed: f64) -> Self {
        Self {
            speed,
            slowdown: 1.0,
            frozen_until: 0,
            incarnation: 1,
            prefill_tokens: 0,
            batch: Vec::new(),
            waiting: VecDeque::new(),
            cache: Lru::default(),
        }
    }

    /// Queues a request. The queue is unbounded.
    pub fn admit(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    /// Returns the number of batched and of queued requests.
    pub fn load(&self) -> (u32, u32) {
        (self.batch.len() as u32, self.waiting.len() as u32)
    }

    /// Returns whether no request is batched or queued.
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

    /// Simulates a crash and restart of the process, and returns the lost requests.
    pub fn crash(&mut self) -> Vec<Sequence> {
        self.cache = Lru::default();
        self.incarnation += 1;
        self.batch.drain(..).chain(self.waiting.drain(..)).collect()
    }

    /// Runs one iteration and returns its duration in microseconds and its output.
    pub fn iterate(&mut self) -> (u64, Produced) {
        while self.batch.len() < BATCH_MAX
            && let Some(mut next) = self.waiting.pop_front()
        {
            let cached =
                next.prefix.iter().take_while(|block| self.cache.contains(**block)).count();
            let cached = (cached as u32 * BLOCK_TOKENS).min(next.prompt.saturating_sub(1));
            next.prefill_remaining = Some(next.prompt - cached);
            self.batch.push(next);
        }
        let mut prefill_budget = PREFILL_CHUNK_TOKENS;
        let mut out = Produced::default();
        let size = self.batch.len();
        for sequence in &mut self.batch {
            let prefill_remaining = sequence.prefill_remaining.unwrap_or(0);
            let step = prefill_remaining.min(prefill_budget);
            prefill_budget -= step;
            sequence.prefill_remaining = Some(prefill_remaining - step);
            sequence.prefilled += step;
            self.prefill_tokens += u64::from(step);
            if step < prefill_remaining {
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
        let prefilled = f64::from(PREFILL_CHUNK_TOKENS - prefill_budget);
        let duration_us =
            ITERATION_BASE_US + PER_REQUEST_US * size as f64 + PER_PROMPT_TOKEN_US * prefilled;
        ((duration_us * self.slowdown / self.speed) as u64, out)
    }
}

/// A cache of prefix blocks with least-recently-used eviction.
#[derive(Debug, Default)]
struct Lru {
    used: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    clock: u64,
}

impl Lru {
    fn contains(&self, block: u64) -> bool {
        self.used.contains_key(&block)
    }

    fn store(&mut self, prefix: &[u64]) {
        // The last blocks of a prefix are evicted first, as the fewest prompts share them.
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
