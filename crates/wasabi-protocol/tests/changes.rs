//! Tests of updates that contain only changes. Applied to the requester's configuration, they must
//! result in the sender's.

#![allow(clippy::unwrap_used, reason = "errors fail the test")]

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

/// Maximum size of an update for one changed route, in bytes.
const ROUTE_BYTES_MAX: usize = 1_000;

/// A change of a configuration. Numbers are list positions or parts of names.
#[derive(Debug, Clone)]
enum Change {
    Contract(u8, bool),
    Move(u8),
    Ban(u8),
    Entry(u8, bool),
    AddRoute(u8),
    ModifyRoute(u8),
    /// Modifies a route and restores it in the next revision.
    RestoreRoute(u8),
    RemoveRoute(u8),
    SwapRoutes(u8, u8),
    DuplicateRoute(u8),
    Organisation(u8),
    Backend(u8),
    Limits,
    RemoveSite,
}

fn change() -> impl Strategy<Value = Change> {
    let at = || 0_u8..12;
    prop_oneof![
        (at(), any::<bool>()).prop_map(|(at, is_present)| Change::Contract(at, is_present)),
        at().prop_map(Change::Move),
        at().prop_map(Change::Ban),
        (at(), any::<bool>()).prop_map(|(at, is_present)| Change::Entry(at, is_present)),
        at().prop_map(Change::AddRoute),
        at().prop_map(Change::ModifyRoute),
        at().prop_map(Change::RestoreRoute),
        at().prop_map(Change::RemoveRoute),
        (at(), at()).prop_map(|(left, right)| Change::SwapRoutes(left, right)),
        at().prop_map(Change::DuplicateRoute),
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

fn version_move(number: u8) -> Move {
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

/// Returns the configurations that result from a change: two for [`Change::RestoreRoute`], otherwise
/// one.
fn apply(before: &Config, change: &Change) -> Vec<Config> {
    let mut config = before.clone();
    config.revision = config.revision.next();
    let revision = config.revision.0;
    if let Change::RestoreRoute(at) = change {
        let changed = apply(before, &Change::ModifyRoute(*at)).remove(0);
        let site = before.site.clone().unwrap_or_default();
        let version = changed.site.as_ref().unwrap().version + 1;
        let restored = Config {
            revision: changed.revision.next(),
            site: Some(site::Config { version, ..site }),
            ..before.clone()
        };
        return vec![changed, restored];
    }
    match change {
        Change::Contract(number, is_present) => {
            let contract = contract(*number, u32::try_from(revision).unwrap());
            config.contracts.retain(|other| other.organisation != contract.organisation);
            if *is_present {
                config.contracts.push(contract);
                config.contracts.sort_by(|left, right| left.organisation.cmp(&right.organisation));
            }
        }
        Change::Move(number) => config.moves.push(version_move(*number)),
        Change::Ban(number) => {
            config.banned.push(("llm".into(), format!("v{number}").as_str().into()));
        }
        Change::Entry(number, is_present) => {
            let entry = entry((*number).into(), revision);
            config.view.number = config.view.number.next();
            config.view.entries.retain(|other| other.name != entry.name);
            if *is_present {
                config.view.entries.push(entry);
            }
        }
        Change::RemoveSite => config.site = None,
        change => {
            let mut site = config.site.take().unwrap_or_default();
            site.version += 1;
            change_site(&mut site, change, revision);
            config.site = Some(site);
        }
    }
    vec![config]
}

fn change_site(site: &mut site::Config, change: &Change, revision: u64) {
    let count = site.routes.len();
    match change {
        Change::AddRoute(at) => {
            let index = usize::from(*at).min(count);
            site.routes.insert(index, route(usize::try_from(revision).unwrap() + 1_000));
        }
        Change::ModifyRoute(at) if 0 < count => {
            site.routes[usize::from(*at) % count].timeout = Millis(revision + 10_000);
        }
        Change::RemoveRoute(at) if 0 < count => {
            site.routes.remove(usize::from(*at) % count);
        }
        Change::SwapRoutes(left, right) if 0 < count => {
            site.routes.swap(usize::from(*left) % count, usize::from(*right) % count);
        }
        Change::DuplicateRoute(at) if 0 < count => {
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

/// Returns the update to `config` for a requester that holds `held`, encoded and decoded again.
fn request(cache: &mut UpdateCache, config: &Config, held: Option<ConfigVersion>) -> Update {
    let update = cache.answer(config.revision, held, || config.clone()).unwrap();
    serde_json::from_str(&serde_json::to_string(&update).unwrap()).unwrap()
}

proptest! {
    /// Guards against updates that don't result in the latest configuration after some sequence of
    /// changes, whichever revision the requester holds, and against rejecting a valid update.
    #[test]
    fn updates_result_in_the_latest_configuration(changes in vec(change(), 1..14), skipped in 0_usize..4) {
        let mut all = vec![config(6)];
        for change in &changes {
            let next = apply(all.last().unwrap(), change);
            all.extend(next);
        }
        let mut cache = UpdateCache::default();
        for (number, config) in all.iter().enumerate() {
            // A sender that was itself outdated for a while never saw some revisions.
            if skipped == 0 || number % (skipped + 1) == 0 {
                cache.record(config);
            }
        }
        let latest = all.last().unwrap();
        for (number, before) in all.iter().enumerate() {
            let held = ConfigDigests::of(before).version();
            let update = request(&mut cache, latest, Some(held));
            let is_known = skipped == 0 || number % (skipped + 1) == 0;
            if before.revision < latest.revision {
                prop_assert_eq!(update.extent() == Extent::Changes, is_known);
                let result = update.apply_to(before);
                prop_assert!(result.is_ok() || !is_known);
                // If the update does not apply, the complete configuration is requested.
                let applied = result.unwrap_or_else(|_| {
                    let complete = request(&mut cache, latest, Some(ConfigVersion::default()));
                    complete.apply_to(&Config::default()).unwrap()
                });
                prop_assert_eq!(&applied, latest);
            }
            let update = request(&mut cache, latest, Some(ConfigVersion { content: None, ..held }));
            prop_assert!(update.extent() != Extent::Changes);
        }
    }

    /// Guards against a sender that confuses two configurations with the same revision: its update
    /// would result in neither of them.
    #[test]
    fn requester_with_an_unknown_digest_gets_everything(left in change(), right in change()) {
        let start = config(6);
        let (left, right) = (apply(&start, &left).remove(0), apply(&start, &right).remove(0));
        let latest = apply(&left, &Change::ModifyRoute(1)).remove(0);
        let mut cache = UpdateCache::default();
        cache.record(&left);
        cache.record(&latest);
        let held = ConfigDigests::of(&right).version();
        let update = request(&mut cache, &latest, Some(held));
        prop_assert_eq!(update.extent() == Extent::Changes, left == right);
    }

    /// Guards against applying an update to a configuration that it was not made for.
    #[test]
    fn update_of_another_configuration_is_rejected(changes in vec(change(), 1..6), other in change()) {
        let before = config(6);
        let mut latest = before.clone();
        let mut cache = UpdateCache::default();
        cache.record(&before);
        for change in &changes {
            latest = apply(&latest, change).pop().unwrap();
        }
        let other = apply(&before, &other).remove(0);
        let update = request(&mut cache, &latest, Some(ConfigDigests::of(&before).version()));
        // The update may replace everything in which the two differ; otherwise it must be rejected.
        if let Ok(config) = update.apply_to(&other) {
            prop_assert_eq!(config, latest);
        }
    }
}

/// Guards against updates of a single route whose size grows with the number of routes.
#[rstest]
#[case(50)]
#[case(5_000)]
fn update_of_a_route_has_constant_size(#[case] routes: usize) {
    let before = config(routes);
    let after = apply(&before, &Change::ModifyRoute(7)).remove(0);
    let mut cache = UpdateCache::default();
    cache.record(&before);
    let held = ConfigDigests::of(&before).version();
    let answer = cache.answer(after.revision, Some(held), || after.clone()).unwrap();
    assert!(answer.bytes() < ROUTE_BYTES_MAX, "{}", answer.bytes());
}

/// Guards against applying a corrupted update.
#[rstest]
#[case::number("/changes/site/routes/0/Kept/1")]
#[case::timeout("/changes/site/routes/1/New/0/timeout")]
#[case::view("/changes/view")]
#[case::version("/changes/site/version")]
#[case::revision("/revision")]
fn corrupted_update_is_rejected(#[case] field: &str) {
    let before = config(6);
    let after = apply(&before, &Change::ModifyRoute(3)).remove(0);
    let mut cache = UpdateCache::default();
    cache.record(&before);
    let held = ConfigDigests::of(&before).version();
    let answer = cache.answer(after.revision, Some(held), || after.clone()).unwrap();
    let mut value = serde_json::to_value(&answer).unwrap();
    let update: Update = serde_json::from_value(value.clone()).unwrap();
    assert_eq!(update.apply_to(&before).unwrap(), after);
    let corrupted = value.pointer_mut(field).unwrap();
    *corrupted = Value::from(corrupted.as_u64().unwrap() + 1);
    let update: Update = serde_json::from_value(value).unwrap();
    assert!(update.apply_to(&before).is_err());
}

/// Guards against an unbounded history, and against sending nothing to a requester whose revision is
/// older than the history.
#[test]
fn requester_older_than_the_history_gets_everything() {
    let first = config(6);
    let mut latest = first.clone();
    let mut cache = UpdateCache::default();
    cache.record(&first);
    for _ in 0..1_000 {
        latest = apply(&latest, &Change::ModifyRoute(2)).remove(0);
        cache.record(&latest);
    }
    let update = request(&mut cache, &latest, Some(ConfigDigests::of(&first).version()));
    assert_ne!(update.extent(), Extent::Changes);
    assert_eq!(update.apply_to(&first).unwrap(), latest);
}
