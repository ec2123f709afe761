//! Updates that hold only what changed: applied to what the asker holds, they give the configuration
//! of the answerer.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

mod support;

use proptest::{collection::vec, prelude::*};
use rstest::rstest;
use serde_json::Value;
use support::{config, entry, organisation, route};
use wasabi_protocol::{
    clock::Millis,
    command::{Config, Move, Plan, Stage},
    contract::{Contract, Limits},
    endpoint::Kind,
    rpc::{ConfigDigests, ConfigVersion, Extent, Update, UpdateCache},
    site,
};

/// Most bytes of an update for one changed route.
const ROUTE_BYTES_MAX: usize = 1_000;

/// One change of a configuration, at a position of a list.
#[derive(Debug, Clone)]
enum Change {
    Contract(u8, bool),
    Move(u8),
    Ban(u8),
    Entry(u8, bool),
    AddRoute(u8),
    AlterRoute(u8),
    /// Alters a route and then makes it what it was before, over two revisions.
    RestoreRoute(u8),
    RemoveRoute(u8),
    SwapRoutes(u8, u8),
    RepeatRoute(u8),
    Organisation(u8),
    Backend(u8),
    Limits,
    RemoveSite,
}

fn change() -> impl Strategy<Value = Change> {
    let at = || 0_u8..12;
    prop_oneof![
        (at(), any::<bool>()).prop_map(|(at, is_there)| Change::Contract(at, is_there)),
        at().prop_map(Change::Move),
        at().prop_map(Change::Ban),
        (at(), any::<bool>()).prop_map(|(at, is_there)| Change::Entry(at, is_there)),
        at().prop_map(Change::AddRoute),
        at().prop_map(Change::AlterRoute),
        at().prop_map(Change::RestoreRoute),
        at().prop_map(Change::RemoveRoute),
        (at(), at()).prop_map(|(left, right)| Change::SwapRoutes(left, right)),
        at().prop_map(Change::RepeatRoute),
        at().prop_map(Change::Organisation),
        at().prop_map(Change::Backend),
        Just(Change::Limits),
        Just(Change::RemoveSite),
    ]
}

fn contract(number: u8, share: u32) -> Contract {
    Contract {
        organisation: format!("contract-{number:02}").as_str().into(),
        token_digests: Vec::new(),
        share,
        limits: Limits { requests_per_s: 1, tokens_per_s: 1, concurrency: 1, burst: None },
        routes: Vec::new(),
    }
}

fn order(number: u8) -> Move {
    Move {
        plan: Plan {
            name: format!("move-{number}").as_str().into(),
            kind: Kind::Model,
            backend: "llm".into(),
            from: "v1".into(),
            to: "v2".into(),
            finish_by: Millis(1_000),
            start_permille: 10,
            watch: Millis(1),
        },
        stage: Stage::Share(10),
        reason: String::new(),
        started: Millis(1),
        changed: Millis(1),
    }
}

/// Returns the configurations that follow from a change: one, or two for one that is restored.
fn follow(before: &Config, change: &Change) -> Vec<Config> {
    let mut config = before.clone();
    config.revision = config.revision.next();
    let revision = config.revision.0;
    if let Change::RestoreRoute(at) = change {
        let altered = follow(before, &Change::AlterRoute(*at)).remove(0);
        let site = before.site.clone().unwrap_or_default();
        let version = altered.site.as_ref().unwrap().version + 1;
        let restored = Config {
            revision: altered.revision.next(),
            site: Some(site::Config { version, ..site }),
            ..before.clone()
        };
        return vec![altered, restored];
    }
    match change {
        Change::Contract(number, is_there) => {
            let contract = contract(*number, u32::try_from(revision).unwrap());
            config.contracts.retain(|other| other.organisation != contract.organisation);
            if *is_there {
                config.contracts.push(contract);
                config.contracts.sort_by(|left, right| left.organisation.cmp(&right.organisation));
            }
        }
        Change::Move(number) => config.moves.push(order(*number)),
        Change::Ban(number) => {
            config.banned.push(("llm".into(), format!("v{number}").as_str().into()));
        }
        Change::Entry(number, is_there) => {
            let entry = entry((*number).into(), revision);
            config.view.number = config.view.number.next();
            config.view.entries.retain(|other| other.name != entry.name);
            if *is_there {
                config.view.entries.push(entry);
            }
        }
        Change::RemoveSite => config.site = None,
        change => {
            let mut site = config.site.take().unwrap_or_default();
            site.version += 1;
            alter(&mut site, change, revision);
            config.site = Some(site);
        }
    }
    vec![config]
}

