//! Measures the time until a configuration change is in force at all entries, and the bytes sent, by
//! method of delivery.

use argh::FromArgs;
use wasabi_bench::spread::{
    case::{Case, Delivery, Outcome, Start, answer_bytes},
    site,
};

/// Numbers of hosts and routes of the cases.
const HOSTS: [usize; 3] = [12, 84, 300];
const ROUTES: [usize; 3] = [50, 500, 5_000];

/// Measures the propagation of a configuration change over simulated links.
#[derive(FromArgs)]
struct Options {
    /// bandwidth of each host's link in Mbit/s, per direction
    #[argh(option, default = "10")]
    mbps: u64,

    /// number of runs per case, with seeds from 1; the maximum of each figure is shown
    #[argh(option, default = "3")]
    seeds: u64,
}

fn main() {
    let options: Options = argh::from_env();
    println!("links of {} Mbit/s; worst of {} seeds", options.mbps, options.seeds);
    println!(
        "hosts  routes  start   way        answer B  half s  all s    all KB  leader KB  \
         most of others KB  check-ins given up"
    );
    for hosts in HOSTS {
        for routes in ROUTES {
            for start in [Start::Behind, Start::Empty] {
                for delivery in [Delivery::Carried, Delivery::Fetched, Delivery::Changes] {
                    case(&options, hosts, routes, start, delivery);
                }
            }
        }
    }
}

fn case(options: &Options, hosts: usize, routes: usize, start: Start, delivery: Delivery) {
    let config = site::config(hosts, routes);
    let answer_bytes = answer_bytes(&config, start, delivery);
    let outcomes: Vec<_> = (1..=options.seeds)
        .map(|seed| {
            let case = Case {
                config: config.clone(),
                delivery,
                start,
                answer_bytes,
                bytes_per_s: options.mbps * 1_000_000 / 8,
                seed,
            };
            case.run()
        })
        .collect();
    let worst = |figure: &dyn Fn(&Outcome) -> u64| outcomes.iter().map(figure).max();
    let seconds = |percent: usize| {
        let at = |outcome: &Outcome| {
            let position = (hosts * percent).div_ceil(100) - 1;
            outcome.in_force.get(position).copied().unwrap_or(u64::MAX)
        };
        match worst(&at) {
            Some(u64::MAX) | None => "never".to_owned(),
            Some(micros) => format!("{:.2}", micros as f64 / 1_000_000.0),
        }
    };
    let kilobytes = |figure: &dyn Fn(&Outcome) -> u64| {
        worst(figure).map_or(0.0, |bytes| bytes as f64 / 1_000.0)
    };
    println!(
        "{hosts:>5}  {routes:>6}  {:<6}  {:<9}  {answer_bytes:>8}  {:>6}  {:>5}  {:>8.1}  {:>9.1}  \
         {:>17.1}  {:>18}",
        format!("{start:?}").to_lowercase(),
        format!("{delivery:?}").to_lowercase(),
        seconds(50),
        seconds(100),
        kilobytes(&|outcome| outcome.sent.iter().sum()),
        kilobytes(&|outcome| outcome.sent[0]),
        kilobytes(&|outcome| outcome.sent[1..].iter().copied().max().unwrap_or(0)),
        worst(&|outcome| outcome.unanswered).unwrap_or(0),
    );
}
