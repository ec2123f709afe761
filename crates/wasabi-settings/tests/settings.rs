//! Tests of settings: complete error lists, and reference pages that match the types.

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

/// Guards against a daemon that reports only one error per start.
#[test]
fn all_errors_in_an_entry_file_are_reported() {
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
    let errors = parse::<entry::Settings>(text).unwrap_err();
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
            errors.iter().any(|error| error.starts_with(expected)),
            "`{expected}` is missing from {errors:#?}"
        );
    }
}

/// Guards against a control daemon that starts without its data directory.
#[test]
fn missing_data_directory_is_rejected() {
    let text = "
name: control-1
region: macedonia
data_centre: kozani-1
data: /nonexistent/wasabidoor
operator_digests: [abc]
members: [{ name: control-2, address: 127.0.0.1:7000 }]
";
    let errors = parse::<control::Settings>(text).unwrap_err();
    for expected in ["data: /nonexistent/wasabidoor is not", "operator_digests[0]", "`members`"] {
        assert!(errors.iter().any(|error| error.contains(expected)), "{expected}: {errors:#?}");
    }
}

/// Guards against YAML syntax errors that are reported without their location.
#[test]
fn malformed_yaml_is_reported_with_its_line() {
    let errors = parse::<entry::Settings>("name: [unclosed\nregion: x\n").unwrap_err();
    assert!(errors[0].contains("line"), "{errors:?}");
}

/// Guards against two sources of contracts that could contradict each other, and against none.
#[rstest]
#[case("control: [127.0.0.1:7000]\ncontracts: /tmp/contracts.yaml")]
#[case("control: []")]
fn contracts_come_from_exactly_one_source(#[case] source: &str) {
    let text = format!("name: a\nregion: b\ndata_centre: c\n{source}\n");
    let errors = parse::<entry::Settings>(&text).unwrap_err();
    assert!(errors.iter().any(|error| error.starts_with("control: ")), "{errors:?}");
}

#[rstest]
#[case("500ms", 500)]
#[case("30s", 30_000)]
#[case("5m", 300_000)]
fn durations_are_parsed_with_their_unit(#[case] text: &str, #[case] ms: u64) {
    assert_eq!(Millis::parse(text), Ok(Millis(ms)));
}

/// Guards against an overflow in unit conversion that results in a short duration.
#[test]
fn overflowing_duration_is_rejected() {
    assert!(Millis::parse("18446744073709551615m").is_err());
}

#[test]
fn valid_entry_file_is_accepted() {
    let settings = parse::<entry::Settings>(ENTRY).unwrap();
    assert_eq!(settings.name, "entry-1");
    assert_eq!(*settings.callers.head_time, Millis::from_secs(10));
}

/// Guards against an error message that does not name the file.
#[test]
fn error_names_the_rejected_file() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("entry.yaml");
    fs::write(&path, "name: a\n").unwrap();
    let error = file::read::<entry::Settings>(&path).unwrap_err().to_string();
    assert!(error.contains("entry.yaml") && error.contains("region: is required"), "{error}");
}

/// Guards against reference pages that don't match the parser.
/// `cargo run -p wasabi-settings --example reference` regenerates them.
#[test]
fn reference_pages_match_the_types() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings");
    let pages = [
        ("entryd.md", reference::markdown::<entry::Settings>("wasabi-entryd")),
        ("controld.md", reference::markdown::<control::Settings>("wasabi-controld")),
    ];
    for (name, page) in pages {
        assert_eq!(fs::read_to_string(directory.join(name)).unwrap(), page, "{name}");
    }
}