fn alter(site: &mut site::Config, change: &Change, revision: u64) {
    let count = site.routes.len();
    match change {
        Change::AddRoute(at) => {
            let place = usize::from(*at).min(count);
            site.routes.insert(place, route(usize::try_from(revision).unwrap() + 1_000));
        }
        Change::AlterRoute(at) if 0 < count => {
            site.routes[usize::from(*at) % count].timeout = Millis(revision + 10_000);
        }
        Change::RemoveRoute(at) if 0 < count => {
            site.routes.remove(usize::from(*at) % count);
        }
        Change::SwapRoutes(left, right) if 0 < count => {
            site.routes.swap(usize::from(*left) % count, usize::from(*right) % count);
        }
        Change::RepeatRoute(at) if 0 < count => {
            site.routes.push(site.routes[usize::from(*at) % count].clone());
        }
        Change::Organisation(number) => {
            let mut organisation = organisation((*number).into());
            organisation.tokens_per_s = u32::try_from(revision).unwrap();
            site.organisations.retain(|other| other.name != organisation.name);
            site.organisations.push(organisation);
        }
        Change::Backend(number) => site.backends.push(site::Backend {
            name: format!("backend-{number}").as_str().into(),
            kind: Kind::Service,
            tokens_per_event: 1,
        }),
        Change::Limits => site.limits.head_bytes += 1,
        _ => {}
    }
}

/// Returns the answer of a holder of `config`, as it comes out of its encoding.
fn ask(answers: &mut UpdateCache, config: &Config, held: Option<ConfigVersion>) -> Update {
    let answer = answers.answer(config.revision, held, || config.clone()).unwrap();
    serde_json::from_str(&serde_json::to_string(&answer).unwrap()).unwrap()
}

proptest! {
    /// Guards against an entry whose configuration differs from the latest one after any sequence of
    /// changes, whichever revision it held, and against an update that is refused although it fits.
    #[test]
    fn updates_lead_to_the_latest_configuration(changes in vec(change(), 1..14), skipped in 0_usize..4) {
        let mut all = vec![config(6)];
        for change in &changes {
            let next = follow(all.last().unwrap(), change);
            all.extend(next);
        }
        let mut answers = UpdateCache::default();
        for (number, config) in all.iter().enumerate() {
            // A holder that was itself behind does not know the revisions in between.
            if skipped == 0 || number % (skipped + 1) == 0 {
                answers.record(config);
            }
        }
        let latest = all.last().unwrap();
        for (number, before) in all.iter().enumerate() {
            let held = ConfigDigests::of(before).version();
            let update = ask(&mut answers, latest, Some(held));
            let is_known = skipped == 0 || number % (skipped + 1) == 0;
            if before.revision < latest.revision {
                prop_assert_eq!(update.extent() == Extent::Changes, is_known);
                let taken = update.apply_to(before);
                prop_assert!(taken.is_ok() || !is_known);
                // An update that does not fit is refused, and the whole is asked for.
                let taken = taken.unwrap_or_else(|_| {
                    let whole = ask(&mut answers, latest, Some(ConfigVersion::default()));
                    whole.apply_to(&Config::default()).unwrap()
                });
                prop_assert_eq!(&taken, latest);
            }
            let update = ask(&mut answers, latest, Some(ConfigVersion { content: None, ..held }));
            prop_assert!(update.extent() != Extent::Changes);
        }
    }

    /// Guards against a holder that takes another configuration of the same revision for the one that
    /// it knew: its update would give neither of both.
    #[test]
    fn an_asker_whose_content_is_not_known_gets_the_whole(left in change(), right in change()) {
        let start = config(6);
        let (left, right) = (follow(&start, &left).remove(0), follow(&start, &right).remove(0));
        let latest = follow(&left, &Change::AlterRoute(1)).remove(0);
        let mut answers = UpdateCache::default();
        answers.record(&left);
        answers.record(&latest);
        let held = ConfigDigests::of(&right).version();
        let update = ask(&mut answers, &latest, Some(held));
        prop_assert_eq!(update.extent() == Extent::Changes, left == right);
    }

    /// Guards against an update that is put in force on another configuration than the one that it
    /// was made for.
    #[test]
    fn an_update_onto_another_configuration_is_refused(changes in vec(change(), 1..6), other in change()) {
        let before = config(6);
        let mut latest = before.clone();
        let mut answers = UpdateCache::default();
        answers.record(&before);
        for change in &changes {
            latest = follow(&latest, change).pop().unwrap();
        }
        let other = follow(&before, &other).remove(0);
        let update = ask(&mut answers, &latest, Some(ConfigDigests::of(&before).version()));
        // What both have in common may make up for the difference; anything else is refused.
        if let Ok(config) = update.apply_to(&other) {
            prop_assert_eq!(config, latest);
        }
    }
}

