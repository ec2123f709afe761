//! Request mixes of two deployments: organisations of different sizes, five tiers, and lengths that
//! vary by a factor of 100.

use fastrand::Rng;
use wasabi_protocol::{clock::Millis, contract::Tier, fingerprint, id, request::Request};

use crate::engine::{BATCH_MAX, BLOCK_TOKENS, Engine, Sequence};

/// Fraction of the requests from each organisation. A few organisations send most of them.
const ORGANISATION_FRACTIONS: [f64; 5] = [0.45, 0.30, 0.15, 0.07, 0.03];

/// Scheduling share in each organisation's contract.
const SHARES: [u32; 5] = [4, 3, 2, 1, 1];

/// Number of shared prompt prefixes per organisation and tier.
const SHARED_PREFIXES: u64 = 6;

/// Fraction of non-idempotent requests in tiers 1 and 2.
const NON_IDEMPOTENT_FRACTION: f64 = 0.1;

/// A deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum User {
    /// 20 model replicas, mostly short queries.
    Kozani,
    /// 12 model replicas, many long summaries with a shared prefix.
    Amman,
}

/// Characteristics of the requests of one tier.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// Fraction of all requests.
    pub fraction: f64,
    /// Shortest and longest prompt, in tokens.
    pub prompt: (u32, u32),
    /// Shortest and longest output, in tokens.
    pub output: (u32, u32),
    /// Fraction of the prompt that is a shared prefix.
    pub shared: f64,
    /// Target for the time to the first token.
    pub first_token: Millis,
    /// Target for the mean time between tokens.
    pub between_tokens: Millis,
    /// Deadline of the request.
    pub deadline: Millis,
}

const fn profile(
    fraction: f64,
    prompt: (u32, u32),
    output: (u32, u32),
    shared: f64,
    times: [u64; 3],
) -> Profile {
    Profile {
        fraction,
        prompt,
        output,
        shared,
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
    /// Returns the relative speeds of the model replicas, which span three hardware generations.
    pub fn speeds(self) -> Vec<f64> {
        let count = match self {
            Self::Kozani => 20,
            Self::Amman => 12,
        };
        (0..count).map(|index| [1.0, 1.0, 0.8, 0.6][index % 4]).collect()
    }

    /// Returns the request profile of each tier.
    pub fn profiles(self) -> &'static [Profile; 5] {
        match self {
            Self::Kozani => &KOZANI,
            Self::Amman => &AMMAN,
        }
    }

    /// Returns the name of the deployment.
    pub fn name(self) -> &'static str {
        match self {
            Self::Kozani => "kozani",
            Self::Amman => "amman",
        }
    }
}

/// A request and the length of its response.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request at its arrival.
    pub request: Request,
    /// Time of arrival, in microseconds.
    pub arrived: u64,
    /// Number of output tokens of the response.
    pub output: u32,
    /// Whether the request crashes each endpoint that produces its first token.
    pub poison: bool,
}

/// Generates a request of a deployment's mix.
pub fn job(rng: &mut Rng, user: User, number: u64, arrived: u64) -> Job {
    let tier = weighted_index(rng, user.profiles().iter().map(|profile| profile.fraction));
    let organisation = weighted_index(rng, ORGANISATION_FRACTIONS.into_iter());
    let profile = &user.profiles()[tier];
    let prompt = log_uniform(rng, profile.prompt);
    let output = log_uniform(rng, profile.output);
    let shared = (f64::from(prompt) * profile.shared) as u32 / BLOCK_TOKENS;
    let shared_prefix =
        rng.u64(..SHARED_PREFIXES) + SHARED_PREFIXES * (tier as u64 + 5 * organisation as u64);
    let blocks = (prompt / BLOCK_TOKENS).min(fingerprint::PREFIX_BLOCKS_MAX as u32);
    let prefix = (0..blocks).map(|block| {
        let owner = if block < shared { shared_prefix } else { 1_000_000 + number };
        (owner + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15)
            ^ u64::from(block).wrapping_mul(0xC2B2_AE3D_27D4_EB4F)
    });
    let is_non_idempotent = (tier == 1 || tier == 2) && rng.f64() < NON_IDEMPOTENT_FRACTION;
    let request = Request {
        attempt: id::Attempt(0),
        organisation: format!("org{organisation}").into(),
        route: format!("route{tier}").into(),
        backend: "chat".into(),
        tier: Tier(tier as u8),
        share: SHARES[organisation],
        idempotent: !is_non_idempotent,
        prompt_tokens: prompt,
        // Callers request the maximum of the tier, which is more than most responses use.
        output_tokens: profile.output.1,
        prefix: prefix.collect(),
        fingerprint: fingerprint::Body(number),
        parts: Vec::new(),
        waited: Millis::ZERO,
        remaining: profile.deadline,
        first_token: profile.first_token,
        between_tokens: profile.between_tokens,
        leaves_after: Millis::ZERO,
        avoid: Vec::new(),
        closed: Vec::new(),
        patience: Default::default(),
    };
    Job { request, arrived, output, poison: false }
}

/// Returns a length from a log-uniform distribution over the range.
fn log_uniform(rng: &mut Rng, (low, high): (u32, u32)) -> u32 {
    let (low, high) = (f64::from(low).ln(), f64::from(high).ln());
    (low + rng.f64() * (high - low)).exp() as u32
}

/// Returns an index with the probability given by its weight.
fn weighted_index(rng: &mut Rng, fractions: impl Iterator<Item = f64>) -> usize {
    let mut remaining = rng.f64();
    let mut last = 0;
    for (index, fraction) in fractions.enumerate() {
        last = index;
        remaining -= fraction;
        if remaining < 0.0 {
            break;
        }
    }
    last
}

/// Returns the requests per second that the engines complete with full batches.
pub fn capacity(user: User, seed: u64) -> f64 {
    let mut rng = Rng::with_seed(seed);
    let duration_us = 120_000_000;
    let mut completed = 0;
    for speed in user.speeds() {
        let mut engine = Engine::new(speed);
        let mut now = 0;
        while now < duration_us {
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
            let (iteration_us, produced) = engine.iterate();
            now += iteration_us;
            completed += produced.done.len();
        }
    }
    completed as f64 / (duration_us as f64 / 1e6)
}
