//! Tests of a single member through its connections.
#![allow(clippy::unwrap_used, reason = "a test fails at the first error")]

use jsonrpsee::{
    core::client::ClientT as _,
    rpc_params,
    ws_client::{WsClient, WsClientBuilder},
};
use serde::{Serialize, de::DeserializeOwned};
use wasabi_control::{Batching, Contacts, Options, Running};
use wasabi_protocol::{
    clock::Millis,
    command::{Command, Config, Duty, Entry, Key, Order, Outcome},
    contract::{Contract, Limits, Repeat, Route, Target, Tier},
    fault::{Fault, Kind},
    fingerprint, id,
    rpc::{Checkin, CheckinReply, CommandReply, CommandRequest, Propose, Proposed, Step, method},
};
use wasabi_telemetry::metrics;

const CREDENTIAL: &str = "operator";

fn options(data: &std::path::Path) -> Options {
    Options {
        name: "m1".into(),
        listen: ([127, 0, 0, 1], 0).into(),
        data: data.to_owned(),
        members: vec![("m1".into(), "127.0.0.1:1".to_owned())],
        contacts: Contacts::default(),
        self_repair: false,
        operator_digests: vec![fingerprint::token(CREDENTIAL)],
        snapshot_every: 100,
        batching: Batching::Shared,
        metrics: Default::default(),
    }
}

async fn call<A: DeserializeOwned>(client: &WsClient, name: &str, message: impl Serialize) -> A {
    client.request(name, rpc_params![message]).await.unwrap()
}

fn checkin(revision: u64) -> Checkin {
    Checkin {
        entry: Entry {
            name: "e1".into(),
            caller_address: "127.0.0.1:10".to_owned(),
            peer_address: "127.0.0.1:11".to_owned(),
            data_centre: "a".into(),
            region: "r".into(),
            capacity: 1_000,
            started: Millis::ZERO,
            duty: Duty::Serving,
        },
        revision: id::Revision(revision),
        site: None,
        known: Vec::new(),
        evidence: Vec::new(),
        endpoints: Vec::new(),
        suspects: Vec::new(),
        degraded: Vec::new(),
        fetches: false,
    }
}

fn contract() -> Contract {
    Contract {
        organisation: "org".into(),
        token_digests: vec![fingerprint::token("secret")],
        share: 1,
        limits: Limits { requests_per_s: 10, tokens_per_s: 1_000, concurrency: 4, burst: None },
        routes: vec![Route {
            name: "query".into(),
            tier: Tier::TOP,
            target: Target::Model { name: "m".into() },
            repeat: Repeat::Idempotent,
            first_token_ms: Millis(500),
            between_tokens_ms: Millis(50),
            deadline_ms: Millis(5_000),
        }],
    }
}

