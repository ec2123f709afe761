//! Random runs of a pool against the invariants that hold after each step.

mod kit;

use std::collections::{BTreeMap, BTreeSet};

use kit::{announcement, config, order, release, request};
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
struct Seen {
    now: u64,
    waiting: BTreeMap<u64, u8>,
    held: Vec<(u64, Grant)>,
    answered: BTreeSet<u64>,
    left: BTreeMap<String, u64>,
    heard: BTreeMap<String, (u64, u64)>,
    banned: bool,
    /// Process numbers by endpoint.
    processes: BTreeMap<String, BTreeSet<u64>>,
    /// Deadlines by ticket.
    ends: BTreeMap<u64, u64>,
}

impl Seen {
    fn check(&mut self, pool: &Pool, actions: Vec<Action>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Grant { ticket, grant } => {
                    prop_assert!(self.answered.insert(ticket), "{ticket} is answered twice");
                    prop_assert!(self.waiting.remove(&ticket).is_some(), "{ticket} did not wait");
                    let name = grant.endpoint.to_string();
                    let (heard, incarnation) = self.heard[&name];
                    prop_assert!(self.now < heard + 2_500 + 500, "{name} is silent");
                    let left = self.left.get(&name).copied().unwrap_or(0);
                    prop_assert!(left < incarnation, "{name} left");
                    prop_assert!(!self.banned || grant.version.as_str() != "v2", "banned");
                    self.held.push((ticket, grant));
                }
                Action::Refuse { ticket, fault } => {
                    prop_assert!(self.answered.insert(ticket), "{ticket} is answered twice");
                    self.waiting.remove(&ticket);
                    prop_assert_eq!(fault.kind.answer().ran, Ran::NotRun);
                }
                Action::Discard { ticket } => {
                    prop_assert!(false, "{ticket} is discarded, though no attempt asks twice");
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
        prop_assert_eq!(waiting as usize, self.waiting.len(), "each ticket waits or is answered");
        // A grant that was not released is counted as ended 5 s after its deadline, at a sweep.
        let now = self.now;
        self.held.retain(|(ticket, _)| now < self.ends[ticket] + 5_500);
        let kept = self.held.iter().filter(|(ticket, _)| now < self.ends[ticket] + 5_000).count();
        let running = pressure.running.iter().sum::<u32>() as usize;
        let counted = kept..=self.held.len();
        prop_assert!(counted.contains(&running), "{running} of {counted:?} grants are counted");
        for (name, processes) in &self.processes {
            let of = self.held.iter().filter(|(_, grant)| grant.endpoint.as_str() == name);
            let running = of.count() as u32;
            // Grants of an earlier process of the same name may run on beside those of the next.
            prop_assert!(running <= CONCURRENCY * processes.len() as u32, "{name} runs {running}");
        }
        Ok(())
    }
}

fn run(steps: Vec<Step>) -> Result<(), TestCaseError> {
    let mut pool = kit::pool();
    let mut seen = Seen { now: 1_000, ..Seen::default() };
    let mut moving = config(1, &["e1"]);
    moving.moves = vec![order(Stage::Share(200))];
    pool.step(Millis::ZERO, Event::Config(&moving));
    for (number, step) in steps.into_iter().enumerate() {
        let ticket = number as u64;
        let actions = match step {
            Step::Acquire { tier, organisation, body, avoid, remaining } => {
                // The tier follows from the ticket, so that a grant shows what was preempted.
                let ticket = ticket * 5 + u64::from(tier);
                let mut next = request(ticket, tier);
                next.organisation = format!("org{organisation}").into();
                next.fingerprint.0 = body;
                next.remaining = Millis(remaining);
                next.first_token = Millis(remaining / 2);
                if avoid < 5 && tier == 1 {
                    next.avoid = vec![kit::name(usize::from(avoid)).as_str().into()];
                }
                seen.waiting.insert(ticket, tier);
                seen.ends.insert(ticket, seen.now + remaining);
                pool.step(Millis(seen.now), Event::Acquire { ticket, request: next })
            }
            Step::Release { pick, end: number, first_token } => {
                if seen.held.is_empty() {
                    continue;
                }
                let (ticket, grant) = seen.held.swap_remove(pick % seen.held.len());
                let attempt = id::Attempt(u128::from(ticket) + 1);
                let mut event = release(&grant, attempt, end(number));
                if let Event::Release(release) = &mut event
                    && !first_token
                {
                    release.report.first_token = None;
                }
                pool.step(Millis(seen.now), event)
            }
            Step::Cancel(ticket) => {
                if seen.waiting.remove(&ticket).is_some() {
                    seen.answered.insert(ticket);
                }
                pool.step(Millis(seen.now), Event::Cancel { ticket })
            }
            Step::Announce { endpoint, incarnation } => {
                let name = kit::name(usize::from(endpoint));
                let mut next = announcement(&name, CONCURRENCY);
                next.version = if endpoint < 4 { "v1".into() } else { "v2".into() };
                next.incarnation = incarnation;
                let left = seen.left.get(&name).copied().unwrap_or(0);
                let known = seen.heard.get(&name).map_or(0, |(_, known)| *known);
                if left < incarnation && known <= incarnation {
                    seen.processes.entry(name.clone()).or_default().insert(incarnation);
                    seen.heard.insert(name, (seen.now, incarnation));
                }
                pool.step(Millis(seen.now), Event::Announce(next))
            }
            Step::Leave(endpoint) => {
                let name = kit::name(usize::from(endpoint));
                let known = seen.heard.get(&name).map_or(2, |(_, known)| *known);
                seen.left.insert(name.clone(), known);
                pool.step(Millis(seen.now), Event::Leave { endpoint: name.as_str().into() })
            }
            Step::Ban => {
                let mut banned = config(2, &["e1"]);
                banned.banned = vec![("chat".into(), "v2".into())];
                seen.banned = true;
                let mut actions = pool.step(Millis(seen.now), Event::Config(&banned));
                actions.extend(pool.step(Millis(seen.now), Event::Config(&moving)));
                actions
            }
            Step::Wait(span) => {
                seen.now += span;
                pool.step(Millis(seen.now), Event::Tick)
            }
        };
        seen.check(&pool, actions)?;
    }
    Ok(())
}

fn settings() -> Config {
    Config {
        cases: 600,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(settings())]

    /// Guards, over random events: one answer for each ticket; refusals that say "not run"; no
    /// grant to an endpoint that left or is silent, nor to a banned version; counts that agree
    /// with the grants given; no endpoint over its concurrency; no preemption of tier 0.
    #[test]
    fn keeps_the_invariants(steps in steps()) {
        run(steps)?;
    }
}
