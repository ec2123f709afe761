//! Property tests: random events against invariants that hold after each step.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{announcement, config, release, request, rollout};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use wasabi_protocol::{clock::Millis, command::Stage, fault::Ran, id, request::End, rpc::Grant};
use wasabi_scheduler::pool::{Action, Event, Pool};

const CONCURRENCY: u32 = 3;

#[derive(Debug, Clone)]
enum Step {
    Acquire { tier: u8, organisation: u8, body: u64, avoid: u8, remaining: u64 },
    Release { pick: usize, end: u8, first_token: bool },
    Cancel(u64),
    Announce { endpoint: u8, incarnation: u64 },
    Leave(u8),
    Ban,
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (0..5_u8, 0..3_u8, 0..12_u64, 0..6_u8, 100..9_000_u64).prop_map(
            |(tier, organisation, body, avoid, remaining)| Step::Acquire {
                tier, organisation, body, avoid, remaining,
            }
        ),
        6 => (any::<usize>(), 0..9_u8, any::<bool>())
            .prop_map(|(pick, end, first_token)| Step::Release { pick, end, first_token }),
        1 => (0..300_u64).prop_map(Step::Cancel),
        6 => (0..6_u8, 1..3_u64)
            .prop_map(|(endpoint, incarnation)| Step::Announce { endpoint, incarnation }),
        1 => (0..6_u8).prop_map(Step::Leave),
        1 => Just(Step::Ban),
        4 => (1..400_u64).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..300)
}

fn end(number: u8) -> End {
    match number {
        0 => End::Failed,
        1 => End::Unreachable,
        2 => End::Broken,
        3 => End::Silent,
        4 => End::Abandoned,
        _ => End::Finished,
    }
}

#[derive(Default)]
struct Model {
    now: u64,
    waiting: BTreeMap<u64, u8>,
    held: Vec<(u64, Grant)>,
    answered: BTreeSet<u64>,
    left: BTreeMap<String, u64>,
    heard: BTreeMap<String, (u64, u64)>,
    banned: bool,
    /// Incarnations by endpoint.
    processes: BTreeMap<String, BTreeSet<u64>>,
    /// Deadlines by ticket, in milliseconds.
    deadlines: BTreeMap<u64, u64>,
}

impl Model {
    fn check(&mut self, pool: &Pool, actions: Vec<Action>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Grant { ticket, grant } => {
                    prop_assert!(self.answered.insert(ticket), "{ticket} was answered twice");
                    prop_assert!(
                        self.waiting.remove(&ticket).is_some(),
                        "{ticket} was not waiting"
                    );
                    let name = grant.endpoint.to_string();
                    let (heard, incarnation) = self.heard[&name];
                    prop_assert!(self.now < heard + 2_500 + 500, "{name} is silent");
                    let left = self.left.get(&name).copied().unwrap_or(0);
                    prop_assert!(left < incarnation, "{name} has left");
                    prop_assert!(!self.banned || grant.version.as_str() != "v2", "v2 is banned");
                    self.held.push((ticket, grant));
                }
                Action::Refuse { ticket, fault } => {
                    prop_assert!(self.answered.insert(ticket), "{ticket} was answered twice");
                    self.waiting.remove(&ticket);
                    prop_assert_eq!(fault.kind.answer().ran, Ran::NotRun);
                }
                Action::Discard { ticket } => {
                    prop_assert!(false, "{ticket} was discarded although no attempt is repeated");
                }
                Action::Preempt { grant, .. } => {
                    let held = self.held.iter().find(|(_, held)| held.grant == grant);
                    prop_assert!(held.is_some_and(|(ticket, _)| ticket % 5 != 0));
                }
                Action::RequestBudget { .. } => {}
            }
        }
        let pressure = pool.pressure(Millis(self.now));
        let waiting: u32 = pressure.waiting.iter().sum();
        prop_assert_eq!(waiting as usize, self.waiting.len(), "each ticket is waiting or answered");
        // The sweep ends grants without a release 5 s after their deadline.
        let now = self.now;
        self.held.retain(|(ticket, _)| now < self.deadlines[ticket] + 5_500);
        let kept =
            self.held.iter().filter(|(ticket, _)| now < self.deadlines[ticket] + 5_000).count();
        let running = pressure.running.iter().sum::<u32>() as usize;
        let counted = kept..=self.held.len();
        prop_assert!(counted.contains(&running), "{running} of {counted:?} grants are counted");
        for (name, processes) in &self.processes {
            let of = self.held.iter().filter(|(_, grant)| grant.endpoint.as_str() == name);
            let running = of.count() as u32;
            // Grants of an earlier process may continue beside those of its successor.
            prop_assert!(
                running <= CONCURRENCY * processes.len() as u32,
                "{name} runs {running} attempts"
            );
        }
        Ok(())
    }
}

