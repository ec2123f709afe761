//! Cases of the propagation of a configuration change, and their results.

use wasabi_protocol::{
    command::Config,
    rpc::{ConfigDigests, ConfigVersion, UpdateCache},
};

use crate::spread::{hosts::Simulation, site};

/// Virtual time, in microseconds.
pub type Micros = u64;

/// How a configuration is delivered to the entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// In the response to a check-in, as for entries of earlier versions.
    Carried,
    /// By a fetch of everything but the view, which the entries already hold.
    Fetched,
    /// By a fetch of the changes.
    Changes,
}

/// The configuration that the hosts hold before the change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// The previous revision.
    Behind,
    /// None: all hosts have just started.
    Empty,
}

/// Parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Case {
    /// The configuration before the change.
    pub config: Config,
    /// How the change is delivered.
    pub delivery: Delivery,
    /// The configuration that the entries hold at first.
    pub start: Start,
    /// Length of a response that carries the change, in bytes.
    pub answer_bytes: u64,
    /// Bandwidth of each link, in bytes per second.
    pub bytes_per_s: u64,
    /// Seed of the random numbers, such as the start times of check-ins and heartbeats.
    pub seed: u64,
}

/// Result of a case.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Time from the commit until the change was in force, for each entry that received it, in
    /// ascending order.
    pub in_force: Vec<Micros>,
    /// Configuration bytes sent by each host, including those that were discarded.
    pub sent: Vec<u64>,
    /// Number of check-ins that timed out.
    pub unanswered: u64,
}

impl Case {
    /// Runs the simulation until the change is in force everywhere, for at most two minutes after its
    /// commit.
    pub fn run(&self) -> Outcome {
        Simulation::new(self).run()
    }
}

/// Returns the length of the response that delivers a change of one route, in bytes.
pub fn answer_bytes(before: &Config, start: Start, delivery: Delivery) -> u64 {
    let held = match (start, delivery) {
        (Start::Empty, _) | (_, Delivery::Carried) => None,
        (Start::Behind, Delivery::Fetched) => Some(ConfigVersion::of(before)),
        (Start::Behind, Delivery::Changes) => Some(ConfigDigests::of(before).version()),
    };
    let after = site::changed(before);
    let mut answers = UpdateCache::default();
    answers.record(before);
    let answer = answers.answer(after.revision, held, || after.clone());
    answer.map_or(0, |answer| answer.bytes() as u64)
}
