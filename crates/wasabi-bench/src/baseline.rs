//! The naive baseline: each entry decides alone, first come first served, with blind retries.

use wasabi_protocol::{
    clock::Millis,
    endpoint::{ANNOUNCE_TIMEOUT, Announcement},
    request::{End, Report, Request},
};

use crate::policy::{Command, Policy};

/// Entries that decide without knowing of each other.
const ENTRIES: u64 = 12;

/// Most attempts of one request.
const TRIES_MAX: u32 = 4;

/// How an entry chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// In turn.
    RoundRobin,
    /// The least load by the last report.
    LeastReported,
}

/// All entries of the baseline.
#[derive(Debug)]
pub struct Baseline {
    rule: Rule,
    /// By engine: when it was last heard, and its last report.
    engines: Vec<Option<(Millis, Announcement)>>,
    turns: Vec<usize>,
}

impl Baseline {
    /// Returns a baseline that knows no engine yet.
    pub fn new(rule: Rule) -> Self {
        Self { rule, engines: Vec::new(), turns: (0..ENTRIES as usize).collect() }
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
        self.turns[entry] += 1;
        let turn = self.turns[entry];
        let in_turn =
            |index: usize| (index + usable.len() - turn % usable.len().max(1)) % usable.len();
        let position = match self.rule {
            Rule::RoundRobin => (!usable.is_empty()).then(|| turn % usable.len()),
            Rule::LeastReported => (0..usable.len()).min_by_key(|position| {
                let load = usable[*position].1.load;
                (load.running + load.waiting, in_turn(*position))
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
        // A usual fixed timeout: twice the target for the first token, and 5 s between tokens.
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

    fn retries(&self, _: &Request, tries: u32, _: End, tokens: u32) -> bool {
        tokens == 0 && tries < TRIES_MAX
    }
}
