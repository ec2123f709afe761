//! Requests of the two users: organisations of different size, five tiers, lengths that differ a
//! hundredfold.

use fastrand::Rng;
use wasabi_protocol::{clock::Millis, contract::Tier, fingerprint, id, request::Request};

use crate::engine::{BATCH_MAX, BLOCK_TOKENS, Engine, Sequence};

/// Requests of each organisation, as a part of all. A few are large.
const VOLUME: [f64; 5] = [0.45, 0.30, 0.15, 0.07, 0.03];

/// Shares of the organisations in their contracts.
const SHARES: [u32; 5] = [4, 3, 2, 1, 1];

/// Shared prompt beginnings of each organisation and tier.
const BEGINNINGS: u64 = 6;

/// Part of the requests whose calls may not be repeated, in tiers 1 and 2.
const RUNS_ONCE: f64 = 0.1;

/// A deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum User {
    /// 20 model replicas, mostly short queries.
    Kozani,
    /// 12 model replicas, many long summaries with a common beginning.
    Amman,
}

/// What the requests of one tier look like.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// Part of all requests.
    pub part: f64,
    /// Shortest and longest prompt, in tokens.
    pub prompt: (u32, u32),
    /// Shortest and longest output, in tokens.
    pub output: (u32, u32),
    /// Part of the prompt that is a common beginning.
    pub common: f64,
    /// Target for the first token.
    pub first_token: Millis,
    /// Target for the mean time between tokens.
    pub between_tokens: Millis,
    /// Time after which the answer is of no use.
    pub deadline: Millis,
}

const fn profile(
    part: f64,
    prompt: (u32, u32),
    output: (u32, u32),
    common: f64,
    times: [u64; 3],
) -> Profile {
    Profile {
        part,
        prompt,
        output,
        common,
        first_token: Millis(times[0]),
        between_tokens: Millis(times[1]),
        deadline: Millis(times[2]),
    }
}

const KOZANI: [Profile; 5] = [
    profile(0.20, (100, 1_000), (10, 200), 0.5, [1_000, 80, 20_000]),
    profile(0.25, (100, 2_000), (10, 300), 0.5, [2_000, 100, 30_000]),
    profile(0.25, (100, 4_000), (20, 400), 0.4, [4_000, 120, 60_000]),
    profile(0.20, (200, 4_000), (50, 600), 0.4, [10_000, 200, 90_000]),
    profile(0.10, (1_000, 10_000), (100, 1_000), 0.3, [30_000, 400, 150_000]),
];

const AMMAN: [Profile; 5] = [
    profile(0.20, (100, 1_000), (10, 200), 0.5, [1_500, 80, 20_000]),
    profile(0.20, (100, 2_000), (10, 300), 0.5, [2_000, 100, 30_000]),
    profile(0.20, (100, 2_000), (20, 400), 0.5, [4_000, 120, 60_000]),
    profile(0.15, (200, 4_000), (50, 600), 0.5, [10_000, 200, 90_000]),
    profile(0.25, (2_000, 10_000), (200, 1_000), 0.7, [30_000, 400, 150_000]),
];

impl User {
    /// Returns the speeds of the model replicas, which are of three hardware generations.
    pub fn speeds(self) -> Vec<f64> {
        let count = match self {
            Self::Kozani => 20,
            Self::Amman => 12,
        };
        (0..count).map(|index| [1.0, 1.0, 0.8, 0.6][index % 4]).collect()
    }

    /// Returns the profiles of the tiers.
    pub fn profiles(self) -> &'static [Profile; 5] {
        match self {
            Self::Kozani => &KOZANI,
            Self::Amman => &AMMAN,
        }
    }

    /// Returns the name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Kozani => "kozani",
            Self::Amman => "amman",
        }
    }
}

/// One request and the output that its endpoint will produce.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request, as it arrived.
    pub request: Request,
    /// When it arrived, in microseconds.
    pub arrived: u64,
    /// Output tokens that it will get.
    pub output: u32,
    /// It crashes each endpoint that produces its first token.
    pub poison: bool,
}

/// Returns one request of the user's mix.
pub fn job(rng: &mut Rng, user: User, number: u64, arrived: u64) -> Job {
    let tier = pick(rng, user.profiles().iter().map(|profile| profile.part));
    let organisation = pick(rng, VOLUME.into_iter());
    let profile = &user.profiles()[tier];
    let prompt = between(rng, profile.prompt);
    let output = between(rng, profile.output);
    let common = (f64::from(prompt) * profile.common) as u32 / BLOCK_TOKENS;
    let beginning = rng.u64(..BEGINNINGS) + BEGINNINGS * (tier as u64 + 5 * organisation as u64);
    let blocks = (prompt / BLOCK_TOKENS).min(fingerprint::PREFIX_BLOCKS_MAX as u32);
    let prefix = (0..blocks).map(|block| {
        let owner = if block < common { beginning } else { 1_000_000 + number };
        (owner + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15)
            ^ u64::from(block).wrapping_mul(0xC2B2_AE3D_27D4_EB4F)
    });
    let runs_once = (tier == 1 || tier == 2) && rng.f64() < RUNS_ONCE;
    let request = Request {
        attempt: id::Attempt(0),
        organisation: format!("org{organisation}").into(),
        route: format!("route{tier}").into(),
        backend: "chat".into(),
        tier: Tier(tier as u8),
        share: SHARES[organisation],
        idempotent: !runs_once,
        prompt_tokens: prompt,
        // Callers ask for more than they get.
        output_tokens: profile.output.1,
        prefix: prefix.collect(),
        fingerprint: fingerprint::Body(number),
        waited: Millis::ZERO,
        remaining: profile.deadline,
        first_token: profile.first_token,
        between_tokens: profile.between_tokens,
        leaves_after: Millis::ZERO,
        avoid: Vec::new(),
    };
    Job { request, arrived, output, poison: false }
}

/// Returns a length between the bounds, small ones more often: uniform in the logarithm.
fn between(rng: &mut Rng, (low, high): (u32, u32)) -> u32 {
    let (low, high) = (f64::from(low).ln(), f64::from(high).ln());
    (low + rng.f64() * (high - low)).exp() as u32
}

fn pick(rng: &mut Rng, parts: impl Iterator<Item = f64>) -> usize {
    let mut at = rng.f64();
    let mut last = 0;
    for (index, part) in parts.enumerate() {
        last = index;
        at -= part;
        if at < 0.0 {
            break;
        }
    }
    last
}

/// Returns the requests per second that the engines finish when each always has a full batch.
pub fn capacity(user: User, seed: u64) -> f64 {
    let mut rng = Rng::with_seed(seed);
    let span = 120_000_000;
    let mut done = 0;
    for speed in user.speeds() {
        let mut engine = Engine::new(speed);
        let mut now = 0;
        while now < span {
            while engine.load().0 + engine.load().1 < BATCH_MAX as u32 {
                let number = rng.u64(..);
                let job = job(&mut rng, user, number, 0);
                let request = job.request;
                engine.admit(Sequence::new(
                    number.into(),
                    request.prompt_tokens,
                    job.output,
                    request.prefix,
                ));
            }
            let (length, produced) = engine.iterate();
            now += length;
            done += produced.done.len();
        }
    }
    done as f64 / (span as f64 / 1e6)
}
