//! Differential tests of the queue against a plain list that is searched for each decision.
#![allow(
    clippy::unwrap_used,
    reason = "a reference implementation that fails to decide must fail the test"
)]

use std::collections::BTreeMap;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use wasabi_admission::queue::{Item, Pushed, Queue};
use wasabi_protocol::{clock::Millis, contract::Tier};

const CAPACITY: usize = 12;

fn item(ticket: u64, organisation: u8, tier: u8, tokens: u64, deadline: u64) -> Item {
    Item {
        ticket,
        organisation: format!("org{organisation}").into(),
        tier: Tier(tier),
        share: u32::from(organisation) + 1,
        tokens,
        arrived: Millis(ticket),
        start_by: Millis(deadline / 2),
        expires: Millis(deadline),
        deadline: Millis(deadline),
    }
}

/// Reference implementation of the queue: one list without indices.
#[derive(Default)]
struct Reference {
    items: Vec<Item>,
    late: Vec<u64>,
    /// Virtual start of each organisation in each tier, and the tier's virtual time.
    accounts: BTreeMap<(u8, String), f64>,
    virtual_now: BTreeMap<u8, f64>,
}

impl Reference {
    fn of(&self, tier: u8) -> impl Iterator<Item = &Item> {
        self.items.iter().filter(move |item| item.tier.0 == tier)
    }

    fn account(&self, tier: u8, organisation: &str) -> f64 {
        self.accounts.get(&(tier, organisation.to_owned())).copied().unwrap_or(0.0)
    }

    fn push(&mut self, item: Item) -> Pushed {
        let lowest = self.items.iter().map(|item| item.tier.0).max();
        if CAPACITY <= self.items.len() && lowest < Some(item.tier.0) {
            return Pushed::Refused;
        }
        let (ticket, tier, name) = (item.ticket, item.tier.0, item.organisation.to_string());
        if !self.of(tier).any(|other| other.organisation == item.organisation) {
            let floor = self.virtual_now.get(&tier).copied().unwrap_or(0.0);
            let start = self.account(tier, &name).max(floor);
            self.accounts.insert((tier, name), start);
        }
        self.items.push(item);
        if self.items.len() <= CAPACITY {
            return Pushed::Queued;
        }
        let lowest = lowest.unwrap_or(0);
        let backlog = |organisation: &str| {
            let of = self.of(lowest).filter(|item| item.organisation.as_str() == organisation);
            let (tokens, share) = of.fold((0, 1), |(sum, _), item| (sum + item.tokens, item.share));
            tokens as f64 / f64::from(share)
        };
        let most = self.of(lowest).map(|item| backlog(item.organisation.as_str()));
        let most = most.fold(0.0, f64::max);
        let shed = self
            .of(lowest)
            .filter(|item| backlog(item.organisation.as_str()) == most)
            .max_by_key(|item| item.ticket)
            .unwrap()
            .ticket;
        self.items.retain(|item| item.ticket != shed);
        if shed == ticket { Pushed::Refused } else { Pushed::Displaced(shed) }
    }

    fn next(&self) -> Option<u64> {
        let tier = self.items.iter().map(|item| item.tier.0).min()?;
        let key = |item: &Item| {
            let name = item.organisation.to_string();
            let is_late = self.late.contains(&item.ticket);
            (self.account(tier, &name), name, is_late, item.deadline, item.ticket)
        };
        self.of(tier).min_by(|a, b| key(a).partial_cmp(&key(b)).unwrap()).map(|item| item.ticket)
    }

    fn start(&mut self, ticket: u64) {
        let index = self.items.iter().position(|item| item.ticket == ticket).unwrap();
        let item = self.items.remove(index);
        let (tier, name) = (item.tier.0, item.organisation.to_string());
        let start = self.account(tier, &name);
        let floor = self.virtual_now.entry(tier).or_insert(0.0);
        *floor = floor.max(start);
        self.accounts.insert((tier, name), start + item.tokens as f64 / f64::from(item.share));
        if self.of(tier).next().is_none() {
            self.accounts.retain(|(other, _), _| *other != tier);
            self.virtual_now.remove(&tier);
        }
    }
}

#[derive(Debug, Clone)]
enum Step {
    Push { organisation: u8, tier: u8, tokens: u64, deadline: u64 },
    Start,
    Cancel(u64),
    Expire(u64),
    Age(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        // Powers of two keep the quotients exact in both implementations for shares 1, 2 and 4.
        5 => (0..2_u8, 0..5_u8, 0..12_u32, 1..500_u64).prop_map(
            |(organisation, tier, tokens, deadline)| Step::Push {
                organisation, tier, tokens: 4 << tokens, deadline,
            }
        ),
        3 => Just(Step::Start),
        1 => (0..200_u64).prop_map(Step::Cancel),
        1 => (0..500_u64).prop_map(Step::Expire),
        1 => (0..250_u64).prop_map(Step::Age),
    ];
    proptest::collection::vec(step, 1..200)
}

