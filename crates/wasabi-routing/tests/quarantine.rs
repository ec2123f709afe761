//! Tests of suspects and quarantine.

use proptest::{prelude::*, test_runner::RngSeed};
use wasabi_protocol::{clock::Millis, fingerprint::Body, id, rpc::Suspect};
use wasabi_routing::quarantine::{Permit, REPORT_AGE_MAX, RETENTION, SUSPECTS_MAX, Table};

fn crash(table: &mut Table, now: Millis, batch: &[u64]) {
    let organisation = id::Organisation::from("o");
    let batch = batch.iter().map(|body| (Body(*body), &organisation)).collect::<Vec<_>>();
    table.record_crash(now, &batch);
}

fn is_refused(table: &Table, now: Millis, body: u64) -> bool {
    matches!(table.permit(now, Body(body)), Permit::Refused { .. })
}

/// Guards against a request that crashes one endpoint after the other: its caller repeats it through
/// two pools whose owners exchange reports only every 500 ms.
#[test]
fn a_crashing_request_crashes_few_endpoints() {
    let mut owners = [Table::default(), Table::default()];
    let mut crashes = 0;
    for step in 0..200_u64 {
        let now = Millis(step * 100);
        if step % 5 == 0 {
            let reports = owners.each_ref().map(|owner| owner.report(now));
            owners[0].merge(now, &reports[1]);
            owners[1].merge(now, &reports[0]);
        }
        let owner = &mut owners[step as usize % 2];
        match owner.permit(now, Body(7)) {
            Permit::Free => crash(owner, now, &[7, 1_000 + step, 2_000 + step, 3_000 + step]),
            Permit::Alone => crash(owner, now, &[7]),
            Permit::Wait | Permit::Refused { .. } => continue,
        }
        crashes += 1;
    }
    assert!(crashes <= 4, "{crashes} endpoints crashed");
    assert!(owners.iter().all(|owner| is_refused(owner, Millis(20_000), 7)));
}

/// Guards against a harmless request of the same batch that remains a suspect, at its own pool or
/// through an echo of an old report from a peer.
#[test]
fn a_finished_request_stays_cleared() {
    let (mut own, mut peer) = (Table::default(), Table::default());
    crash(&mut own, Millis(0), &[1, 2]);
    peer.merge(Millis(400), &own.report(Millis(0)));
    assert_eq!(own.permit(Millis(500), Body(1)), Permit::Alone);
    own.record_finish(Millis(600), Body(1));
    own.merge(Millis(1_000), &peer.report(Millis(1_000)));
    assert_eq!(own.permit(Millis(1_000), Body(1)), Permit::Free);
    assert_eq!(own.permit(Millis(1_000), Body(2)), Permit::Alone);
    // A later crash at the peer is not an echo.
    crash(&mut peer, Millis(9_000), &[1]);
    own.merge(Millis(9_100), &peer.report(Millis(9_100)));
    assert!(is_refused(&own, Millis(9_100), 1));
}

/// Guards against quarantine after one crash or after two crashes in large batches, and against a
/// quarantine that never ends.
#[test]
fn quarantine_requires_two_crashes_and_the_full_weight() {
    let mut table = Table::default();
    crash(&mut table, Millis(0), &[1]);
    crash(&mut table, Millis(0), &[2, 3, 4]);
    crash(&mut table, Millis(0), &[2, 3, 4]);
    assert_eq!([1, 2].map(|body| is_refused(&table, Millis(1), body)), [false, false]);
    crash(&mut table, Millis(0), &[2, 3, 4]);
    crash(&mut table, Millis(0), &[1]);
    assert_eq!([1, 2].map(|body| is_refused(&table, Millis(1), body)), [true, true]);
    table.record_finish(Millis(2), Body(1));
    assert!(is_refused(&table, Millis(2), 1));
    assert_eq!(table.permit(RETENTION, Body(1)), Permit::Free);
}

/// Guards against two suspects of a pool that run at the same time.
#[test]
fn suspects_run_one_at_a_time() {
    let mut table = Table::default();
    crash(&mut table, Millis(0), &[1, 2]);
    table.start_alone(Body(1), id::Attempt(10));
    assert_eq!(table.permit(Millis(1), Body(2)), Permit::Wait);
    table.end_attempt(id::Attempt(99));
    assert_eq!(table.permit(Millis(1), Body(2)), Permit::Wait);
    table.end_attempt(id::Attempt(10));
    assert_eq!(table.permit(Millis(1), Body(2)), Permit::Alone);
}

