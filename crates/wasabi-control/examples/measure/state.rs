//! Memory and snapshot size per contract, endpoint and key.

use std::{fs, time::Instant};

use wasabi_control::Liveness;
use wasabi_protocol::{
    clock::Millis,
    command::{Command, Duty, Entry, Kept, Key, Order, View},
    endpoint::{Announcement, Kind},
    fault, id,
    rpc::Checkin,
};
use wasabi_state::Machine;

use crate::group::contract;

const PAGE_BYTES: u64 = 4_096;

pub(crate) fn run() {
    let record = |number: u64| Command::RecordDispatch {
        key: key(number),
        created: None,
        body: u128::from(number),
        attempt: id::Attempt(u128::from(number)),
        entry: "e1".into(),
    };
    // All machines are filled before the first snapshot, whose freed memory would be reused.
    let filled = [
        fill("contract (3 routes), with its command's result", 20_000, |number| {
            let order = Order {
                command: format!("command-{number:016x}").as_str().into(),
                operator: "ada".to_owned(),
                base: id::Revision(number),
            };
            vec![Command::ApplyContract { order, contract: contract(&format!("org{number}")) }]
        }),
        fill("key, recorded", 200_000, |number| vec![record(number)]),
        fill("key, finished with an answer of 200 bytes", 150_000, |number| {
            let kept = Kept {
                ran: fault::Ran::Ran,
                status: Some(200),
                content_type: "application/json".to_owned(),
                body: Some("x".repeat(200)),
            };
            let attempt = id::Attempt(u128::from(number));
            vec![record(number), Command::FinishDispatch { key: key(number), attempt, kept }]
        }),
    ];
    endpoints(10_000);
    for (what, machine) in &filled {
        let size = machine.size();
        let count = size.contracts.max(size.keys);
        let start = Instant::now();
        let snapshot = machine.snapshot().unwrap();
        let saved = start.elapsed();
        let start = Instant::now();
        drop(Machine::restore(&snapshot).unwrap());
        println!(
            "{what}: {} bytes of snapshot each, {} bytes accounted; snapshot of {count} in \
             {saved:.0?}, restored in {:.0?}",
            snapshot.len() / count,
            size.key_bytes / count,
            start.elapsed()
        );
    }
}

fn key(number: u64) -> Key {
    Key { organisation: "clinic".into(), key: format!("{number:032x}").as_str().into() }
}

fn fill(
    what: &'static str,
    count: u64,
    commands: impl Fn(u64) -> Vec<Command>,
) -> (&'static str, Machine) {
    let mut machine = Machine::new();
    let before = resident();
    let start = Instant::now();
    for number in 0..count {
        for command in commands(number) {
            // As in a daemon, the stored command is decoded from bytes.
            let bytes = serde_json::to_vec(&command).unwrap();
            let command: Command = serde_json::from_slice(&bytes).unwrap();
            machine.apply(machine.index() + 1, Millis(1), &command);
        }
    }
    let used = resident().saturating_sub(before);
    println!("{what}: {} bytes of memory ({count} in {:.0?})", used / count, start.elapsed());
    (what, machine)
}

fn endpoints(count: usize) {
    let endpoint = |number: usize| Announcement {
        name: format!("endpoint-{number}").as_str().into(),
        incarnation: 1,
        address: format!("10.0.{}.{}:8000", number / 250, number % 250),
        data_centre: "a".into(),
        kind: Kind::Model,
        backend: "m".into(),
        version: "v1".into(),
        adapters: Vec::new(),
        hardware: "gen4".to_owned(),
        concurrency: 64,
        abilities: Default::default(),
        load: Default::default(),
    };
    let before = resident();
    let mut liveness = Liveness::new(Millis::ZERO, &View::default(), id::Revision(0));
    let mut sent = 0;
    for number in 0..count / 10 {
        let checkin = Checkin {
            entry: Entry {
                name: format!("e{number}").as_str().into(),
                caller_address: "10.0.0.1:8080".to_owned(),
                peer_address: "10.0.0.1:8081".to_owned(),
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
            endpoints: (number * 10..number * 10 + 10).map(endpoint).collect(),
            suspects: Vec::new(),
            degraded: Vec::new(),
            fetches: false,
        };
        sent += serde_json::to_vec(&checkin).unwrap().len();
        liveness.check_in(Millis(1), checkin);
    }
    let used = resident() - before;
    println!(
        "endpoint: {} bytes of memory at the leader, {} bytes in each check-in ({count}, with \
         10 to an entry)",
        used / count as u64,
        sent / count
    );
    drop(liveness);
}

/// Returns the resident memory of this process, in bytes.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap();
    text.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * PAGE_BYTES
}
