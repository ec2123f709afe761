//! Configurations that take longer than the answer to a check-in may.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

mod support;

use std::time::{Duration, Instant};

use awc::http::StatusCode;
use jsonrpsee::{core::client::ClientT as _, rpc_params, ws_client::WsClientBuilder};
use rstest::rstest;
use serde_json::Value;
use support::{
    Entry, TOKEN, contracts,
    control::{Control, order},
    start_service, wait_until,
};
use wasabi_protocol::{
    command::{Command, Outcome},
    contract::Contract,
    fingerprint,
    rpc::method,
};
use wasabi_testkit::relay::{Direction, Relay};

/// Bytes that pass from control to the entry in a second.
const RATE: u32 = 100_000;

/// Routes of the large contract; it takes more than two seconds at [`RATE`].
const ROUTES: usize = 1_500;

/// A contract whose routes make it large.
fn large() -> Contract {
    let mut all: Vec<Contract> = serde_json::from_value(contracts()).unwrap();
    let mut contract = all.remove(0);
    let route = contract.routes.remove(0);
    contract.organisation = "large".into();
    contract.token_digests = vec![fingerprint::token("large")];
    contract.routes = (0..ROUTES)
        .map(|number| {
            let mut route = route.clone();
            route.name = format!("query-{number}").as_str().into();
            route
        })
        .collect();
    contract
}

fn add_large(control: &Control) {
    let contract = large();
    let bytes = serde_json::to_vec(&contract).unwrap().len();
    assert!(2 * (RATE as usize) < bytes, "{bytes}");
    apply(control, "large", contract);
}

fn apply(control: &Control, command: &str, contract: Contract) {
    let order = order(control, command);
    let outcome = control.apply(&Command::ApplyContract { order, contract });
    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
}

async fn wait_until_in_force(entry: &Entry, control: &Control) {
    let address = format!("ws://{}", entry.daemon.peers());
    let client = WsClientBuilder::default().build(address).await.unwrap();
    wait_until("the newest revision is in force", async || {
        let held: Value = client.request(method::CONFIG, rpc_params![]).await.unwrap();
        held["revision"] == control.config().revision.0
    })
    .await;
}

async fn wait_until_serving(entry: &Entry) {
    let caller = entry.caller();
    wait_until("the entry serves", async || {
        let request = caller
            .request("POST", "/services/desk/repeatable")
            .insert_header(("authorization", format!("Bearer {TOKEN}")))
            .insert_header(("x-wasabi-deadline-ms", "1000"));
        caller.send(request, "body".to_owned()).await.status == StatusCode::OK
    })
    .await;
}

/// Guards against a change that never comes into force at an entry, since the answer to each
/// check-in carries the configuration and is given up before it has come.
#[actix_rt::test]
async fn a_change_that_takes_longer_than_a_check_in_comes_into_force() {
    let control = Control::start().await;
    let relay = Relay::start(control.address().parse().unwrap()).unwrap();
    let entry = Entry::with_control("e1", &relay.address().to_string(), "");
    let _service = start_service("s1", &[&entry]);
    wait_until_serving(&entry).await;
    relay.limit(Direction::Backward, RATE);
    add_large(&control);
    wait_until_in_force(&entry, &control).await;
    wait_until_serving(&entry).await;
    entry.daemon.kill();
}

/// Guards against an entry that never finds its first configuration when that is large.
#[actix_rt::test]
async fn a_first_configuration_that_takes_longer_than_a_check_in_comes_into_force() {
    let control = Control::start().await;
    add_large(&control);
    let relay = Relay::start(control.address().parse().unwrap()).unwrap();
    relay.limit(Direction::Backward, RATE);
    let entry = Entry::with_control("e1", &relay.address().to_string(), "");
    let _service = start_service("s1", &[&entry]);
    wait_until_in_force(&entry, &control).await;
    wait_until_serving(&entry).await;
    entry.daemon.kill();
}

/// Guards against an entry that takes nothing from a leader of an earlier version, and against one
/// that takes nothing from a leader of this version after that.
#[rstest]
#[case::earlier(true)]
#[case::this(false)]
#[actix_rt::test]
async fn an_entry_follows_leaders_of_both_versions(#[case] carries: bool) {
    let control = Control::start().await;
    control.set_sends_config(carries);
    let entry = Entry::with_control("e1", &control.address(), "");
    let _service = start_service("s1", &[&entry]);
    wait_until_serving(&entry).await;
    for is_earlier in [!carries, carries] {
        control.set_sends_config(is_earlier);
        let contract = Contract { share: 3 + u32::from(is_earlier), ..large() };
        apply(&control, &format!("large-{is_earlier}"), contract);
        wait_until_in_force(&entry, &control).await;
    }
    wait_until_serving(&entry).await;
    entry.daemon.kill();
}

/// Longest time for a change of some bytes at an entry that is alone in its view: two check-ins, and
/// the fetch.
const SOON: Duration = Duration::from_millis(1_500);

/// Guards against an entry that waits for peers that it does not have.
#[actix_rt::test]
async fn an_entry_alone_asks_control_at_once() {
    let control = Control::start().await;
    let entry = Entry::with_control("e1", &control.address(), "");
    wait_until_in_force(&entry, &control).await;
    wait_until("the entry is in the view", async || !control.config().view.entries.is_empty())
        .await;
    let started = Instant::now();
    let mut small = large();
    small.routes.truncate(1);
    apply(&control, "small", small);
    wait_until_in_force(&entry, &control).await;
    let took = started.elapsed();
    assert!(took < SOON, "{took:?}");
    entry.daemon.kill();
}
