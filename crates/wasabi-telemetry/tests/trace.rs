//! Tests of trace contexts and of written spans.

use std::fs;

use rstest::rstest;
use wasabi_settings::log::Log;
use wasabi_telemetry::{
    log,
    trace::{Context, Sampled, Span},
};

/// Guards against accepting a malformed header, which could join the traces of unrelated requests.
#[rstest]
#[case("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", Some(Sampled::Yes))]
#[case("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00", Some(Sampled::No))]
#[case("cc-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-later", Some(Sampled::Yes))]
#[case("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-extra", None)]
#[case("ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", None)]
#[case("00-00000000000000000000000000000000-00f067aa0ba902b7-01", None)]
#[case("00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01", None)]
#[case("", None)]
fn headers_are_parsed_strictly(#[case] header: &str, #[case] expected: Option<Sampled>) {
    assert_eq!(Context::parse(header).map(|context| context.sampled), expected);
}

#[test]
fn parsing_a_formatted_context_returns_it() {
    let context = Context::root();
    assert_eq!(Context::parse(&context.to_string()), Some(context));
}

/// Guards against spans of a request that can't be joined into a trace, and against writing spans of
/// unsampled traces.
#[test]
fn spans_share_a_trace_and_name_their_parent() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("traces");
    let _logs = log::start(&Log { level: "info".to_owned(), traces: Some(path.clone()) }).unwrap();

    let caller = Context::root();
    let entry = Span::start("entry", Some(caller));
    let mut endpoint = entry.child("endpoint");
    endpoint.set_outcome("engine-1");
    let context = endpoint.context();
    drop(endpoint);
    drop(entry);
    drop(Span::start("unsampled", Some(Context { sampled: Sampled::No, ..caller })));

    let lines = fs::read_to_string(path).unwrap();
    let lines: Vec<_> = lines.lines().collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert_eq!(context.trace, caller.trace);
    assert!(lines[0].contains("outcome=engine-1"), "{lines:?}");
    assert!(lines[0].contains(&format!("span={:016x}", context.span)), "{lines:?}");
    assert!(lines[1].contains(&format!("parent={:016x}", caller.span)), "{lines:?}");
}
