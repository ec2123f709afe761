//! Throughput and latency of commits, with real syncs.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use jsonrpsee::{core::client::ClientT as _, rpc_params};
use tokio::sync::Mutex;
use wasabi_protocol::{
    command::{Command, Key, Outcome},
    id,
    rpc::{Propose, Proposed, method},
};

use crate::group::{Group, runtime};

const MEASURED_FOR: Duration = Duration::from_secs(4);

pub(crate) fn run() {
    println!("members  batching  in flight  commits/s  p50 ms  p99 ms");
    for size in [1, 3, 5] {
        for (batching, arguments) in [("yes", &[][..]), ("no", &["--without-batching"])] {
            let group = Group::start(size, arguments);
            for in_flight in [1, 64, 512] {
                runtime().block_on(measure(&group, size, batching, in_flight));
            }
        }
    }
}

async fn measure(group: &Group, size: usize, batching: &str, in_flight: usize) {
    let leader = group.leader().await;
    let client = Arc::new(group.connect(leader).await);
    let latency = Arc::new(Mutex::new(Histogram::<u64>::new(3).unwrap()));
    let start = Instant::now();
    let tasks: Vec<_> = (0..in_flight)
        .map(|_| {
            let (client, latency) = (Arc::clone(&client), Arc::clone(&latency));
            tokio::spawn(async move {
                let mut task_latency = Histogram::<u64>::new(3).unwrap();
                while start.elapsed() < MEASURED_FOR {
                    let attempt = fastrand::u128(..);
                    let command = Command::RecordDispatch {
                        key: Key {
                            organisation: "clinic".into(),
                            key: format!("{attempt:032x}").as_str().into(),
                        },
                        created: None,
                        body: attempt,
                        attempt: id::Attempt(attempt),
                        entry: "e1".into(),
                    };
                    let sent = Instant::now();
                    let answer: Proposed = client
                        .request(method::PROPOSE, rpc_params![Propose { command }])
                        .await
                        .unwrap();
                    assert_eq!(answer, Proposed::Committed(Outcome::Recorded));
                    task_latency.record(sent.elapsed().as_micros() as u64).unwrap();
                }
                latency.lock().await.add(task_latency).unwrap();
            })
        })
        .collect();
    for task in tasks {
        task.await.unwrap();
    }
    let latency = latency.lock().await;
    let ms = |quantile| latency.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{size:>7}  {batching:>8}  {in_flight:>9}  {:>9.0}  {:>6.2}  {:>6.2}",
        latency.len() as f64 / start.elapsed().as_secs_f64(),
        ms(0.5),
        ms(0.99)
    );
}
