//! Measures version moves in virtual time: the policy of this crate against a fixed 10% canary
//! with a plain error threshold, on the same seeds.
//!
//! Usage: `cargo run --release -p wasabi-rollout --example moves -- [bad runs] [good runs] [threads]
//! [version]`

#[path = "moves/fleet.rs"]
mod fleet;
#[path = "moves/sim.rs"]
mod sim;

use std::{env, thread};

use wasabi_protocol::command::Stage;

use crate::{
    fleet::{AMMAN, BAD, Fault, Fleet, GOOD, KOZANI, MOVE},
    sim::{Outcome, Rule, Sim},
};

fn main() {
    let number = |position: usize, default: u64| {
        env::args().nth(position).and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let only = env::args().nth(4);
    let (bad, good, threads) = (number(1, 20), number(2, 20), number(3, 2));
    println!(
        "| fleet | version | rule | runs | done in time | taken back | met, median | met of planned, max | affected of planned, max | detection s, median | max |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for fleet in [&KOZANI, &AMMAN] {
        for fault in GOOD.into_iter().chain(BAD) {
            if only.as_ref().is_some_and(|only| *only != format!("{fault:?}")) {
                continue;
            }
            let runs = if GOOD.contains(&fault) { good } else { bad };
            for rule in [Rule::Policy, Rule::Baseline] {
                let outcomes = run_all(fleet, fault, rule, runs, threads);
                // What the version would have served if kept: a run of a good one.
                let planned = Sim::new(fleet, Fault::None, rule, 1).run().met as f64;
                print_row(fleet, fault, rule, &outcomes, planned);
            }
        }
    }
}

fn run_all(fleet: &Fleet, fault: Fault, rule: Rule, runs: u64, threads: u64) -> Vec<Outcome> {
    let part = |thread: u64| {
        let seeds = (0..runs).filter(move |seed| seed % threads == thread);
        seeds.map(|seed| Sim::new(fleet, fault, rule, seed + 1).run()).collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let parts =
            (0..threads).map(|thread| scope.spawn(move || part(thread))).collect::<Vec<_>>();
        parts.into_iter().flat_map(|part| part.join().unwrap_or_default()).collect()
    })
}

fn print_row(fleet: &Fleet, fault: Fault, rule: Rule, outcomes: &[Outcome], planned: f64) {
    let count = |is: &dyn Fn(&Outcome) -> bool| outcomes.iter().filter(|run| is(run)).count();
    let done = count(&|run| {
        run.stage == Some(Stage::Done) && run.moved.is_some_and(|moved| moved <= MOVE)
    });
    let back = count(&|run| run.stage == Some(Stage::TakenBack));
    let sorted = |of: &dyn Fn(&Outcome) -> Option<u64>| {
        let mut values = outcomes.iter().filter_map(of).collect::<Vec<_>>();
        values.sort_unstable();
        let median = values.get(values.len() / 2).copied().unwrap_or_default();
        (median, values.last().copied().unwrap_or_default())
    };
    let (met, met_max) = sorted(&|run| Some(run.met));
    let (_, affected_max) = sorted(&|run| Some(run.affected));
    let (found, found_max) = sorted(&|run| {
        (run.stage == Some(Stage::TakenBack))
            .then_some(run.ended.since(run.first_fault.unwrap_or_default()).0 / 1_000)
    });
    println!(
        "| {} | {fault:?} | {rule:?} | {} | {done} | {back} | {met} | {:.2}% | {:.3}% | {found} | {found_max} |",
        fleet.name,
        outcomes.len(),
        met_max as f64 / planned * 100.0,
        affected_max as f64 / planned * 100.0,
    );
}
