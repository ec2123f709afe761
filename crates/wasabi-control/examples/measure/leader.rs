//! Time from the kill of the leader to the first change accepted by the next one.

use std::time::Instant;

use crate::group::{Group, runtime};

const ROUNDS: u64 = 15;

pub(crate) fn run() {
    for size in [3, 5] {
        let mut group = Group::start(size, &[]);
        let runtime = runtime();
        let mut times: Vec<u128> = (0..ROUNDS)
            .map(|round| {
                let leader = runtime.block_on(group.leader());
                group.daemons[leader].take().unwrap().kill();
                let start = Instant::now();
                runtime.block_on(group.apply(round, "org"));
                let took = start.elapsed().as_millis();
                group.run(leader);
                // Waits until all members take part in the next round.
                std::thread::sleep(std::time::Duration::from_millis(1_500));
                took
            })
            .collect();
        times.sort_unstable();
        println!(
            "{size} members: kill -9 of the leader to an accepted change, ms: \
             min {}, median {}, max {} ({ROUNDS} rounds)",
            times[0],
            times[times.len() / 2],
            times[times.len() - 1]
        );
    }
}
