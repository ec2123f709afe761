//! Restart time and disk usage after many changes.

use std::time::{Duration, Instant};

use wasabi_protocol::{id, rpc::Source};

use crate::group::{Group, runtime};

/// Number of organisations with changes, as in the stated target.
const ORGANISATIONS: u64 = 360;

pub(crate) fn run() {
    let mut group = Group::start(3, &[]);
    let runtime = runtime();
    let mut number = 0;
    for changes in [1_000, 10_000] {
        let start = Instant::now();
        runtime.block_on(async {
            while number < changes {
                group.apply(number, &format!("org{}", number % ORGANISATIONS)).await;
                number += 1;
            }
        });
        println!("{changes} changes of contracts made, the last ones in {:.1?}", start.elapsed());
        let leader = runtime.block_on(group.leader());
        let follower = (leader + 1) % 3;
        let bytes = group.bytes(follower);
        let mut times: Vec<_> = (0..5)
            .map(|_| {
                group.daemons[follower].take().unwrap().kill();
                let start = Instant::now();
                group.run(follower);
                runtime.block_on(async {
                    loop {
                        let status = group.status(follower, Source::Member).await;
                        if status
                            .is_some_and(|status| status.config.revision == id::Revision(number))
                        {
                            break;
                        }
                        tokio::time::sleep(Duration::from_millis(1)).await;
                    }
                });
                start.elapsed()
            })
            .collect();
        times.sort_unstable();
        println!(
            "after {changes} changes: {bytes} bytes on disk; a restarted member has the last \
             revision after {:.0?} (median of 5; min {:.0?}, max {:.0?})",
            times[2], times[0], times[4]
        );
    }
}
