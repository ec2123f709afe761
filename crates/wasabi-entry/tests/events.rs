//! Splitting byte streams into events, independent of the chunks in which the bytes arrive.

use std::time::{Duration, Instant};

use proptest::{prelude::*, test_runner::RngSeed};
use wasabi_entry::{
    dispatch::events::{Reader, StreamError},
    events::EVENT_BYTES_MAX,
    forward,
};
use wasabi_protocol::id;

const ATTEMPT: id::Attempt = id::Attempt(7);

/// Returns the end event of a stream with this many tokens.
fn end_event(tokens: u32) -> String {
    format!("event: end\ndata: {{\"attempt\":\"{ATTEMPT}\",\"tokens\":{tokens}}}\n\n")
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), cases: 256, ..ProptestConfig::default() })]

    /// Guards against events that are lost, split or counted twice at chunk boundaries.
    #[test]
    fn chunk_boundaries_make_no_difference(
        tokens in prop::collection::vec("[a-z]{0,20}", 0..40),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..20),
    ) {
        let events: String = tokens.iter().map(|token| format!("data: {token}\n\n")).collect();
        let text = events.clone() + &end_event(u32::try_from(tokens.len()).unwrap());
        let mut cuts: Vec<_> = cuts.iter().map(|cut| cut.index(text.len())).collect();
        cuts.push(text.len());
        cuts.sort_unstable();
        let mut reader = Reader::new(ATTEMPT, 0);
        let (mut forwarded, mut from, mut is_complete) = (Vec::new(), 0, false);
        for cut in cuts {
            let chunk = &text.as_bytes()[from..cut];
            from = cut;
            if !is_complete {
                let chunk = reader.read(chunk).unwrap();
                forwarded.extend_from_slice(&chunk.events);
                is_complete = chunk.is_complete;
            }
        }
        prop_assert!(is_complete);
        prop_assert_eq!(String::from_utf8(forwarded).unwrap(), events);
        prop_assert_eq!(reader.tokens() as usize, tokens.len());
    }

    /// Guards against a panic on malformed streams.
    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Reader::new(ATTEMPT, 0).read(&bytes);
        let _ = forward::events::Reader::default().read(&bytes);
    }
}

fn read(text: &str) -> Result<bool, StreamError> {
    let mut reader = Reader::new(ATTEMPT, 0);
    reader.read(text.as_bytes()).map(|chunk| chunk.is_complete)
}

/// Guards against end events that are accepted although they do not prove that the answer is
/// complete.
#[test]
fn invalid_end_events_are_rejected() {
    assert_eq!(read(&format!("data: a\n\n{}", end_event(1))), Ok(true));
    assert_eq!(read(&format!("data: a\n\n{}", end_event(2))), Err(StreamError::WrongTokenCount));
    assert_eq!(read("data: a\n\ndata: [DONE]\n\n"), Err(StreamError::MissingEnd));
    assert_eq!(
        read("event: end\ndata: {\"attempt\":\"8\",\"tokens\":0}\n\n"),
        Err(StreamError::WrongAttempt)
    );
    assert_eq!(read("event: end\ndata: nonsense\n\n"), Err(StreamError::InvalidEnd));
    assert_eq!(read("event: error\ndata: {}\n\n"), Err(StreamError::EndpointError));
}

/// Guards against unbounded memory on an event that never ends.
#[test]
fn an_endless_event_is_rejected() {
    assert_eq!(read(&"a".repeat(EVENT_BYTES_MAX + 1)), Err(StreamError::TooLong));
}

/// Longest time to read an event of [`EVENT_BYTES_MAX`] byte by byte.
const READ_TIME_MAX: Duration = Duration::from_secs(5);

/// Guards against quadratic time for a long event in small parts, which kept a traffic thread busy
/// when each part was searched together with all bytes before it.
#[test]
fn an_event_in_single_bytes_takes_linear_time() {
    let (mut tokens, mut forwarded) = (Reader::new(ATTEMPT, 0), forward::events::Reader::default());
    let started = Instant::now();
    for _ in 0..EVENT_BYTES_MAX {
        assert!(tokens.read(b"a").is_ok() && forwarded.read(b"a").is_ok());
        assert!(started.elapsed() < READ_TIME_MAX, "still reading after {:?}", started.elapsed());
    }
    assert_eq!(tokens.read(b"a"), Err(StreamError::TooLong));
    assert!(forwarded.read(b"a").is_err());
}

/// Guards against endless comments and empty events that count as progress or exhaust the memory.
#[test]
fn comments_and_empty_events_are_no_progress_and_are_bounded() {
    for empty in [":\n\n", "\n\n", ": x\n: y\n\n", "\r\n\r\n"] {
        let mut tokens = Reader::new(ATTEMPT, 0);
        let mut forwarded = forward::events::Reader::default();
        for _ in 0..EVENT_BYTES_MAX / empty.len() {
            assert!(!tokens.read(empty.as_bytes()).unwrap().has_progress, "{empty:?}");
            forwarded.read(empty.as_bytes()).unwrap();
        }
        assert_eq!((tokens.tokens(), forwarded.count()), (0, 0), "{empty:?}");
        let more = empty.repeat(2);
        assert_eq!(tokens.read(more.as_bytes()), Err(StreamError::TooLong), "{empty:?}");
        assert!(forwarded.read(more.as_bytes()).is_err(), "{empty:?}");
    }
}

/// Guards against comments that add up to an error although tokens arrive between them.
#[test]
fn a_field_after_comments_is_progress() {
    let mut tokens = Reader::new(ATTEMPT, 0);
    let mut forwarded = forward::events::Reader::default();
    for _ in 0..4 {
        for _ in 0..EVENT_BYTES_MAX / 8 {
            tokens.read(b":\n\n").unwrap();
            forwarded.read(b":\n\n").unwrap();
        }
        assert!(tokens.read(b"data: a\n\n").unwrap().has_progress);
        forwarded.read(b"data: a\n\n").unwrap();
    }
    assert_eq!((tokens.tokens(), forwarded.count()), (4, 4));
}
