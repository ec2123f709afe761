//! Compares the state machine with a reference model that keeps one map and scans all of it.

mod support;

use std::collections::BTreeMap;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use support::{apply, finish, lease, record, release};
use wasabi_protocol::{
    clock::Millis,
    command::{Command, KEY_RETENTION, Kept, Outcome},
    id,
};
use wasabi_state::{Machine, RELEASE_RETENTION};

/// An entry in the map of the reference model.
#[derive(Debug, Clone)]
enum Item {
    Share(u32),
    Result(u64, Command, Outcome),
    Record { changed: u64, body: u128, attempt: id::Attempt, kept: Option<Kept> },
    Released(u64),
    Lease { holder: id::Member, until: u64, span: u64, not_before: u64, fence: u64 },
}

/// Reference model of the state machine.
#[derive(Default)]
struct Model {
    /// Entries by their kind and name.
    map: BTreeMap<String, Item>,
    now: u64,
    revision: u64,
    operator: String,
    change: String,
}

impl Model {
    fn apply(&mut self, now: u64, command: &Command) -> Outcome {
        self.now = self.now.max(now);
        let now = self.now;
        self.map.retain(|_, item| match item {
            Item::Released(at) => now - *at < RELEASE_RETENTION.0,
            Item::Result(at, ..) => now - *at < KEY_RETENTION.0,
            _ => true,
        });
        match command {
            Command::ApplyContract { order, contract } => {
                let name = format!("result {}", order.command);
                if let Some(Item::Result(_, first, outcome)) = self.map.get(&name) {
                    let is_same = matches!(first, Command::ApplyContract { contract: other, .. }
                        if other == contract);
                    return if is_same {
                        outcome.clone()
                    } else {
                        Outcome::Refused { problems: Vec::new() }
                    };
                }
                let outcome = if order.base.0 == self.revision {
                    self.revision += 1;
                    self.operator = order.operator.clone();
                    self.change = format!("applied the contract of {}", contract.organisation);
                    let share = Item::Share(contract.share);
                    self.map.insert(format!("contract {}", contract.organisation), share);
                    Outcome::Accepted { revision: id::Revision(self.revision) }
                } else {
                    Outcome::Conflict {
                        revision: id::Revision(self.revision),
                        operator: self.operator.clone(),
                        change: self.change.clone(),
                    }
                };
                self.map.insert(name, Item::Result(now, command.clone(), outcome.clone()));
                outcome
            }
            Command::RecordDispatch { key, created, body, attempt, entry } => {
                let name = format!("key {}", key.key);
                if let Some(Item::Record { body: first, attempt: holder, kept, .. }) =
                    self.map.get(&name)
                {
                    return match kept {
                        _ if first != body => Outcome::KeyReused,
                        Some(kept) => Outcome::Finished(kept.clone()),
                        None if holder == attempt => Outcome::Recorded,
                        None => Outcome::Pending { attempt: *holder, entry: entry.clone() },
                    };
                }
                if self.map.contains_key(&format!("released {attempt}")) {
                    return Outcome::NoRecord;
                }
                if created.is_some_and(|created| 86_100_000 < now.saturating_sub(created.0)) {
                    return Outcome::KeyExpired;
                }
                let item =
                    Item::Record { changed: now, body: *body, attempt: *attempt, kept: None };
                self.map.insert(name, item);
                Outcome::Recorded
            }
            Command::ReleaseDispatch { key, attempt } => {
                let name = format!("key {}", key.key);
                self.map.entry(format!("released {attempt}")).or_insert(Item::Released(now));
                match self.map.get(&name) {
                    Some(Item::Record { attempt: holder, kept: None, .. }) if holder == attempt => {
                        self.map.remove(&name);
                        Outcome::Done
                    }
                    _ => Outcome::NoRecord,
                }
            }
            Command::FinishDispatch { key, attempt, kept: new } => {
                match self.map.get_mut(&format!("key {}", key.key)) {
                    Some(Item::Record { attempt: holder, kept, changed, .. })
                        if holder == attempt =>
                    {
                        if kept.is_none() {
                            (*kept, *changed) = (Some(new.clone()), now);
                        }
                        Outcome::Done
                    }
                    _ => Outcome::NoRecord,
                }
            }
            Command::GrantOrderLease { holder, span } => self.lease(holder, span.0),
            _ => {
                self.map.retain(|_, item| match item {
                    Item::Record { changed, .. } => now - *changed < KEY_RETENTION.0,
                    _ => true,
                });
                Outcome::Done
            }
        }
    }

