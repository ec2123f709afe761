//! One change on its way to all entries of a site, and what that showed.

use wasabi_protocol::{
    command::Config,
    rpc::{ConfigDigests, ConfigVersion, UpdateCache},
};

use crate::spread::{hosts::Spread, site};

/// Time of a case, in microseconds.
pub type Micros = u64;

/// How a configuration reaches the entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// The answer to a check-in carries it, as for entries of earlier versions.
    Carried,
    /// Entries fetch it without the view that they hold.
    Fetched,
    /// Entries fetch what changed.
    Changes,
}

/// What the hosts hold before the change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// The revision before it.
    Behind,
    /// Nothing: all have just started.
    Empty,
}

/// One case.
#[derive(Debug, Clone)]
pub struct Case {
    /// The configuration before the change.
    pub config: Config,
    /// How it reaches the entries.
    pub way: Way,
    /// What the entries hold.
    pub start: Start,
    /// Length of an answer that leads an entry to the change, in bytes.
    pub answer_bytes: u64,
    /// Rate of each link, in bytes a second.
    pub bytes_per_s: u64,
    /// The seed of the times at which hosts speak.
    pub seed: u64,
}

/// What a case showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// When the change was in force at each entry that got it, in microseconds after the commit, in
    /// order.
    pub in_force: Vec<Micros>,
    /// Bytes of configurations that left each host, whether or not they were of use.
    pub sent: Vec<u64>,
    /// Check-ins that were given up.
    pub unanswered: u64,
}

impl Case {
    /// Plays the case until the change is in force everywhere, or for two minutes after its commit.
    pub fn play(&self) -> Outcome {
        Spread::new(self).play()
    }
}

/// Returns the length of the answer that leads an entry to the change of one route, in bytes.
pub fn answer_bytes(before: &Config, start: Start, way: Way) -> u64 {
    let held = match (start, way) {
        (Start::Empty, _) | (_, Way::Carried) => None,
        (Start::Behind, Way::Fetched) => Some(ConfigVersion::of(before)),
        (Start::Behind, Way::Changes) => Some(ConfigDigests::of(before).version()),
    };
    let after = site::changed(before);
    let mut answers = UpdateCache::default();
    answers.record(before);
    let answer = answers.answer(after.revision, held, || after.clone());
    answer.map_or(0, |answer| answer.bytes() as u64)
}
