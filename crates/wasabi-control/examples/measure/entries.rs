//! Cost of check-ins by the number of entries: messages, bytes, and CPU time of the members.

use std::time::{Duration, Instant};

use jsonrpsee::{core::client::ClientT as _, rpc_params};
use wasabi_protocol::{
    clock::Millis,
    command::{Config, Duty, Entry},
    id,
    rpc::{Checkin, CheckinReply, method},
};

use crate::group::{Group, runtime};

const CHECKIN_INTERVAL: Duration = Duration::from_millis(500);
const MEASURED_FOR: Duration = Duration::from_secs(10);

pub(crate) fn run() {
    println!("entries  messages/s  bytes/s at the leader  bytes/s per entry  leader  follower");
    for count in [0, 3, 12, 48] {
        let group = Group::start(3, &[]);
        runtime().block_on(measure(&group, count));
    }
}

async fn measure(group: &Group, count: usize) {
    let leader = group.leader().await;
    for number in 0..5 {
        group.apply(number, &format!("org{number}")).await;
    }
    let mut running = Vec::new();
    for number in 0..count {
        let client = group.connect(leader).await;
        running.push(tokio::spawn(entry(client, number, count)));
    }
    // Waits until the view is stable.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let start = Instant::now();
    let before: Vec<_> = (0..3).map(|index| group.cpu_time(index)).collect();
    tokio::time::sleep(MEASURED_FOR).await;
    let span = start.elapsed().as_secs_f64();
    let cpu_percent = |index: usize| 100.0 * (group.cpu_time(index) - before[index]) / span;
    let (leader_used, follower_used) = (cpu_percent(leader), cpu_percent((leader + 1) % 3));
    let (mut messages, mut bytes) = (0.0, 0.0);
    for task in running {
        let (sent, length) = task.await.unwrap();
        messages += sent;
        bytes += length;
    }
    println!(
        "{count:>7}  {messages:>10.1}  {bytes:>21.0}  {:>17.0}  {leader_used:>5.1}%  \
         {follower_used:>7.1}%",
        if count == 0 { 0.0 } else { bytes / count as f64 }
    );
}

/// Checks in periodically. Returns messages and bytes of JSON per second in both directions,
/// measured once the view is stable.
async fn entry(client: jsonrpsee::ws_client::WsClient, number: usize, count: usize) -> (f64, f64) {
    let mut checkin = Checkin {
        entry: Entry {
            name: format!("e{number}").as_str().into(),
            caller_address: format!("10.0.0.{number}:8080"),
            peer_address: format!("10.0.0.{number}:8081"),
            data_centre: "a".into(),
            region: "r".into(),
            capacity: 1_000,
            started: Millis::ZERO,
            duty: Duty::Serving,
        },
        revision: id::Revision(0),
        site: None,
        known: Vec::new(),
        evidence: Vec::new(),
        endpoints: Vec::new(),
        suspects: Vec::new(),
        degraded: Vec::new(),
        fetches: false,
    };
    let stable_at = Instant::now() + Duration::from_secs(3);
    let (mut messages, mut bytes) = (0, 0);
    while Instant::now() < stable_at + MEASURED_FOR {
        // All peers in a view of up to 16 entries, 3 in a larger one.
        let peers = if count <= 16 { count } else { 3 };
        checkin.known = (0..peers)
            .map(|peer| (format!("e{}", (number + peer) % count).as_str().into(), checkin.revision))
            .collect();
        let answer: CheckinReply =
            client.request(method::CONTROL_HEARTBEAT, rpc_params![&checkin]).await.unwrap();
        if stable_at < Instant::now() {
            messages += 2;
            bytes += serde_json::to_vec(&checkin).unwrap().len();
            bytes += serde_json::to_vec(&answer).unwrap().len();
        }
        if let CheckinReply::Heard { config: Some(config), .. } = answer {
            let config: Config = *config;
            checkin.revision = config.revision;
        }
        tokio::time::sleep(CHECKIN_INTERVAL).await;
    }
    (f64::from(messages) / MEASURED_FOR.as_secs_f64(), bytes as f64 / MEASURED_FOR.as_secs_f64())
}
