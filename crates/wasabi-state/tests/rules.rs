//! Tests of individual rules of the state machine.

mod support;

use support::{apply, contract, entry, finish, kept, lease, order, plan, record, release};
use wasabi_protocol::{
    clock::Millis,
    command::{Command, KEPT_BODY_BYTES_MAX, KEY_RETENTION, Outcome, Stage},
    contract::Tier,
    endpoint, id, site,
};
use wasabi_state::{ENDED_MOVES_MAX, Machine, RECORD_STORE_BYTES_MAX};

const DAY: u64 = KEY_RETENTION.0;

fn accepted(revision: u64) -> Outcome {
    Outcome::Accepted { revision: id::Revision(revision) }
}

/// Applies commands in order at their times and returns the last outcome.
fn run(machine: &mut Machine, steps: &[(u64, Command)]) -> Outcome {
    let mut last = Outcome::Done;
    for (now, command) in steps {
        last = machine.apply(machine.index() + 1, Millis(*now), command);
    }
    last
}

/// Guards against accepting both of two concurrent operators, and against a conflict that does not
/// name the accepted change.
#[test]
fn one_of_two_operators_on_the_same_revision_wins() {
    let mut machine = Machine::new();
    assert_eq!(run(&mut machine, &[(1, apply("c1", "ada", 0, 5))]), accepted(1));
    let lost = run(&mut machine, &[(2, apply("c2", "bob", 0, 9))]);
    let Outcome::Conflict { revision, operator, change } = lost else { panic!("{lost:?}") };
    assert_eq!((revision.0, operator.as_str()), (1, "ada"));
    assert_eq!(change, "applied the contract of org");
    assert_eq!(machine.config().contracts, [contract("org", 5)]);
}

/// Guards against a resent command that takes effect twice or gets another outcome, also after the
/// machine was restored from a snapshot.
#[test]
fn resent_command_gets_its_first_result() {
    let mut machine = Machine::new();
    run(&mut machine, &[(1, apply("c1", "ada", 0, 5)), (2, apply("c2", "ada", 1, 6))]);
    let mut machine = Machine::restore(&machine.snapshot().unwrap()).unwrap();
    assert_eq!(run(&mut machine, &[(3, apply("c1", "ada", 0, 5))]), accepted(1));
    let rebased = run(&mut machine, &[(3, apply("c1", "ada", 2, 5))]);
    assert_eq!(rebased, accepted(1), "given again on a later revision");
    assert_eq!(machine.config().contracts, [contract("org", 6)]);
    let other = run(&mut machine, &[(4, apply("c1", "ada", 2, 7))]);
    assert!(matches!(other, Outcome::Refused { .. }), "another command under the id: {other:?}");
    let late = run(&mut machine, &[(DAY + 9, Command::ExpireKeys), (0, apply("c1", "ada", 0, 5))]);
    assert!(matches!(late, Outcome::Conflict { .. }), "{late:?}");
    assert_eq!(machine.size().results, 1, "only the late conflict is stored");
}

/// Guards against a move that ends twice, against a banned version that is offered again, and
/// against ended moves without bound.
#[test]
fn move_ends_once_and_bans_the_version() {
    let mut machine = Machine::new();
    let start = |command: &str, base, name: &str, to: &str| Command::StartMove {
        order: order(command, "ada", base),
        plan: plan(name, to),
    };
    assert_eq!(run(&mut machine, &[(1, start("c1", 0, "up", "v2"))]), accepted(1));
    let second = run(&mut machine, &[(1, start("c2", 1, "other", "v3"))]);
    assert!(matches!(second, Outcome::Refused { .. }), "only one move per back end: {second:?}");
    let stage = |from, to| Command::StageMove { name: "up".into(), from, to, reason: "r".into() };
    let back = stage(Stage::Share(10), Stage::TakenBack);
    assert_eq!(run(&mut machine, &[(2, back)]), accepted(2));
    let done = run(&mut machine, &[(3, stage(Stage::TakenBack, Stage::Done))]);
    assert!(matches!(done, Outcome::Conflict { .. }), "{done:?}");
    assert_eq!(machine.config().banned, [("m".into(), "v2".into())]);
    let again = run(&mut machine, &[(4, start("c3", 2, "again", "v2"))]);
    assert!(matches!(again, Outcome::Refused { .. }), "{again:?}");
    for round in 0..ENDED_MOVES_MAX as u64 + 5 {
        let (name, to) = (format!("n{round:03}"), format!("w{round}"));
        let base = machine.revision().0;
        let back = Command::TakeBackMove {
            order: order(&format!("b{round}"), "ada", base + 1),
            name: name.as_str().into(),
        };
        let id = format!("s{round}");
        run(&mut machine, &[(5 + round, start(&id, base, &name, &to)), (5 + round, back)]);
    }
    assert_eq!(machine.moves().count(), ENDED_MOVES_MAX, "ended moves stay bounded");
}

