//! Time until a change of the configuration is in force at all entries, and bytes, by how it reaches
//! them.

use argh::FromArgs;
use wasabi_bench::spread::{
    case::{Case, Outcome, Start, Way, answer_bytes},
    site,
};

/// Numbers of hosts and of routes.
const HOSTS: [usize; 3] = [12, 84, 300];
const ROUTES: [usize; 3] = [50, 500, 5_000];

/// Measures the spread of a change over hosts with simulated links.
#[derive(FromArgs)]
struct Options {
    /// rate of each host's link in Mbit/s, each way
    #[argh(option, default = "10")]
    mbps: u64,

    /// runs of each case, with the seeds 1, 2, ...; the worst of each figure is shown
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
                for way in [Way::Carried, Way::Fetched, Way::Changes] {
                    case(&options, hosts, routes, start, way);
                }
            }
        }
    }
}

fn case(options: &Options, hosts: usize, routes: usize, start: Start, way: Way) {
    let config = site::config(hosts, routes);
    let answer_bytes = answer_bytes(&config, start, way);
    let outcomes: Vec<_> = (1..=options.seeds)
        .map(|seed| {
            let case = Case {
                config: config.clone(),
                way,
                start,
                answer_bytes,
                bytes_per_s: options.mbps * 1_000_000 / 8,
                seed,
            };
            case.play()
        })
        .collect();
    let worst = |figure: &dyn Fn(&Outcome) -> u64| outcomes.iter().map(figure).max();
    let seconds = |share: usize| {
        let at = |outcome: &Outcome| {
            let position = (hosts * share).div_ceil(100) - 1;
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
        format!("{way:?}").to_lowercase(),
        seconds(50),
        seconds(100),
        kilobytes(&|outcome| outcome.sent.iter().sum()),
        kilobytes(&|outcome| outcome.sent[0]),
        kilobytes(&|outcome| outcome.sent[1..].iter().copied().max().unwrap_or(0)),
        worst(&|outcome| outcome.unanswered).unwrap_or(0),
    );
}