/// Sends heartbeats until control answers with the given revision or a later one.
async fn heartbeat_until(client: &WsClient, revision: u64) {
    let mut held = 0;
    for _ in 0..500 {
        match call(client, method::CONTROL_HEARTBEAT, checkin(held)).await {
            CheckinReply::Heard { config, .. } => {
                held = config.map_or(held, |config| config.revision.0);
                if revision <= held {
                    let _: CheckinReply =
                        call(client, method::CONTROL_HEARTBEAT, checkin(held)).await;
                    return;
                }
            }
            CheckinReply::NotLeader { .. } => {}
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    panic!("timed out waiting for revision {revision}");
}

/// Guards against metrics that keep their initial values.
#[test]
fn leader_metrics_are_updated() {
    actix_rt::System::new().block_on(async {
        let directory = tempfile::tempdir().unwrap();
        let options = options(directory.path());
        let registry = options.metrics.registry();
        let running = Running::start(options).await.unwrap();
        let url = format!("ws://{}", running.address());
        let client = WsClientBuilder::default().build(&url).await.unwrap();
        heartbeat_until(&client, 1).await;
        let expected = ["control_leading 1", "control_revision 1", "control_serving_entries 1"];
        for _ in 0..500 {
            let page = metrics::encode(&registry);
            if expected.iter().all(|line| page.contains(line)) {
                return;
            }
            actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        panic!("{expected:?} is missing from {}", metrics::encode(&registry));
    });
}

/// Guards against a check-in answer that is delayed by a large configuration, although it serves as
/// a sign of life, and against an entry that cannot fetch the configuration.
#[test]
fn a_check_in_of_an_entry_that_fetches_is_answered_without_the_configuration() {
    actix_rt::System::new().block_on(async {
        let directory = tempfile::tempdir().unwrap();
        let options = options(directory.path());
        let registry = options.metrics.registry();
        let running = Running::start(options).await.unwrap();
        let url = format!("ws://{}", running.address());
        let client = WsClientBuilder::default().build(&url).await.unwrap();
        heartbeat_until(&client, 1).await;
        let checkin = Checkin { fetches: true, ..checkin(0) };
        let checked: CheckinReply = call(&client, method::CONTROL_HEARTBEAT, checkin).await;
        let CheckinReply::Heard { revision, config, .. } = checked else { panic!("{checked:?}") };
        assert_eq!((revision, config), (id::Revision(1), None));
        let config: Config = client.request(method::CONFIG, rpc_params![]).await.unwrap();
        assert_eq!(config.revision, id::Revision(1));
        let page = metrics::encode(&registry);
        assert!(page.contains("config_answers_total{extent="), "{page}");
    });
}

/// Guards against commands without a credential, forged messages of members, an answer before the
/// change is in force at the entry, and entries that never receive the change.
#[test]
fn change_is_answered_once_it_is_in_force() {
    actix_rt::System::new().block_on(async {
        let directory = tempfile::tempdir().unwrap();
        let mut running = Running::start(options(directory.path())).await.unwrap();
        let url = format!("ws://{}", running.address());
        let client = WsClientBuilder::default().build(&url).await.unwrap();
        let operator = WsClientBuilder::default().build(&url).await.unwrap();
        heartbeat_until(&client, 1).await;

        let command = Command::ApplyContract {
            order: Order {
                command: "c1".into(),
                operator: "ada".to_owned(),
                base: id::Revision(1),
            },
            contract: contract(),
        };
        let operate = |credential: &str| CommandRequest {
            credential: credential.to_owned(),
            command: command.clone(),
            wait: Millis::from_secs(10),
        };
        let refused: CommandReply = call(&operator, method::OPERATE, operate("guess")).await;
        assert!(matches!(
            refused,
            CommandReply::Refused(Fault { kind: Kind::OperatorUnauthorized, .. })
        ));
        let proposed = Propose { command: command.clone() };
        let unauthorized: Proposed = call(&client, method::PROPOSE, proposed).await;
        assert!(
            matches!(unauthorized, Proposed::Committed(Outcome::Refused { .. })),
            "an order requires a credential: {unauthorized:?}"
        );

        let answer = call::<CommandReply>(&operator, method::OPERATE, operate(CREDENTIAL));
        let (answer, ()) = tokio::join!(answer, heartbeat_until(&client, 2));
        let CommandReply::Committed { outcome, force } = answer else { panic!("{answer:?}") };
        assert_eq!(outcome, Outcome::Accepted { revision: id::Revision(2) });
        assert_eq!((force.confirmed, force.behind), (vec!["e1".into()], Vec::new()));

        let record = Propose {
            command: Command::RecordDispatch {
                key: Key { organisation: "org".into(), key: "k".into() },
                created: None,
                body: u128::MAX,
                attempt: id::Attempt(1),
                entry: "e1".into(),
            },
        };
        let recorded: Proposed = call(&client, method::PROPOSE, record).await;
        assert_eq!(recorded, Proposed::Committed(Outcome::Recorded));
        let forged = |proof: String| Step {
            part: None,
            from: "m2".into(),
            address: "127.0.0.1:1".to_owned(),
            proofs: vec![proof],
            to: "m1".into(),
            messages: "AA==".to_owned(),
        };
        for (proof, is_accepted) in [
            (fingerprint::token("guess"), false),
            (fingerprint::token(CREDENTIAL), false),
            (fingerprint::token(&format!("member {}", fingerprint::token(CREDENTIAL))), true),
        ] {
            let answer: Result<(), _> =
                client.request(method::CONSENSUS, rpc_params![forged(proof)]).await;
            assert_eq!(
                answer.is_ok(),
                is_accepted,
                "messages of members require a valid proof: {answer:?}"
            );
        }
        running.stop();
        running.ended().await.unwrap();
    });
}
