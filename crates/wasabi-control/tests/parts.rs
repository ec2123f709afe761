//! Tests of messages that go in parts.
#![allow(clippy::unwrap_used, reason = "a test ends at the first error")]

use proptest::{
    collection::vec,
    prelude::{Just, Strategy, any},
    prop_assert, prop_assert_eq, proptest,
    test_runner::{Config, RngSeed},
};
use wasabi_control::parts::{Assembly, PART_BYTES, split};
use wasabi_protocol::{id, rpc::Part};

const SEED: u64 = 19;

/// Most bytes of a message here: some parts, so that the cases stay quick.
const BYTES_MAX: usize = 6 * PART_BYTES;

fn config() -> Config {
    Config { cases: 64, rng_seed: RngSeed::Fixed(SEED), ..Config::default() }
}

fn sender() -> id::Member {
    "sender".into()
}

/// Returns a message, and the places of its parts in the order of their arrival, some of them twice.
fn arrivals() -> impl Strategy<Value = (Vec<u8>, Vec<usize>)> {
    let message = (1..BYTES_MAX, any::<u8>()).prop_map(|(length, first)| {
        (0..length).map(|place| (place / 7) as u8 ^ first).collect::<Vec<_>>()
    });
    message.prop_flat_map(|message| {
        let count = message.len().div_ceil(PART_BYTES);
        let order = Just((0..count).collect::<Vec<_>>()).prop_shuffle();
        let again = vec(0..count, 0..3);
        let order = (order, again).prop_map(|(order, again)| [again, order].concat());
        (Just(message), order)
    })
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a message that is changed, or never whole, when it goes in parts, and against a
    /// part that is larger than a request may be.
    #[test]
    fn parts_make_the_same_message((message, order) in arrivals(), number in any::<u64>()) {
        let pieces = split(&message, number);
        prop_assert!(pieces.iter().all(|(_, piece)| piece.len() <= PART_BYTES));
        if let [(None, piece)] = pieces[..] {
            prop_assert_eq!(piece, &message[..]);
            return Ok(());
        }
        let mut assembly = Assembly::default();
        let mut whole = None;
        for place in order {
            prop_assert_eq!(&whole, &None, "a message is whole once");
            let (part, piece) = pieces[place];
            whole = assembly.add(&sender(), part.unwrap(), piece.to_vec());
            if whole.is_some() {
                break;
            }
        }
        prop_assert_eq!(whole, Some(message));
    }
}

/// Guards against parts of two messages that are joined: the first one lost a part with its
/// connection, and is sent again under another number.
#[test]
fn parts_of_two_messages_are_not_joined() {
    let (first, second) = (vec![1; 2 * PART_BYTES], vec![2; 2 * PART_BYTES]);
    let mut assembly = Assembly::default();
    let add = |assembly: &mut Assembly, (part, piece): (Option<Part>, &[u8])| {
        assembly.add(&sender(), part.unwrap(), piece.to_vec())
    };
    assert_eq!(add(&mut assembly, split(&first, 1)[0]), None);
    assert_eq!(add(&mut assembly, split(&second, 2)[1]), None);
    assert_eq!(add(&mut assembly, split(&second, 2)[0]), Some(second));
    assert_eq!(add(&mut assembly, split(&first, 1)[1]), None);
}

/// Guards against memory that a sender takes by a part which states places that it never fills.
#[test]
fn a_part_that_fits_no_message_is_dropped() {
    let mut assembly = Assembly::default();
    for (index, count) in [(0, 0), (2, 2), (0, u32::MAX)] {
        assert_eq!(assembly.add(&sender(), Part { number: 1, index, count }, vec![1]), None);
    }
}
