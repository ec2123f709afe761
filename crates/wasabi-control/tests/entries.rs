//! Tests of entries and version moves with a group of three real processes and fake entries.
#![allow(clippy::unwrap_used, reason = "a test fails at the first error")]

mod support;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use jsonrpsee::{core::client::ClientT as _, http_client::HttpClientBuilder, rpc_params};
use support::{CREDENTIAL, Cluster, Relays, apply};
use wasabi_protocol::{
    clock::{Millis, unix_now},
    command::{Command, Config, Duty, Entry, Order, Outcome, Plan, Stage},
    endpoint::{Announcement, Kind},
    id,
    rpc::{
        Checkin, CheckinReply, CommandReply, CommandRequest, Drain, Drained, Evidence,
        RevisionStatus, Standing, method,
    },
};

/// State of a fake entry.
struct State {
    checkin: Checkin,
    config: Config,
    adopts: bool,
}

/// A fake entry, which only checks in with the leader.
struct FakeEntry {
    state: Arc<Mutex<State>>,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl FakeEntry {
    fn start(name: &str, cluster: &Cluster) -> Self {
        let entry = Entry {
            name: name.into(),
            caller_address: "127.0.0.1:1".to_owned(),
            peer_address: "127.0.0.1:2".to_owned(),
            data_centre: "a".into(),
            region: "r".into(),
            capacity: 1_000,
            started: Millis::ZERO,
            duty: Duty::Serving,
        };
        let checkin = Checkin {
            entry,
            revision: id::Revision(0),
            site: None,
            known: Vec::new(),
            evidence: Vec::new(),
            endpoints: Vec::new(),
            suspects: Vec::new(),
            degraded: Vec::new(),
            fetches: false,
        };
        let state = State { checkin, config: Config::default(), adopts: true };
        let state = Arc::new(Mutex::new(state));
        let stopping = Arc::new(AtomicBool::new(false));
        let urls: Vec<_> =
            cluster.hosts.iter().map(|host| format!("http://{}", host.address)).collect();
        let (shared, flag) = (Arc::clone(&state), Arc::clone(&stopping));
        let thread = thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            while !flag.load(Ordering::SeqCst) {
                for url in &urls {
                    let client = HttpClientBuilder::default()
                        .request_timeout(Duration::from_millis(500))
                        .build(url)
                        .unwrap();
                    let checkin = shared.lock().unwrap().checkin.clone();
                    let answer = runtime
                        .block_on(client.request(method::CONTROL_HEARTBEAT, rpc_params![checkin]));
                    let Ok(CheckinReply::Heard { config, .. }) = answer else { continue };
                    let mut state = shared.lock().unwrap();
                    if let Some(config) = config.filter(|_| state.adopts) {
                        state.checkin.revision = config.revision;
                        state.config = *config;
                    }
                }
                thread::sleep(Duration::from_millis(100));
            }
        });
        Self { state, stopping, thread: Some(thread) }
    }

    fn set(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.lock().unwrap());
    }

    fn stop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

impl Drop for FakeEntry {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
    }
}

fn wait_for_view_size(cluster: &Cluster, size: usize) {
    cluster.wait_until("the view", || (cluster.leader().1.entries.len() == size).then_some(()));
}

fn change(cluster: &Cluster, share: u32, wait: u64) -> RevisionStatus {
    cluster.wait_until("an accepted change", || {
        let (leader, status) = cluster.leader();
        let command = apply(&format!("s{share}"), status.config.revision, "org", share);
        let operate =
            CommandRequest { credential: CREDENTIAL.to_owned(), command, wait: Millis(wait) };
        match cluster.call(leader, method::OPERATE, &operate)? {
            CommandReply::Committed { outcome: Outcome::Accepted { .. }, force } => Some(force),
            _ => None,
        }
    })
}

