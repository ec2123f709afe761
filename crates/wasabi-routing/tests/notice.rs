//! Notices of endpoints: departures and rests.

use proptest::prelude::*;
use rstest::rstest;
use wasabi_protocol::{clock::Millis, id};
use wasabi_routing::notice::{self, Notice, REST_MAX, Table, Verdict};

fn endpoint() -> id::Endpoint {
    "m1".into()
}

fn notices() -> impl Strategy<Value = (u64, Notice, u64)> {
    let notice = prop_oneof![
        1 => Just(Notice::Leaving),
        4 => (0u64..5_000).prop_map(|rest| Notice::Rest(Millis(rest))),
    ];
    (1u64..4, notice, 0u64..3_000)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against a verdict that depends on the order in which responses arrive, and compares
    /// the table with a naive version that keeps every notice.
    #[test]
    fn the_order_of_notices_changes_nothing(
        noted in prop::collection::vec(notices(), 1..12),
        keys in prop::collection::vec(any::<u64>(), 12),
        asked in 0u64..9_000,
        incarnation in 1u64..4,
    ) {
        let mut shuffled: Vec<_> = noted.iter().zip(keys).collect();
        shuffled.sort_by_key(|(_, key)| *key);
        let (mut in_order, mut reordered) = (Table::default(), Table::default());
        for (number, notice, at) in &noted {
            in_order.record(Millis(*at), &endpoint(), *number, *notice);
        }
        for ((number, notice, at), _) in shuffled {
            reordered.record(Millis(*at), &endpoint(), *number, *notice);
        }
        let asked = Millis(asked);
        let verdict = in_order.verdict(asked, &endpoint(), incarnation);
        prop_assert_eq!(verdict, reordered.verdict(asked, &endpoint(), incarnation));
        // The notices of the newest incarnation hold for it and for all before it.
        let newest = noted.iter().map(|(number, ..)| *number).max().unwrap_or_default();
        let of_newest = noted.iter().filter(|(number, ..)| *number == newest);
        let mut expected = Verdict::Open;
        if incarnation <= newest {
            let mut rest_ends = Millis::ZERO;
            for (_, notice, at) in of_newest {
                match notice {
                    Notice::Leaving => expected = Verdict::Leaving,
                    Notice::Rest(rest) => rest_ends = rest_ends.max(Millis(*at) + *rest),
                }
            }
            let left = rest_ends - asked;
            if expected == Verdict::Open && left != Millis::ZERO {
                expected = Verdict::Resting(left);
            }
        }
        prop_assert_eq!(verdict, expected);
    }

    /// Guards against a clock that stands still or goes back and shortens or lengthens a rest.
    #[test]
    fn a_rest_ends_at_one_time(rest in 1u64..5_000, steps in prop::collection::vec(0u64..10_000, 1..20)) {
        let mut table = Table::default();
        table.record(Millis(1_000), &endpoint(), 1, Notice::Rest(Millis(rest)));
        for now in steps {
            let left = Millis(1_000 + rest) - Millis(now);
            let expected =
                if left == Millis::ZERO { Verdict::Open } else { Verdict::Resting(left) };
            prop_assert_eq!(table.verdict(Millis(now), &endpoint(), 1), expected);
            prop_assert_eq!(table.resting(Millis(now)).len(), usize::from(left != Millis::ZERO));
        }
    }

    /// Guards against a text that ends the process or is taken for another time.
    #[test]
    fn any_text_is_read_or_rejected(text in ".{0,40}") {
        if let Ok(rest) = notice::parse_rest(&text) {
            prop_assert!(rest <= REST_MAX);
            prop_assert!(text.trim().parse::<f64>().is_ok());
        }
    }
}

/// Guards against a departure that holds for a new process, or that a new process takes back for
/// the old one.
#[test]
fn a_departure_holds_for_its_incarnation_only() {
    let mut table = Table::default();
    let now = Millis(10);
    assert!(table.record(now, &endpoint(), 5, Notice::Leaving), "the first notice");
    assert!(!table.record(now, &endpoint(), 5, Notice::Leaving), "a repeated notice");
    assert_eq!(table.verdict(now, &endpoint(), 5), Verdict::Leaving);
    assert_eq!(table.verdict(now, &endpoint(), 6), Verdict::Open);
    table.record(now, &endpoint(), 6, Notice::Rest(Millis(100)));
    assert_eq!(table.verdict(now, &endpoint(), 6), Verdict::Resting(Millis(100)));
    assert!(!table.record(now, &endpoint(), 5, Notice::Leaving), "a late notice");
    assert_eq!(table.verdict(now, &endpoint(), 6), Verdict::Resting(Millis(100)));
}

/// Guards against memory that grows with every endpoint that ever left.
#[test]
fn the_memory_of_notices_is_bounded() {
    let mut table = Table::default();
    let name = |number: usize| id::Endpoint::from(format!("m{number}"));
    let count = 2 * notice::ENDPOINTS_MAX;
    for number in 0..count {
        table.record(Millis(number as u64), &name(number), 1, Notice::Leaving);
    }
    let now = Millis(count as u64);
    let kept =
        (0..count).filter(|number| table.verdict(now, &name(*number), 1) == Verdict::Leaving);
    assert_eq!(kept.count(), notice::ENDPOINTS_MAX);
    assert_eq!(table.verdict(now, &name(count - 1), 1), Verdict::Leaving, "the newest is kept");
}

/// Guards against misread times, above all against an endless rest.
#[rstest]
#[case::whole("2", Some(2_000))]
#[case::fraction("0.25", Some(250))]
#[case::spaces(" 1.5 ", Some(1_500))]
#[case::none("0", Some(0))]
#[case::largest("3600", Some(3_600_000))]
#[case::too_long("3600.1", None)]
#[case::negative("-0.5", None)]
#[case::infinite("inf", None)]
#[case::not_a_number("NaN", None)]
#[case::date("Fri, 31 Dec 1999 23:59:59 GMT", None)]
#[case::empty("", None)]
fn rests_are_parsed(#[case] text: &str, #[case] expected: Option<u64>) {
    assert_eq!(notice::parse_rest(text).ok(), expected.map(Millis));
}
