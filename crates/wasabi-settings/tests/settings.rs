//! Tests of settings: complete fault lists and reference pages that match the types.

use std::{fs, path::Path};

use rstest::rstest;
use wasabi_protocol::clock::Millis;
use wasabi_settings::{
    control, entry,
    file::{self, parse},
    reference,
    scalar::Field as _,
};

const ENTRY: &str = "
name: entry-1
region: macedonia
data_centre: kozani-1
control: [127.0.0.1:7000]
";

/// Guards against an operator who corrects one fault at each start of a daemon.
#[test]
fn every_fault_of_an_entry_file_is_listed() {
    let text = "
name: ''
region: macedonia
data_centre: kozani-1
colour: green
listen:
  callers: 0.0.0.0:7100
  peers: 127.0.0.1:7100
  metrics: localhost
callers:
  head_time: 10
  body_time: 10 hours
traffic_threads: 0
";
    let faults = parse::<entry::Settings>(text).unwrap_err();
    for expected in [
        "name: is required",
        "colour: unknown key",
        "listen.peers: 127.0.0.1:7100 overlaps with `callers`",
        "listen.metrics: `localhost` is not an IP address",
        "callers.head_time: `10` has no unit",
        "callers.body_time: unit `hours` is unknown",
        "traffic_threads: must be at least 1",
        "control: is required",
    ] {
        assert!(
            faults.iter().any(|fault| fault.starts_with(expected)),
            "`{expected}` is missing from {faults:#?}"
        );
    }
}

/// Guards against a control daemon that starts without the folder that its state must live in.
#[test]
fn a_missing_data_folder_is_refused() {
    let text = "
name: control-1
region: macedonia
data_centre: kozani-1
data: /nonexistent/wasabidoor
operator_digests: [abc]
members: [{ name: control-2, address: 127.0.0.1:7000 }]
";
    let faults = parse::<control::Settings>(text).unwrap_err();
    for expected in ["data: /nonexistent/wasabidoor is not", "operator_digests[0]", "`members`"] {
        assert!(faults.iter().any(|fault| fault.contains(expected)), "{expected}: {faults:#?}");
    }
}

/// Guards against broken YAML that is reported without its place.
#[test]
fn broken_yaml_is_reported_with_its_line() {
    let faults = parse::<entry::Settings>("name: [unclosed\nregion: x\n").unwrap_err();
    assert!(faults[0].contains("line"), "{faults:?}");
}

/// Guards against two sources of contracts that could disagree.
#[rstest]
#[case("control: [127.0.0.1:7000]\ncontracts: /tmp/contracts.yaml")]
#[case("control: []")]
fn contracts_come_from_exactly_one_source(#[case] source: &str) {
    let text = format!("name: a\nregion: b\ndata_centre: c\n{source}\n");
    let faults = parse::<entry::Settings>(&text).unwrap_err();
    assert!(faults.iter().any(|fault| fault.starts_with("control: ")), "{faults:?}");
}

#[rstest]
#[case("500ms", 500)]
#[case("30s", 30_000)]
#[case("5m", 300_000)]
fn spans_carry_their_unit(#[case] text: &str, #[case] ms: u64) {
    assert_eq!(Millis::read(text), Ok(Millis(ms)));
}

/// Guards against a span whose multiplication overflows and becomes short.
#[test]
fn a_span_that_overflows_is_refused() {
    assert!(Millis::read("18446744073709551615m").is_err());
}

#[test]
fn a_complete_entry_file_is_accepted() {
    let settings = parse::<entry::Settings>(ENTRY).unwrap();
    assert_eq!(settings.name, "entry-1");
    assert_eq!(*settings.callers.head_time, Millis::from_secs(10));
}

/// Guards against an error that does not say which file has the faults.
#[test]
fn a_refused_file_is_named() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.yaml");
    fs::write(&path, "name: a\n").unwrap();
    let error = file::read::<entry::Settings>(&path).unwrap_err().to_string();
    assert!(error.contains("entry.yaml") && error.contains("region: is required"), "{error}");
}

/// Guards against a reference page that no longer matches the parser.
/// `cargo run -p wasabi-settings --example reference` writes the pages anew.
#[test]
fn reference_pages_match_the_types() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings");
    let pages = [
        ("entryd.md", reference::markdown::<entry::Settings>("wasabi-entryd")),
        ("controld.md", reference::markdown::<control::Settings>("wasabi-controld")),
    ];
    for (name, page) in pages {
        assert_eq!(fs::read_to_string(folder.join(name)).unwrap(), page, "{name}");
    }
}
