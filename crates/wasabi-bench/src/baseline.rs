//! Naive baseline policy: each entry schedules independently, in order of arrival, and retries
//! without regard to the cause of a failure.

use wasabi_protocol::{
    clock::Millis,
    endpoint::{ANNOUNCE_TIMEOUT, Announcement},
    request::{End, Report, Request},
};

use crate::policy::{Command, Policy};

/// Number of entries, which share no state.
const ENTRIES: u64 = 12;

/// Maximum number of attempts per request.
const ATTEMPTS_MAX: u32 = 4;

/// How an entry selects an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the lowest load in its latest report.
    LeastReported,
}

/// The baseline policy, with the state of all its entries.
#[derive(Debug)]
pub struct Baseline {
    rule: Rule,
    /// Time and content of the latest announcement, by engine index.
    engines: Vec<Option<(Millis, Announcement)>>,
    /// Round-robin counter of each entry.
    counters: Vec<usize>,
}

impl Baseline {
    /// Creates a baseline without known engines.
    pub fn new(rule: Rule) -> Self {
        Self { rule, engines: Vec::new(), counters: (0..ENTRIES as usize).collect() }
    }

    fn choose(&mut self, now: Millis, entry: usize, request: &Request) -> Option<usize> {
        let usable: Vec<_> = self
            .engines
            .iter()
            .enumerate()
            .filter_map(|(index, engine)| {
                let (heard, announcement) = engine.as_ref()?;
                let is_usable = now.since(*heard) < ANNOUNCE_TIMEOUT
                    && !request.avoid.contains(&announcement.name);
                is_usable.then_some((index, announcement))
            })
            .collect();
        self.counters[entry] += 1;
        let counter = self.counters[entry];
        let rotated =
            |index: usize| (index + usable.len() - counter % usable.len().max(1)) % usable.len();
        let position = match self.rule {
            Rule::RoundRobin => (!usable.is_empty()).then(|| counter % usable.len()),
            Rule::LeastReported => (0..usable.len()).min_by_key(|position| {
                let load = usable[*position].1.load;
                (load.running + load.waiting, rotated(*position))
            }),
        };
        position.map(|position| usable[position].0)
    }
}

impl Policy for Baseline {
    fn announce(&mut self, now: Millis, announcement: Announcement) -> Vec<Command> {
        let digits = announcement.name.as_str().trim_start_matches("engine");
        let index: usize = digits.parse().unwrap_or(0);
        while self.engines.len() <= index {
            self.engines.push(None);
        }
        self.engines[index] = Some((now, announcement));
        Vec::new()
    }

    fn acquire(&mut self, now: Millis, ticket: u64, request: Request) -> Vec<Command> {
        let entry = (ticket % ENTRIES) as usize;
        let Some(engine) = self.choose(now, entry, &request) else {
            return vec![Command::Refuse { ticket }];
        };
        // Fixed timeouts: twice the target for the first token, and 5 s between tokens.
        let first = request.first_token + request.first_token;
        vec![Command::Start { ticket, engine, bounds: (first, Millis(5_000)) }]
    }

    fn release(&mut self, _: Millis, _: &Request, _: Report) -> Vec<Command> {
        Vec::new()
    }

    fn tick(&mut self, _: Millis) -> Vec<Command> {
        Vec::new()
    }

    fn fail_over(&mut self, _: Millis) {}

    fn should_retry(&self, _: &Request, attempts: u32, _: End, tokens: u32) -> bool {
        tokens == 0 && attempts < ATTEMPTS_MAX
    }
}
