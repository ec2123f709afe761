//! Tests of messages that are sent in parts.
#![allow(clippy::unwrap_used, reason = "a test fails at the first error")]

use proptest::{
    collection::vec,
    prelude::{Just, Strategy, any},
    prop_assert, prop_assert_eq, proptest,
    test_runner::{Config, RngSeed},
};
use wasabi_control::parts::{Assembly, PART_BYTES, split};
use wasabi_protocol::{id, rpc::Part};

const SEED: u64 = 19;

/// Largest message in these tests: a few parts, so that the cases run quickly.
const BYTES_MAX: usize = 6 * PART_BYTES;

fn config() -> Config {
    Config { cases: 64, rng_seed: RngSeed::Fixed(SEED), ..Config::default() }
}

fn sender() -> id::Member {
    "sender".into()
}

/// Returns a message, and the indices of its parts in order of arrival, some of them repeated.
fn message_with_arrival_order() -> impl Strategy<Value = (Vec<u8>, Vec<usize>)> {
    let message = (1..BYTES_MAX, any::<u8>()).prop_map(|(length, first)| {
        (0..length).map(|index| (index / 7) as u8 ^ first).collect::<Vec<_>>()
    });
    message.prop_flat_map(|message| {
        let count = message.len().div_ceil(PART_BYTES);
        let order = Just((0..count).collect::<Vec<_>>()).prop_shuffle();
        let repeated = vec(0..count, 0..3);
        let order = (order, repeated).prop_map(|(order, repeated)| [repeated, order].concat());
        (Just(message), order)
    })
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a message that is corrupted or never completed when it is sent in parts, and
    /// against a part that exceeds the size of a request.
    #[test]
    fn parts_reassemble_to_the_same_message((message, order) in message_with_arrival_order(), number in any::<u64>()) {
        let chunks = split(&message, number);
        prop_assert!(chunks.iter().all(|(_, chunk)| chunk.len() <= PART_BYTES));
        if let [(None, chunk)] = chunks[..] {
            prop_assert_eq!(chunk, &message[..]);
            return Ok(());
        }
        let mut assembly = Assembly::default();
        let mut assembled = None;
        for index in order {
            prop_assert_eq!(&assembled, &None, "a message is completed only once");
            let (part, chunk) = chunks[index];
            assembled = assembly.add(&sender(), part.unwrap(), chunk.to_vec());
            if assembled.is_some() {
                break;
            }
        }
        prop_assert_eq!(assembled, Some(message));
    }
}

/// Guards against mixing the parts of two messages: the first message lost a part with its
/// connection and is retransmitted under another number.
#[test]
fn parts_of_different_messages_are_not_mixed() {
    let (first, second) = (vec![1; 2 * PART_BYTES], vec![2; 2 * PART_BYTES]);
    let mut assembly = Assembly::default();
    let add = |assembly: &mut Assembly, (part, chunk): (Option<Part>, &[u8])| {
        assembly.add(&sender(), part.unwrap(), chunk.to_vec())
    };
    assert_eq!(add(&mut assembly, split(&first, 1)[0]), None);
    assert_eq!(add(&mut assembly, split(&second, 2)[1]), None);
    assert_eq!(add(&mut assembly, split(&second, 2)[0]), Some(second));
    assert_eq!(add(&mut assembly, split(&first, 1)[1]), None);
}

/// Guards against memory that is reserved for the count stated in a part but never filled.
#[test]
fn a_part_with_an_invalid_index_or_count_is_ignored() {
    let mut assembly = Assembly::default();
    for (index, count) in [(0, 0), (2, 2), (0, u32::MAX)] {
        assert_eq!(assembly.add(&sender(), Part { number: 1, index, count }, vec![1]), None);
    }
}
