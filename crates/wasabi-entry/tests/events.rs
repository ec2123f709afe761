//! Splitting a stream into events, against a naive reader of the whole text.

use std::time::{Duration, Instant};

use proptest::{prelude::*, test_runner::RngSeed};
use wasabi_entry::{
    dispatch::events::{Reader, StreamError},
    events::EVENT_BYTES_MAX,
    forward,
};
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
            let chunk = &text.as_bytes()[from..cut];
            from = cut;
            if !is_whole {
                let chunk = reader.read(chunk).unwrap();
                passed.extend_from_slice(&chunk.events);
                is_whole = chunk.is_complete;
            }
        }
        prop_assert!(is_whole);
        prop_assert_eq!(String::from_utf8(passed).unwrap(), events);
        prop_assert_eq!(reader.tokens() as usize, tokens.len());
    }

    /// Guards against a panic on bytes that no engine should send.
    #[test]
    fn any_bytes_are_survived(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Reader::new(ATTEMPT, 0).read(&bytes);
        let _ = forward::events::Reader::default().read(&bytes);
    }
}

fn read(text: &str) -> Result<bool, StreamError> {
    let mut reader = Reader::new(ATTEMPT, 0);
    reader.read(text.as_bytes()).map(|chunk| chunk.is_complete)
}

/// Guards against ends that are passed on although they do not prove that the answer is whole.
#[test]
fn false_ends_are_refused() {
    assert_eq!(read(&format!("data: a\n\n{}", end(1))), Ok(true));
    assert_eq!(read(&format!("data: a\n\n{}", end(2))), Err(StreamError::WrongTokenCount));
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
fn an_endless_event_is_refused() {
    assert_eq!(read(&"a".repeat(EVENT_BYTES_MAX + 1)), Err(StreamError::TooLong));
}

/// Longest time for an event of [`EVENT_BYTES_MAX`] that comes byte by byte.
const BYTES_TIME: Duration = Duration::from_secs(5);

/// Guards against a long event in small parts that keeps a traffic thread busy, since each part is
/// compared with all before it.
#[test]
fn an_event_in_single_bytes_takes_time_for_each_byte_only() {
    let (mut tokens, mut passed) = (Reader::new(ATTEMPT, 0), forward::events::Reader::default());
    let started = Instant::now();
    for _ in 0..EVENT_BYTES_MAX {
        assert!(tokens.read(b"a").is_ok() && passed.read(b"a").is_ok());
        assert!(started.elapsed() < BYTES_TIME, "still busy after {:?}", started.elapsed());
    }
    assert_eq!(tokens.read(b"a"), Err(StreamError::TooLong));
    assert!(passed.read(b"a").is_err());
}

/// Guards against comments and empty events without end that pass for progress or fill the memory.
#[test]
fn comments_and_empty_events_are_no_progress_and_are_bounded() {
    for quiet in [":\n\n", "\n\n", ": x\n: y\n\n", "\r\n\r\n"] {
        let mut tokens = Reader::new(ATTEMPT, 0);
        let mut passed = forward::events::Reader::default();
        for _ in 0..EVENT_BYTES_MAX / quiet.len() {
            assert!(!tokens.read(quiet.as_bytes()).unwrap().has_progress, "{quiet:?}");
            passed.read(quiet.as_bytes()).unwrap();
        }
        assert_eq!((tokens.tokens(), passed.count()), (0, 0), "{quiet:?}");
        let more = quiet.repeat(2);
        assert_eq!(tokens.read(more.as_bytes()), Err(StreamError::TooLong), "{quiet:?}");
        assert!(passed.read(more.as_bytes()).is_err(), "{quiet:?}");
    }
}

/// Guards against comments between tokens that count up to an error.
#[test]
fn a_field_after_comments_is_progress() {
    let mut tokens = Reader::new(ATTEMPT, 0);
    let mut passed = forward::events::Reader::default();
    for _ in 0..4 {
        for _ in 0..EVENT_BYTES_MAX / 8 {
            tokens.read(b":\n\n").unwrap();
            passed.read(b":\n\n").unwrap();
        }
        assert!(tokens.read(b"data: a\n\n").unwrap().has_progress);
        passed.read(b"data: a\n\n").unwrap();
    }
    assert_eq!((tokens.tokens(), passed.count()), (4, 4));
}
