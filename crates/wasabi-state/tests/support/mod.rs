//! Builders of commands that the tests of this crate share.
#![allow(dead_code, reason = "each test file uses some of the builders")]

use wasabi_protocol::{
    clock::Millis,
    command::{Command, Duty, Entry, Kept, Key, Order, Plan},
    contract::{Contract, Limits, Repeat, Route, Target, Tier},
    endpoint, fault, fingerprint, id,
};

pub(crate) fn contract(organisation: &str, share: u32) -> Contract {
    let route = Route {
        name: "query".into(),
        tier: Tier::TOP,
        target: Target::Model { name: "m".into() },
        repeat: Repeat::Idempotent,
        first_token_ms: Millis(500),
        between_tokens_ms: Millis(50),
        deadline_ms: Millis(5_000),
    };
    Contract {
        organisation: organisation.into(),
        token_digests: vec![fingerprint::token("secret")],
        share,
        limits: Limits { requests_per_s: 10, tokens_per_s: 1_000, concurrency: 4, burst: None },
        routes: vec![route],
    }
}

pub(crate) fn order(command: &str, operator: &str, base: u64) -> Order {
    Order { command: command.into(), operator: operator.to_owned(), base: id::Revision(base) }
}

pub(crate) fn apply(command: &str, operator: &str, base: u64, share: u32) -> Command {
    Command::ApplyContract {
        order: order(command, operator, base),
        contract: contract("org", share),
    }
}

pub(crate) fn plan(name: &str, to: &str) -> Plan {
    Plan {
        name: name.into(),
        kind: endpoint::Kind::Model,
        backend: "m".into(),
        from: "v1".into(),
        to: to.into(),
        finish_by: Millis(1_000_000),
        start_permille: 10,
        watch: Millis(60_000),
    }
}

pub(crate) fn entry(name: &str) -> Entry {
    Entry {
        name: name.into(),
        caller_address: "127.0.0.1:1".to_owned(),
        peer_address: "127.0.0.1:2".to_owned(),
        data_centre: "a".into(),
        region: "r".into(),
        capacity: 1_000,
        started: Millis::ZERO,
        duty: Duty::Serving,
    }
}

pub(crate) fn key(name: &str) -> Key {
    Key { organisation: "org".into(), key: name.into() }
}

pub(crate) fn record(name: &str, attempt: u128, body: u128, created: Option<u64>) -> Command {
    Command::RecordDispatch {
        key: key(name),
        created: created.map(Millis),
        body,
        attempt: id::Attempt(attempt),
        entry: "e1".into(),
    }
}

pub(crate) fn release(name: &str, attempt: u128) -> Command {
    Command::ReleaseDispatch { key: key(name), attempt: id::Attempt(attempt) }
}

pub(crate) fn finish(name: &str, attempt: u128, body: &str) -> Command {
    Command::FinishDispatch { key: key(name), attempt: id::Attempt(attempt), kept: kept(body) }
}

pub(crate) fn kept(body: &str) -> Kept {
    Kept {
        ran: fault::Ran::Ran,
        status: Some(200),
        content_type: "text/plain".to_owned(),
        body: Some(body.to_owned()),
    }
}

pub(crate) fn lease(holder: &str, span: u64) -> Command {
    Command::GrantOrderLease { holder: holder.into(), span: Millis(span) }
}
