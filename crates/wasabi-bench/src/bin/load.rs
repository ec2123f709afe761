//! Compares the goodput of the pool owner's policy with that of the naive baseline, on the same seeds.

use argh::FromArgs;
use wasabi_bench::{
    baseline::{Baseline, Rule},
    owner::Owner,
    policy::Fault,
    run::run,
    score::{HEADER, Score},
    traffic::{User, capacity},
};

/// Loads relative to the capacity of the engines.
const LOADS: [f64; 4] = [0.7, 1.0, 1.5, 3.0];

/// Compares the scheduling policy with the baseline in virtual time.
#[derive(FromArgs)]
struct Options {
    /// number of seeds per case
    #[argh(option, default = "3")]
    seeds: u64,
    /// cases to run: `loads`, `faults` or `pairs`
    #[argh(option, default = "String::from(\"loads\")")]
    cases: String,
    /// load of the cases with faults, relative to the capacity
    #[argh(option, default = "1.5")]
    load: f64,
    /// run the policy without the baseline
    #[argh(switch)]
    policy_only: bool,
}

fn main() {
    let options: Options = argh::from_env();
    println!("user, load, faults, policy | {HEADER}");
    for user in [User::Kozani, User::Amman] {
        let rate = capacity(user, 1);
        println!("{}: capacity {rate:.1} requests/s", user.name());
        for (load, faults) in cases(&options) {
            measure(&options, user, rate, load, &faults);
        }
    }
}

fn cases(options: &Options) -> Vec<(f64, Vec<Fault>)> {
    match options.cases.as_str() {
        "faults" => Fault::ALL.iter().map(|fault| (options.load, vec![*fault])).collect(),
        "pairs" => Fault::ALL
            .iter()
            .enumerate()
            .flat_map(|(index, one)| {
                Fault::ALL[index + 1..].iter().map(move |other| vec![*one, *other])
            })
            .map(|pair| (options.load, pair))
            .collect(),
        _ => LOADS
            .iter()
            .flat_map(|load| [(*load, Vec::new()), (*load, vec![Fault::Straggle])])
            .collect(),
    }
}

fn measure(options: &Options, user: User, capacity: f64, load: f64, faults: &[Fault]) {
    let rate = capacity * load;
    let mut scores = [Score::default(); 3];
    for seed in 1..=options.seeds {
        scores[0].add(&run(user, &mut Owner::new(seed), rate, faults, seed));
        if options.policy_only {
            continue;
        }
        for (score, rule) in scores[1..].iter_mut().zip([Rule::RoundRobin, Rule::LeastReported]) {
            score.add(&run(user, &mut Baseline::new(rule), rate, faults, seed));
        }
    }
    let faults = if faults.is_empty() { "none".to_owned() } else { format!("{faults:?}") };
    for (score, policy) in scores.iter().zip(["owner", "round robin", "least reported"]) {
        if policy == "owner" || !options.policy_only {
            println!("{} {load} {faults} {policy} | {}", user.name(), score.line());
        }
    }
}