/// Guards against a change that is reported as in force where it is not, an entry that never leaves
/// the view or leaves it early, and a draining entry that stays in the view as serving.
#[test]
fn change_is_in_force_only_where_it_is_known() {
    let cluster = Cluster::start(3, Relays::None);
    cluster.leader();
    let mut entries = ["e1", "e2", "e3"].map(|name| FakeEntry::start(name, &cluster));
    wait_for_view_size(&cluster, 3);
    let force = change(&cluster, 1, 2_000);
    assert_eq!((force.confirmed.len(), force.behind.len()), (3, 0), "{force:?}");

    entries[2].set(|state| state.adopts = false);
    let force = change(&cluster, 2, 300);
    assert_eq!(force.behind, ["e3".into()], "the entry is heard but does not confirm");

    entries[2].stop();
    let silent = Instant::now();
    let force = change(&cluster, 3, 300);
    assert_eq!(force.behind, ["e3".into()], "the entry may still serve");
    wait_for_view_size(&cluster, 2);
    let took = silent.elapsed();
    assert!(Duration::from_millis(2_300) < took, "the entry left the view after only {took:?}");
    let force = change(&cluster, 4, 2_000);
    assert_eq!(
        (force.confirmed.len(), force.behind.len()),
        (2, 0),
        "{force:?}\n{}",
        cluster.logs()
    );

    entries[1].set(|state| state.checkin.entry.duty = Duty::Draining);
    let drain = Drain { credential: CREDENTIAL.to_owned(), entry: "e1".into() };
    cluster.wait_until("the order to drain", || {
        match cluster.call(cluster.leader().0, method::DRAIN, &drain)? {
            Drained::Ordered { .. } => Some(()),
            _ => None,
        }
    });
    cluster.wait_until("the draining of both entries", || {
        let status = cluster.leader().1;
        let drains = |entry: &Entry| entry.duty == Duty::Draining;
        let all = status.config.view.entries.iter().all(drains);
        (all && status.entries.iter().all(|entry| entry.standing == Standing::Current))
            .then_some(())
    });
}

fn announce(name: &str, version: &str) -> Announcement {
    Announcement {
        name: name.into(),
        incarnation: 1,
        address: "127.0.0.1:9".to_owned(),
        data_centre: "a".into(),
        kind: Kind::Model,
        backend: "m".into(),
        version: version.into(),
        adapters: Vec::new(),
        hardware: String::new(),
        concurrency: 8,
        abilities: Default::default(),
        load: Default::default(),
    }
}

fn start_move(cluster: &Cluster, name: &str, to: &str, permille: u32, within: u64) {
    let (_, status) = cluster.leader();
    let plan = Plan {
        name: name.into(),
        kind: Kind::Model,
        backend: "m".into(),
        from: "v1".into(),
        to: to.into(),
        finish_by: unix_now() + Millis(within),
        start_permille: permille,
        watch: Millis(1_000),
    };
    let base = status.config.revision;
    let order = Order { command: name.into(), operator: "ada".to_owned(), base };
    let outcome = cluster.operate(&Command::StartMove { order, plan });
    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
}

/// Returns the stage of a move, as the leader reports it.
fn stage(cluster: &Cluster, name: &str) -> Stage {
    let moves = cluster.leader().1.config.moves;
    moves.iter().find(|order| order.plan.name.as_str() == name).unwrap().stage
}

/// Guards against a move that is lost or ends twice when its leader stops: one move is taken back
/// after an owner's report to the next leader, and one is completed under the next leader.
#[test]
fn moves_go_on_under_the_next_leader_and_end_once() {
    let mut cluster = Cluster::start(3, Relays::None);
    cluster.leader();
    let entry = FakeEntry::start("e1", &cluster);
    entry.set(|state| {
        let versions = ["v1", "v1", "v2", "v2", "v3", "v3"];
        let names = ["a", "b", "c", "d", "e", "f"];
        state.checkin.endpoints =
            names.iter().zip(versions).map(|(name, version)| announce(name, version)).collect();
    });
    wait_for_view_size(&cluster, 1);
    change(&cluster, 1, 2_000);

    start_move(&cluster, "bad", "v2", 10, 600_000);
    let (leader, _) = cluster.leader();
    cluster.kill(leader);
    let evidence = |version: &str, errors, stopped| Evidence {
        name: "bad".into(),
        route: "query".into(),
        version: version.into(),
        requests: 50,
        errors,
        slow: 0,
        stopped,
    };
    entry.set(|state| {
        state.checkin.evidence = vec![evidence("v1", 0, false), evidence("v2", 40, true)];
    });
    cluster.wait_until("the end of the bad move", || {
        (stage(&cluster, "bad") == Stage::TakenBack).then_some(())
    });
    cluster.start_daemon(leader);
    let revision = cluster.leader().1.config.revision;

    entry.set(|state| state.checkin.evidence.clear());
    start_move(&cluster, "good", "v3", 1_000, 11_000);
    cluster.wait_until("the watch of the good move", || {
        matches!(stage(&cluster, "good"), Stage::Watching { .. }).then_some(())
    });
    let (leader, _) = cluster.leader();
    cluster.kill(leader);
    cluster.wait_until("the end of the good move", || {
        (stage(&cluster, "good") == Stage::Done).then_some(())
    });
    let config = cluster.leader().1.config;
    assert_eq!(config.banned, [("m".into(), "v2".into())]);
    // One revision each for start, watch and completion of the good move; the bad one does not end
    // again.
    assert_eq!(config.revision.0, revision.0 + 3, "each stage takes effect once");
}