/// Guards against peers that keep a suspect alive for each other forever, and against a process whose
/// clock has just started and that extends the retention.
#[test]
fn reports_do_not_extend_each_other() {
    let mut tables = [Table::default(), Table::default(), Table::default()];
    crash(&mut tables[0], Millis(0), &[1]);
    let mut now = Millis(0);
    while now < RETENTION + RETENTION {
        now = now + Millis(500);
        for from in 0..3 {
            let report = tables[from].report(now);
            // Each report takes 300 ms.
            tables[(from + 1) % 3].merge(now + Millis(300), &report);
        }
    }
    assert!(tables.iter().all(|table| table.permit(now, Body(1)) == Permit::Free));
    let mut young = Table::default();
    let age = REPORT_AGE_MAX - Millis(1);
    let suspect =
        Suspect { fingerprint: Body(1), organisation: "o".into(), crashes: 2, weight: 2.0, age };
    young.merge(Millis(10), &[suspect]);
    assert!(is_refused(&young, Millis(10), 1));
    assert!(!is_refused(&young, Millis(10) + (RETENTION - age), 1));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(4), cases: 64, ..ProptestConfig::default() })]

    /// Guards against an unbounded table, and against a flood of suspects that evicts a quarantined
    /// request.
    #[test]
    fn table_is_bounded(batches in prop::collection::vec(1_u64..64, 40..80)) {
        let mut table = Table::default();
        crash(&mut table, Millis(0), &[1]);
        crash(&mut table, Millis(0), &[1]);
        for (index, size) in batches.iter().enumerate() {
            let first = 1_000 + index as u64 * 100;
            let batch = (first..first + size).collect::<Vec<_>>();
            crash(&mut table, Millis(index as u64 + 1), &batch);
        }
        prop_assert!(table.len() <= SUSPECTS_MAX);
        prop_assert!(is_refused(&table, Millis(100), 1));
    }

    /// Guards against a merge whose result depends on the order or repetition of reports.
    #[test]
    fn merge_is_idempotent_and_commutative(
        reports in prop::collection::vec((0_u64..4, 1_u32..4, 0.0_f64..4.0, 0_u64..500_000), 1..12)
    ) {
        let suspects = reports.iter().map(|&(body, crashes, weight, age)| Suspect {
            fingerprint: Body(body), organisation: "o".into(), crashes, weight, age: Millis(age),
        }).collect::<Vec<_>>();
        let now = Millis(1_000_000);
        let (mut one, mut other) = (Table::default(), Table::default());
        one.merge(now, &suspects);
        for suspect in suspects.iter().rev().chain(&suspects) {
            other.merge(now, std::slice::from_ref(suspect));
        }
        let counts = |table: &Table| {
            let report = table.report(now);
            report.iter().map(|s| (s.fingerprint, s.crashes, s.weight.to_bits())).collect::<Vec<_>>()
        };
        prop_assert_eq!(counts(&one), counts(&other));
    }
}

/// Guards against messages that grow with the number of suspects: the loss of many endpoints at once
/// creates hundreds of suspects, and peers get a report twice a second.
#[test]
fn partial_reports_are_small_and_cover_all_suspects() {
    let (mut table, mut peer) = (Table::default(), Table::default());
    let bodies: Vec<_> = (0..600).collect();
    crash(&mut table, Millis(0), &bodies);
    for _ in 0..60 {
        let part = table.report_part(Millis(10), 10);
        assert_eq!(part.len(), 10);
        peer.merge(Millis(10), &part);
    }
    assert_eq!(peer.len(), 600);
}

/// Guards against a crashing request that is reported late, after hundreds of harmless ones.
#[test]
fn the_most_likely_and_new_suspects_are_reported_first() {
    let mut table = Table::default();
    let bodies: Vec<_> = (100..600).collect();
    crash(&mut table, Millis(0), &bodies);
    crash(&mut table, Millis(1), &[7]);
    crash(&mut table, Millis(2), &[7]);
    assert_eq!(table.report_part(Millis(3), 4)[0].fingerprint, Body(7));
    assert_eq!(table.report_worst(Millis(3), 1)[0].fingerprint, Body(7));
    for _ in 0..200 {
        table.report_part(Millis(4), 4);
    }
    crash(&mut table, Millis(5), &[8]);
    assert_eq!(table.report_part(Millis(6), 4)[0].fingerprint, Body(8));
}

/// Guards against a quarantined request that, after one lost message, a peer learns of only when all
/// suspects have been reported again.
#[test]
fn a_quarantined_request_is_reported_again_soon() {
    let (mut table, mut peer) = (Table::default(), Table::default());
    let bodies: Vec<_> = (100..1_000).collect();
    crash(&mut table, Millis(0), &bodies);
    crash(&mut table, Millis(1), &[7]);
    crash(&mut table, Millis(2), &[7]);
    let _lost = table.report_part(Millis(3), 24);
    peer.merge(Millis(4), &table.report_part(Millis(4), 24));
    assert!(is_refused(&peer, Millis(4), 7));
    for _ in 0..100 {
        peer.merge(Millis(5), &table.report_part(Millis(5), 24));
    }
    assert_eq!(peer.len(), 901, "the other suspects are reported as well");
}

/// Guards against finished requests that are reported as suspects for minutes: the table that reports
/// to peers are built from is separate from the table of the pool.
#[test]
fn requests_cleared_by_a_pool_are_no_longer_reported() {
    let (mut pool, mut reported) = (Table::default(), Table::default());
    crash(&mut pool, Millis(0), &[1, 2]);
    reported.sync_from(Millis(100), &pool);
    assert_eq!(reported.report(Millis(100)).len(), 2);
    pool.record_finish(Millis(200), Body(1));
    reported.sync_from(Millis(500), &pool);
    reported.sync_from(Millis(1_000), &pool);
    assert_eq!(reported.report(Millis(1_000)).len(), 1);
    // The request crashes an endpoint soon after it was cleared.
    crash(&mut pool, Millis(1_100), &[1]);
    reported.sync_from(Millis(1_500), &pool);
    assert_eq!(reported.permit(Millis(1_500), Body(1)), Permit::Alone);
    // A crash that only peers have seen is not cleared by an earlier finish at this pool.
    let mut peer = Table::default();
    crash(&mut peer, Millis(9_000), &[2]);
    pool.record_finish(Millis(5_000), Body(2));
    reported.merge(Millis(9_100), &peer.report(Millis(9_100)));
    reported.sync_from(Millis(9_500), &pool);
    assert_eq!(reported.permit(Millis(9_500), Body(2)), Permit::Alone);
}