/// Guards against a change of one route that costs more with every route.
#[rstest]
#[case(50)]
#[case(5_000)]
fn a_change_of_a_route_has_its_own_size(#[case] routes: usize) {
    let before = config(routes);
    let after = follow(&before, &Change::AlterRoute(7)).remove(0);
    let mut answers = UpdateCache::default();
    answers.record(&before);
    let held = ConfigDigests::of(&before).version();
    let answer = answers.answer(after.revision, Some(held), || after.clone()).unwrap();
    assert!(answer.bytes() < ROUTE_BYTES_MAX, "{}", answer.bytes());
}

/// Guards against a delta that was altered, by whatever fault, and is put in force.
#[rstest]
#[case::number("/changes/site/routes/0/Kept/1")]
#[case::timeout("/changes/site/routes/1/New/0/timeout")]
#[case::view("/changes/view")]
#[case::version("/changes/site/version")]
#[case::revision("/revision")]
fn an_altered_update_is_refused(#[case] field: &str) {
    let before = config(6);
    let after = follow(&before, &Change::AlterRoute(3)).remove(0);
    let mut answers = UpdateCache::default();
    answers.record(&before);
    let held = ConfigDigests::of(&before).version();
    let answer = answers.answer(after.revision, Some(held), || after.clone()).unwrap();
    let mut value = serde_json::to_value(&answer).unwrap();
    let update: Update = serde_json::from_value(value.clone()).unwrap();
    assert_eq!(update.apply_to(&before).unwrap(), after);
    let altered = value.pointer_mut(field).unwrap();
    *altered = Value::from(altered.as_u64().unwrap() + 1);
    let update: Update = serde_json::from_value(value).unwrap();
    assert!(update.apply_to(&before).is_err());
}

/// Guards against a history that grows without a bound, and against an asker that gets nothing when
/// its revision is older than the history.
#[test]
fn an_asker_older_than_the_history_gets_the_whole() {
    let first = config(6);
    let mut latest = first.clone();
    let mut answers = UpdateCache::default();
    answers.record(&first);
    for _ in 0..1_000 {
        latest = follow(&latest, &Change::AlterRoute(2)).remove(0);
        answers.record(&latest);
    }
    let update = ask(&mut answers, &latest, Some(ConfigDigests::of(&first).version()));
    assert_ne!(update.extent(), Extent::Changes);
    assert_eq!(update.apply_to(&first).unwrap(), latest);
}