/// Guards against a view that replaces a newer one, and against a new revision without a change.
#[test]
fn view_changes_by_compare_and_set() {
    let mut machine = Machine::new();
    let set = |base, names: &[&str]| Command::SetView {
        base: id::View(base),
        entries: names.iter().map(|name| entry(name)).collect(),
    };
    assert_eq!(run(&mut machine, &[(1, set(0, &["b", "a"]))]), accepted(1));
    let stale = run(&mut machine, &[(2, set(0, &["c"]))]);
    assert!(matches!(stale, Outcome::Conflict { .. }), "{stale:?}");
    assert_eq!(run(&mut machine, &[(3, set(1, &["a", "b"]))]), accepted(1));
    assert_eq!(machine.view().number, id::View(1));
}

/// Guards against two holders that give orders at the same time. A new holder waits for the old
/// span plus drift, also after a restart during its wait, and also if the log time jumped.
#[test]
fn new_lease_holder_waits_for_the_end_of_the_old_lease() {
    let mut machine = Machine::new();
    let leased = |fence, wait| Outcome::Leased { fence: id::Fence(fence), wait: Millis(wait) };
    assert_eq!(run(&mut machine, &[(0, lease("m1", 1_000))]), leased(1, 0));
    assert_eq!(run(&mut machine, &[(500, lease("m1", 400))]), leased(1, 0));
    let held = run(&mut machine, &[(600, lease("m2", 1_000))]);
    assert_eq!(held, Outcome::LeaseHeld { holder: "m1".into(), remaining: Millis(300) });
    assert_eq!(run(&mut machine, &[(900_000, lease("m2", 1_000))]), leased(2, 1_100));
    let mut machine = Machine::restore(&machine.snapshot().unwrap()).unwrap();
    assert_eq!(run(&mut machine, &[(900_100, lease("m2", 1_000))]), leased(2, 1_000));
}

/// Guards against a second dispatch with one key, in every state of its record.
#[test]
fn key_is_dispatched_once() {
    let mut machine = Machine::new();
    assert_eq!(run(&mut machine, &[(1, record("k", 1, 7, None))]), Outcome::Recorded);
    assert_eq!(run(&mut machine, &[(2, record("k", 1, 7, None))]), Outcome::Recorded);
    let pending = Outcome::Pending { attempt: id::Attempt(1), entry: "e1".into() };
    assert_eq!(run(&mut machine, &[(3, record("k", 2, 7, None))]), pending);
    assert_eq!(run(&mut machine, &[(3, record("k", 2, 8, None))]), Outcome::KeyReused);
    assert_eq!(run(&mut machine, &[(4, release("k", 2))]), Outcome::NoRecord);
    assert_eq!(run(&mut machine, &[(5, release("k", 1))]), Outcome::Done);
    assert_eq!(run(&mut machine, &[(6, record("k", 1, 7, None))]), Outcome::NoRecord);
    assert_eq!(run(&mut machine, &[(7, record("k", 3, 7, None))]), Outcome::Recorded);
    assert_eq!(run(&mut machine, &[(8, finish("k", 3, "first"))]), Outcome::Done);
    run(&mut machine, &[(9, finish("k", 3, "second")), (9, release("k", 3))]);
    let answer = run(&mut machine, &[(10, record("k", 4, 7, None))]);
    assert_eq!(answer, Outcome::Finished(kept("first")));
    assert_eq!(run(&mut machine, &[(11, finish("k", 4, "third"))]), Outcome::NoRecord);
}

