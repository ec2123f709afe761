//! Compares the machine with a naive version that keeps one map and scans it whole.

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
use wasabi_state::{Machine, RELEASED_KEPT};

/// Everything that the naive version keeps, in one map by text.
#[derive(Debug, Clone)]
enum Slot {
    Share(u32),
    Result(u64, Command, Outcome),
    Record { changed: u64, body: u128, attempt: id::Attempt, kept: Option<Kept> },
    Released(u64),
    Lease { holder: id::Member, until: u64, span: u64, not_before: u64, fence: u64 },
}

#[derive(Default)]
struct Naive {
    map: BTreeMap<String, Slot>,
    now: u64,
    revision: u64,
    operator: String,
    change: String,
}

impl Naive {
    fn apply(&mut self, now: u64, command: &Command) -> Outcome {
        self.now = self.now.max(now);
        let now = self.now;
        self.map.retain(|_, slot| match slot {
            Slot::Released(at) => now - *at < RELEASED_KEPT.0,
            Slot::Result(at, ..) => now - *at < KEY_RETENTION.0,
            _ => true,
        });
        match command {
            Command::ApplyContract { order, contract } => {
                let name = format!("result {}", order.command);
                if let Some(Slot::Result(_, first, outcome)) = self.map.get(&name) {
                    let is_same = matches!(first, Command::ApplyContract { contract: held, .. }
                        if held == contract);
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
                    let share = Slot::Share(contract.share);
                    self.map.insert(format!("contract {}", contract.organisation), share);
                    Outcome::Accepted { revision: id::Revision(self.revision) }
                } else {
                    Outcome::Conflict {
                        revision: id::Revision(self.revision),
                        operator: self.operator.clone(),
                        change: self.change.clone(),
                    }
                };
                self.map.insert(name, Slot::Result(now, command.clone(), outcome.clone()));
                outcome
            }
            Command::RecordDispatch { key, created, body, attempt, entry } => {
                let name = format!("key {}", key.key);
                if let Some(Slot::Record { body: first, attempt: holder, kept, .. }) =
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
                let slot =
                    Slot::Record { changed: now, body: *body, attempt: *attempt, kept: None };
                self.map.insert(name, slot);
                Outcome::Recorded
            }
            Command::ReleaseDispatch { key, attempt } => {
                let name = format!("key {}", key.key);
                self.map.entry(format!("released {attempt}")).or_insert(Slot::Released(now));
                match self.map.get(&name) {
                    Some(Slot::Record { attempt: holder, kept: None, .. }) if holder == attempt => {
                        self.map.remove(&name);
                        Outcome::Done
                    }
                    _ => Outcome::NoRecord,
                }
            }
            Command::FinishDispatch { key, attempt, kept: new } => {
                match self.map.get_mut(&format!("key {}", key.key)) {
                    Some(Slot::Record { attempt: holder, kept, changed, .. })
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
                self.map.retain(|_, slot| match slot {
                    Slot::Record { changed, .. } => now - *changed < KEY_RETENTION.0,
                    _ => true,
                });
                Outcome::Done
            }
        }
    }

    fn lease(&mut self, asking: &id::Member, asked: u64) -> Outcome {
        let now = self.now;
        let (mut slot_span, mut wait_until, mut number) = (asked, 0, 1);
        if let Some(Slot::Lease { holder, until, span, not_before, fence }) = self.map.get("lease")
        {
            (wait_until, number) = (*not_before, *fence);
            if holder == asking {
                slot_span = asked.max(*span);
            } else if now < *until {
                let remaining = Millis(until - now);
                return Outcome::LeaseHeld { holder: holder.clone(), remaining };
            } else {
                wait_until = wait_until.max(now + span + span.div_ceil(10));
                number += 1;
            }
        }
        let (holder, until, span) = (asking.clone(), now + asked, slot_span);
        let lease = Slot::Lease { holder, until, span, not_before: wait_until, fence: number };
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

/// Steps of time: mostly short, some past the memory of releases, a few near the retention.
fn step() -> impl Strategy<Value = u64> {
    prop_oneof![8 => 0..2_000_u64, 1 => Just(RELEASED_KEPT.0), 1 => 86_000_000..86_500_000_u64]
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(0x5741_5341),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against any outcome that differs from the naive version's, at any time, with a
    /// snapshot and restore at random points.
    #[test]
    fn outcomes_equal_the_naive_version(
        steps in prop::collection::vec((step(), command(), 0..10_u8), 1..120),
    ) {
        let (mut machine, mut naive, mut now) = (Machine::new(), Naive::default(), 90_000_000);
        for (index, (span, command, dice)) in steps.iter().enumerate() {
            now += span;
            let before = machine.revision();
            let mut outcome = machine.apply(index as u64 + 1, Millis(now), command);
            if let Outcome::Refused { problems } = &mut outcome {
                problems.clear();
            }
            prop_assert_eq!(outcome, naive.apply(now, command));
            prop_assert!(before <= machine.revision(), "the revision fell");
            if *dice == 0 {
                let bytes = machine.snapshot().unwrap();
                machine = Machine::restore(&bytes).unwrap();
                prop_assert_eq!(machine.snapshot().unwrap(), bytes);
            }
        }
        let shares: Vec<u32> = machine.config().contracts.iter().map(|held| held.share).collect();
        let expected: Vec<u32> = naive.map.values().filter_map(|slot| match slot {
            Slot::Share(share) => Some(*share),
            _ => None,
        }).collect();
        prop_assert_eq!(shares, expected);
    }
}