fn run(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut pool = common::pool();
    let mut model = Model { now: 1_000, ..Model::default() };
    let mut config_with_rollout = config(1, &["e1"]);
    config_with_rollout.moves = vec![rollout(Stage::Share(200))];
    pool.step(Millis::ZERO, Event::Config(&config_with_rollout));
    for (number, step) in steps.into_iter().enumerate() {
        let ticket = number as u64;
        let actions = match step {
            Step::Acquire { tier, organisation, body, avoid, remaining } => {
                // The ticket encodes the tier, so that the tier of a preempted grant is known.
                let ticket = ticket * 5 + u64::from(tier);
                let mut next = request(ticket, tier);
                next.organisation = format!("org{organisation}").into();
                next.fingerprint.0 = body;
                next.remaining = Millis(remaining);
                next.first_token = Millis(remaining / 2);
                if avoid < 5 && tier == 1 {
                    next.avoid = vec![common::endpoint_name(usize::from(avoid)).as_str().into()];
                }
                model.waiting.insert(ticket, tier);
                model.deadlines.insert(ticket, model.now + remaining);
                pool.step(Millis(model.now), Event::Acquire { ticket, request: next })
            }
            Step::Release { pick, end: number, first_token } => {
                if model.held.is_empty() {
                    continue;
                }
                let (ticket, grant) = model.held.swap_remove(pick % model.held.len());
                let attempt = id::Attempt(u128::from(ticket) + 1);
                let mut event = release(&grant, attempt, end(number));
                if let Event::Release(release) = &mut event
                    && !first_token
                {
                    release.report.first_token = None;
                }
                pool.step(Millis(model.now), event)
            }
            Step::Cancel(ticket) => {
                if model.waiting.remove(&ticket).is_some() {
                    model.answered.insert(ticket);
                }
                pool.step(Millis(model.now), Event::Cancel { ticket })
            }
            Step::Announce { endpoint, incarnation } => {
                let name = common::endpoint_name(usize::from(endpoint));
                let mut next = announcement(&name, CONCURRENCY);
                next.version = if endpoint < 4 { "v1".into() } else { "v2".into() };
                next.incarnation = incarnation;
                let left = model.left.get(&name).copied().unwrap_or(0);
                let known = model.heard.get(&name).map_or(0, |(_, known)| *known);
                if left < incarnation && known <= incarnation {
                    model.processes.entry(name.clone()).or_default().insert(incarnation);
                    model.heard.insert(name, (model.now, incarnation));
                }
                pool.step(Millis(model.now), Event::Announce(next))
            }
            Step::Leave(endpoint) => {
                let name = common::endpoint_name(usize::from(endpoint));
                let known = model.heard.get(&name).map_or(2, |(_, known)| *known);
                model.left.insert(name.clone(), known);
                pool.step(Millis(model.now), Event::Leave { endpoint: name.as_str().into() })
            }
            Step::Ban => {
                let mut banned = config(2, &["e1"]);
                banned.banned = vec![("chat".into(), "v2".into())];
                model.banned = true;
                let mut actions = pool.step(Millis(model.now), Event::Config(&banned));
                actions.extend(pool.step(Millis(model.now), Event::Config(&config_with_rollout)));
                actions
            }
            Step::Wait(span) => {
                model.now += span;
                pool.step(Millis(model.now), Event::Tick)
            }
        };
        model.check(&pool, actions)?;
    }
    Ok(())
}

fn proptest_config() -> Config {
    Config {
        cases: 600,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// Guards these invariants under random events: one answer per ticket; refusals imply that
    /// nothing ran; no grants on departed or silent endpoints or banned versions; counts match the
    /// issued grants; no endpoint exceeds its concurrency; tier 0 is never preempted.
    #[test]
    fn random_events_keep_the_invariants(steps in steps()) {
        run(steps)?;
    }
}