/// Guards against a second run of a key whose record has expired, and against records that expire
/// too early or by the time of their first change.
#[test]
fn expired_key_is_refused_by_its_creation_time() {
    let mut machine = Machine::new();
    run(&mut machine, &[(0, record("k", 1, 7, Some(0))), (1_000, finish("k", 1, "x"))]);
    run(&mut machine, &[(DAY + 999, Command::ExpireKeys)]);
    let retained = run(&mut machine, &[(DAY + 999, record("k", 2, 7, Some(0)))]);
    assert_eq!(retained, Outcome::Finished(kept("x")));
    run(&mut machine, &[(DAY + 1_000, Command::ExpireKeys)]);
    assert_eq!((machine.size().keys, machine.size().key_bytes), (0, 0));
    let late = |created| [(DAY + 1_000, record("k", 3, 7, Some(created)))];
    assert_eq!(run(&mut machine, &late(300_999)), Outcome::KeyExpired);
    assert!(matches!(run(&mut machine, &late(DAY + 301_001)), Outcome::Refused { .. }));
    assert_eq!(run(&mut machine, &late(301_000)), Outcome::Recorded);
}

/// Guards against records without bound. At the limit, answers lose their body, new records are
/// refused, and existing records stay.
#[test]
fn records_are_bounded_in_bytes() {
    let mut machine = Machine::new();
    let long = "x".repeat(KEPT_BODY_BYTES_MAX);
    let mut count = 0;
    while run(&mut machine, &[(1, record(&format!("k{count}"), count, 7, None))])
        == Outcome::Recorded
    {
        run(&mut machine, &[(1, finish(&format!("k{count}"), count, &long))]);
        count += 1;
        assert!(count < 500_000, "records are never refused");
    }
    assert!(machine.size().key_bytes <= RECORD_STORE_BYTES_MAX);
    let last = run(&mut machine, &[(2, record(&format!("k{}", count - 1), 0, 7, None))]);
    let Outcome::Finished(kept) = last else { panic!("{last:?}") };
    assert_eq!(kept.body, None);
    assert!(matches!(
        run(&mut machine, &[(2, finish("k0", 0, &format!("{long}x")))]),
        Outcome::Done
    ));
}

fn site(version: u64, host: &str) -> Command {
    let config = site::Config {
        version,
        routes: vec![site::Route {
            name: "r".into(),
            host: host.to_owned(),
            path_prefix: "/".to_owned(),
            repeat: site::Repeat::Once,
            tier: Tier::TOP,
            timeout: Millis(1_000),
            first_event: Millis(100),
            between_events: Millis::ZERO,
            leaves_after: Millis::ZERO,
            attempts_max: 1,
            is_open: true,
            targets: vec![site::Target { backend: "app".into(), weight: 1 }],
        }],
        backends: vec![site::Backend {
            name: "app".into(),
            kind: endpoint::Kind::Service,
            tokens_per_event: 1,
        }],
        ..site::Config::default()
    };
    Command::PutSite(Box::new(site::Document { config, source: format!("{version} {host}") }))
}

/// Guards against an older site configuration that takes effect, against other content under the
/// current version, and against a snapshot without the site configuration.
#[test]
fn the_highest_version_of_a_site_is_in_force() {
    let mut machine = Machine::new();
    assert_eq!(run(&mut machine, &[(1, site(7, "a"))]), accepted(1));
    assert_eq!(run(&mut machine, &[(2, site(7, "b"))]), Outcome::Done);
    assert_eq!(run(&mut machine, &[(3, site(5, "c"))]), Outcome::Done);
    let source = |machine: &Machine| machine.site().map(|site| site.source.clone());
    assert_eq!(source(&machine).as_deref(), Some("7 a"));
    assert_eq!(run(&mut machine, &[(4, site(9, "d"))]), accepted(2));
    let restored = Machine::restore(&machine.snapshot().unwrap()).unwrap();
    assert_eq!(source(&restored).as_deref(), Some("9 d"));
    assert_eq!(restored.config(), machine.config());
}

/// Guards against an invalid site configuration that takes effect because only the interface to
/// operators checks it.
#[test]
fn an_invalid_site_is_refused() {
    let mut machine = Machine::new();
    let Command::PutSite(mut document) = site(7, "a") else { panic!("a site") };
    document.config.routes[0].timeout = Millis::ZERO;
    let outcome = run(&mut machine, &[(1, Command::PutSite(document))]);
    assert!(matches!(outcome, Outcome::Refused { .. }), "{outcome:?}");
    assert_eq!(machine.site(), None);
}
