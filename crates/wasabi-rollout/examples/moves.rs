//! Simulates version moves in virtual time and compares the policy of this crate with a fixed 10%
//! canary with an error threshold, on the same seeds.
//!
//! Usage: `cargo run --release -p wasabi-rollout --example moves -- [bad runs] [good runs]
//! [threads] [version]`

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
        "| fleet | version | rule | runs | done in time | rolled back | served by new version, median | served of planned, max | affected of planned, max | detection s, median | detection s, max |"
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
                // Requests that the version would have served if it was kept, from a good run.
                let planned = Sim::new(fleet, Fault::None, rule, 1).run().served as f64;
                print_row(fleet, fault, rule, &outcomes, planned);
            }
        }
    }
}

fn run_all(fleet: &Fleet, fault: Fault, rule: Rule, runs: u64, threads: u64) -> Vec<Outcome> {
    let run_part = |thread: u64| {
        let seeds = (0..runs).filter(move |seed| seed % threads == thread);
        seeds.map(|seed| Sim::new(fleet, fault, rule, seed + 1).run()).collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let handles =
            (0..threads).map(|thread| scope.spawn(move || run_part(thread))).collect::<Vec<_>>();
        handles.into_iter().flat_map(|handle| handle.join().unwrap_or_default()).collect()
    })
}

fn print_row(fleet: &Fleet, fault: Fault, rule: Rule, outcomes: &[Outcome], planned: f64) {
    let count =
        |matches: &dyn Fn(&Outcome) -> bool| outcomes.iter().filter(|run| matches(run)).count();
    let done = count(&|run| {
        run.stage == Some(Stage::Done) && run.moved.is_some_and(|moved| moved <= MOVE)
    });
    let rolled_back = count(&|run| run.stage == Some(Stage::TakenBack));
    let median_and_max = |of: &dyn Fn(&Outcome) -> Option<u64>| {
        let mut values = outcomes.iter().filter_map(of).collect::<Vec<_>>();
        values.sort_unstable();
        let median = values.get(values.len() / 2).copied().unwrap_or_default();
        (median, values.last().copied().unwrap_or_default())
    };
    let (served, served_max) = median_and_max(&|run| Some(run.served));
    let (_, affected_max) = median_and_max(&|run| Some(run.affected));
    let (detection, detection_max) = median_and_max(&|run| {
        (run.stage == Some(Stage::TakenBack))
            .then_some(run.ended.since(run.first_fault.unwrap_or_default()).0 / 1_000)
    });
    println!(
        "| {} | {fault:?} | {rule:?} | {} | {done} | {rolled_back} | {served} | {:.2}% | {:.3}% | {detection} | {detection_max} |",
        fleet.name,
        outcomes.len(),
        served_max as f64 / planned * 100.0,
        affected_max as f64 / planned * 100.0,
    );
}
