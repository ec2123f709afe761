//! Splitting a stream into events, against a naive reader of the whole text.

use bytes::Bytes;
use proptest::{prelude::*, test_runner::RngSeed};
use wasabi_entry::dispatch::events::{EVENT_BYTES_MAX, Malformed, Reader};
use wasabi_protocol::id;

const ATTEMPT: id::Attempt = id::Attempt(7);

fn end(tokens: u32) -> String {
    format!("event: end\ndata: {{\"attempt\":\"{ATTEMPT}\",\"tokens\":{tokens}}}\n\n")
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), cases: 256, ..ProptestConfig::default() })]

    /// Guards against events that are lost, split or counted twice where chunks meet.
    #[test]
    fn chunks_make_no_difference(
        tokens in prop::collection::vec("[a-z]{0,20}", 0..40),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
    ) {
        let events: String = tokens.iter().map(|token| format!("data: {token}\n\n")).collect();
        let text = events.clone() + &end(u32::try_from(tokens.len()).unwrap());
        let mut cuts: Vec<_> = cuts.iter().map(|cut| cut.index(text.len())).collect();
        cuts.push(text.len());
        cuts.sort_unstable();
        let mut reader = Reader::new(ATTEMPT, 0);
        let (mut passed, mut from, mut is_whole) = (Vec::new(), 0, false);
        for cut in cuts {
            let chunk = Bytes::copy_from_slice(&text.as_bytes()[from..cut]);
            from = cut;
            if !is_whole {
                let chunk = reader.read(chunk).unwrap();
                passed.extend_from_slice(&chunk.events);
                is_whole = chunk.is_whole;
            }
        }
        prop_assert!(is_whole);
        prop_assert_eq!(String::from_utf8(passed).unwrap(), events);
        prop_assert_eq!(reader.tokens() as usize, tokens.len());
    }

    /// Guards against a panic on bytes that no engine should send.
    #[test]
    fn any_bytes_are_survived(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Reader::new(ATTEMPT, 0).read(Bytes::from(bytes));
    }
}

fn read(text: &str) -> Result<bool, Malformed> {
    let mut reader = Reader::new(ATTEMPT, 0);
    reader.read(Bytes::copy_from_slice(text.as_bytes())).map(|chunk| chunk.is_whole)
}

/// Guards against ends that are passed on although they do not prove that the answer is whole.
#[test]
fn false_ends_are_refused() {
    assert_eq!(read(&format!("data: a\n\n{}", end(1))), Ok(true));
    assert_eq!(read(&format!("data: a\n\n{}", end(2))), Err(Malformed::Count));
    assert_eq!(read("data: a\n\ndata: [DONE]\n\n"), Err(Malformed::NoEnd));
    assert_eq!(
        read("event: end\ndata: {\"attempt\":\"8\",\"tokens\":0}\n\n"),
        Err(Malformed::Crossed)
    );
    assert_eq!(read("event: end\ndata: nonsense\n\n"), Err(Malformed::End));
    assert_eq!(read("event: error\ndata: {}\n\n"), Err(Malformed::Error));
}

/// Guards against unbounded memory on an event that never ends.
#[test]
fn an_endless_event_is_refused() {
    assert_eq!(read(&"a".repeat(EVENT_BYTES_MAX + 1)), Err(Malformed::TooLong));
}