    fn lease(&mut self, requester: &id::Member, requested_span: u64) -> Outcome {
        let now = self.now;
        let (mut longest_span, mut wait_until, mut number) = (requested_span, 0, 1);
        if let Some(Item::Lease { holder, until, span, not_before, fence }) = self.map.get("lease")
        {
            (wait_until, number) = (*not_before, *fence);
            if holder == requester {
                longest_span = requested_span.max(*span);
            } else if now < *until {
                let remaining = Millis(until - now);
                return Outcome::LeaseHeld { holder: holder.clone(), remaining };
            } else {
                wait_until = wait_until.max(now + span + span.div_ceil(10));
                number += 1;
            }
        }
        let (holder, until, span) = (requester.clone(), now + requested_span, longest_span);
        let lease = Item::Lease { holder, until, span, not_before: wait_until, fence: number };
        self.map.insert("lease".to_owned(), lease);
        let wait = Millis(wait_until.saturating_sub(now));
        Outcome::Leased { fence: id::Fence(number), wait }
    }
}

fn command() -> impl Strategy<Value = Command> {
    let key = prop_oneof!["a", "b", "c"];
    prop_oneof![
        (0..12_u8, 0..6_u64, 1..3_u32).prop_map(|(id, base, share)| apply(
            &format!("c{id}"),
            "ada",
            base,
            share
        )),
        (key.clone(), 0..6_u128, 0..8_u128, proptest::option::of(0..90_000_000_u64)).prop_map(
            |(key, attempt, body, created)| record(&key, attempt, u128::from(body == 0), created)
        ),
        (key.clone(), 0..6_u128).prop_map(|(key, attempt)| release(&key, attempt)),
        (key, 0..6_u128, 0..3_u8).prop_map(|(key, attempt, body)| finish(
            &key,
            attempt,
            &body.to_string()
        )),
        (prop_oneof!["m1", "m2"], 1..3_000_u64).prop_map(|(holder, span)| lease(&holder, span)),
        Just(Command::ExpireKeys),
    ]
}

/// Time steps: mostly short, some as long as the retention of releases, a few near the retention of
/// records.
fn step() -> impl Strategy<Value = u64> {
    prop_oneof![8 => 0..2_000_u64, 1 => Just(RELEASE_RETENTION.0), 1 => 86_000_000..86_500_000_u64]
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(0x5741_5341),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against outcomes that differ from the reference model's, with a snapshot and restore
    /// at random points.
    #[test]
    fn outcomes_equal_the_reference_model(
        steps in prop::collection::vec((step(), command(), 0..10_u8), 1..120),
    ) {
        let (mut machine, mut model, mut now) = (Machine::new(), Model::default(), 90_000_000);
        for (index, (span, command, roll)) in steps.iter().enumerate() {
            now += span;
            let before = machine.revision();
            let mut outcome = machine.apply(index as u64 + 1, Millis(now), command);
            if let Outcome::Refused { problems } = &mut outcome {
                problems.clear();
            }
            prop_assert_eq!(outcome, model.apply(now, command));
            prop_assert!(before <= machine.revision(), "the revision decreased");
            if *roll == 0 {
                let bytes = machine.snapshot().unwrap();
                machine = Machine::restore(&bytes).unwrap();
                prop_assert_eq!(machine.snapshot().unwrap(), bytes);
            }
        }
        let shares: Vec<u32> =
            machine.config().contracts.iter().map(|contract| contract.share).collect();
        let expected: Vec<u32> = model.map.values().filter_map(|item| match item {
            Item::Share(share) => Some(*share),
            _ => None,
        }).collect();
        prop_assert_eq!(shares, expected);
    }
}