fn config(seed: u64) -> Config {
    Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(11))]

    /// Guards the start order, the choice of the shed request, and expiry: an inconsistent index shows
    /// as a difference from the reference.
    #[test]
    fn agrees_with_the_reference(steps in steps()) {
        let (mut queue, mut reference) = (Queue::new(CAPACITY), Reference::default());
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Push { organisation, tier, tokens, deadline } => {
                    let item = item(number as u64, organisation, tier, tokens, deadline);
                    prop_assert_eq!(queue.push(item.clone()), reference.push(item));
                }
                Step::Start => {
                    let next = Tier::all()
                        .find_map(|tier| queue.candidates(tier, 1).next().map(|item| item.ticket));
                    prop_assert_eq!(next, reference.next());
                    if let Some(ticket) = next {
                        prop_assert!(queue.start(ticket).is_some());
                        reference.start(ticket);
                    }
                }
                Step::Cancel(ticket) => {
                    let removed = queue.remove(ticket).is_some();
                    let before = reference.items.len();
                    reference.items.retain(|item| item.ticket != ticket);
                    prop_assert_eq!(removed, reference.items.len() < before);
                }
                Step::Age(now) => {
                    let due = reference.items.iter().filter(|item| item.start_by < Millis(now));
                    let mut due: Vec<_> = due.map(|item| item.ticket).collect();
                    due.retain(|ticket| !reference.late.contains(ticket));
                    let mut late = queue.mark_late(Millis(now), Millis::ZERO);
                    late.sort_unstable();
                    prop_assert_eq!(&late, &due);
                    reference.late.extend(late);
                }
                Step::Expire(now) => {
                    let mut expired: Vec<_> =
                        queue.expire(Millis(now)).iter().map(|item| item.ticket).collect();
                    expired.sort_unstable();
                    let due = reference.items.iter().filter(|item| item.deadline <= Millis(now));
                    let mut due: Vec<_> = due.map(|item| item.ticket).collect();
                    due.sort_unstable();
                    prop_assert_eq!(expired, due);
                    reference.items.retain(|item| Millis(now) < item.deadline);
                }
            }
            prop_assert_eq!(queue.len(), reference.items.len());
            prop_assert!(queue.len() <= CAPACITY);
            for tier in Tier::all() {
                let on_time = reference.of(tier.0).filter(|item| !reference.late.contains(&item.ticket));
                let due = on_time.map(|item| item.start_by).min();
                prop_assert_eq!(queue.first_due(tier), due);
                let oldest = reference.of(tier.0).map(|item| (item.arrived, item.ticket)).min();
                let found = queue.by_arrival(tier).next().map(|item| (item.arrived, item.ticket));
                prop_assert_eq!(found, oldest);
            }
        }
    }
}

/// Guards the fair shares: while all organisations are backlogged, started tokens are in proportion
/// to the shares, to within one request each. The share of an idle organisation goes to the others
/// until its next request.
#[test]
fn divides_a_backlogged_tier_by_share_and_restores_an_idle_share() {
    let mut queue = Queue::new(10_000);
    let push = |queue: &mut Queue, organisation: u8, count: u64, from: u64| {
        for ticket in from..from + count {
            // Request sizes differ by a factor of 100.
            let tokens = 10 + (ticket * 7_919) % 991;
            queue.push(item(ticket, organisation, 1, tokens, 1_000_000 + ticket));
        }
    };
    let started = |queue: &mut Queue, count: usize| {
        let mut tokens = [0_u64; 4];
        for _ in 0..count {
            let ticket = queue.candidates(Tier(1), 1).next().unwrap().ticket;
            let item = queue.start(ticket).unwrap();
            tokens[item.share as usize - 1] += item.tokens;
        }
        tokens
    };
    push(&mut queue, 0, 2_000, 0);
    push(&mut queue, 3, 2_000, 10_000);
    let tokens = started(&mut queue, 1_000);
    let difference = tokens[0] as f64 - tokens[3] as f64 / 4.0;
    assert!(difference.abs() <= 2_000.0, "shares 1 and 4 got {tokens:?}");
    push(&mut queue, 1, 500, 20_000);
    let tokens = started(&mut queue, 700);
    let difference = tokens[1] as f64 / 2.0 - tokens[3] as f64 / 4.0;
    assert!(difference.abs() <= 2_000.0, "idle time gives neither credit nor debt: {tokens:?}");
}

/// Guards against memory that grows with the number of organisations that ever sent a request.
#[test]
fn keeps_no_account_of_organisations_without_waiting_requests() {
    let mut queue = Queue::new(16);
    for number in 0..10_000_u64 {
        let mut next = item(number, 0, 1, 100, number + 1_000);
        next.organisation = format!("org{number}").into();
        queue.push(next);
        if number % 3 == 0 {
            queue.expire(Millis(number + 990));
        }
        if number % 2 == 0 {
            let ticket = queue.candidates(Tier(1), 1).next().map(|item| item.ticket);
            ticket.map(|ticket| queue.start(ticket));
        }
    }
    assert!(
        queue.account_count() <= 1_024 + 16,
        "the queue keeps {} accounts",
        queue.account_count()
    );
}
