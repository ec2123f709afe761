//! Tests of the `wasabi` command with a running control daemon.
#![allow(clippy::unwrap_used, reason = "a test fails at the first error")]

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Command, Output},
    time::Duration,
};

use tempfile::TempDir;
use wasabi_testkit::{process, process::Daemon, wait};

/// SHA-256 of `operator`.
const DIGEST: &str = "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23";

const CONTRACT: &str = "\
organisation: clinic
token_digests: [2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b]
share: 2
limits:
  requests_per_s: 10
  tokens_per_s: 1000
  concurrency: 4
routes:
  - name: quote
    tier: 0
    target:
      model: {name: chat}
    repeat: idempotent
    first_token_ms: 500
    between_tokens_ms: 50
    deadline_ms: 5000
  - name: book
    tier: 1
    target:
      service: {name: desk, method: POST, path_prefix: /bookings}
    repeat:
      at_most_once: {require_key: true, require_key_time: true}
    first_token_ms: 500
    between_tokens_ms: 50
    deadline_ms: 5000
";

/// A control daemon and its files.
struct Fixture {
    folder: TempDir,
    address: SocketAddr,
    _daemon: Daemon,
}

impl Fixture {
    fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let address = free_address();
        let data = folder.path().join("data");
        fs::create_dir(&data).unwrap();
        let settings = folder.path().join("controld.yaml");
        let text = format!(
            "name: m1\nregion: r\ndata_centre: a\nlisten: \"{address}\"\n\
             metrics: \"127.0.0.1:0\"\ndata: {}\noperator_digests: [{DIGEST}]\n\
             members:\n  - {{name: m1, address: \"{address}\"}}\n",
            data.display()
        );
        fs::write(&settings, text).unwrap();
        let binary = process::binary("wasabi-controld");
        let log = folder.path().join("controld.log");
        let arguments = ["--settings".into(), settings.into_os_string()];
        let daemon = Daemon::start(&binary, arguments, &log).unwrap();
        let fixture = Self { folder, address, _daemon: daemon };
        wait::until("a leader", Duration::from_secs(20), || {
            (fixture.run(&["status"]).0 == 0).then_some(())
        });
        fixture
    }

    fn write_contract(&self, text: &str) -> String {
        let path = self.folder.path().join("contract.yaml");
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    fn run(&self, arguments: &[&str]) -> (i32, String) {
        run(&self.address.to_string(), "operator", arguments)
    }
}

/// Returns an address with a free port below the range of ephemeral ports.
fn free_address() -> SocketAddr {
    let start = 30_000 + (std::process::id() % 200) as u16 * 10;
    let ports = (start..32_700).map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    ports.into_iter().find(|address| TcpListener::bind(address).is_ok()).unwrap()
}

fn run(address: &str, credential: &str, arguments: &[&str]) -> (i32, String) {
    let Output { status, stdout, stderr } =
        Command::new(PathBuf::from(env!("CARGO_BIN_EXE_wasabi")))
            .env("WASABI_CONTROL", address)
            .env("WASABI_CREDENTIAL", credential)
            .args(["--operator", "ada", "--timeout", "3"])
            .args(arguments)
            .output()
            .unwrap();
    let text = String::from_utf8(stdout).unwrap() + &String::from_utf8(stderr).unwrap();
    (status.code().unwrap(), text)
}

/// Guards against invalid files that are sent to control, and against errors without a location:
/// each error names the file, line, field and expected value.
#[test]
fn invalid_files_are_rejected_before_sending() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("c.yaml");
    let check = |text: &str| {
        fs::write(&path, text).unwrap();
        run("127.0.0.1:1", "operator", &["contract", "apply", path.to_str().unwrap()])
    };
    let invalid = CONTRACT
        .replace("tokens_per_s: 1000", "tokens_per_s: 0")
        .replace("tier: 1", "tier: 7")
        .replace("/bookings", "bookings");
    let (code, text) = check(&invalid);
    assert_eq!(code, 2, "{text}");
    for expected in [
        "c.yaml:6:17: limits.tokens_per_s must be at least 1",
        "c.yaml:18:11: routes[1].tier must be between 0 (most urgent) and 4",
        "c.yaml:20:56: routes[1].target.service.path_prefix must start with `/`",
    ] {
        assert!(text.contains(expected), "{expected} not in:\n{text}");
    }
    let (code, text) = check(&CONTRACT.replace("share: 2", "share: many"));
    assert_eq!(code, 2, "{text}");
    assert!(text.contains("c.yaml:3:8"), "{text}");
    let (code, text) = check(&CONTRACT.replace("share: 2", "share: 2\nshares: 3"));
    assert!(code == 2 && text.contains("shares") && text.contains("c.yaml:4:"), "{text}");
    let (code, text) = check(CONTRACT);
    assert!(code == 5 && text.contains("nothing was changed"), "{code} {text}");
}

/// Guards against wrong exit codes, a conflict message that does not name the change in force, a
/// repeated command that takes effect twice, and `contract show` output that cannot be applied.
#[test]
fn operators_change_contracts_and_moves() {
    let fixture = Fixture::start();
    let file = fixture.write_contract(CONTRACT);
    let (code, text) = run(&fixture.address.to_string(), "guess", &["contract", "apply", &file]);
    assert_eq!(code, 8, "{text}");
    let apply = ["contract", "apply", &file, "--command-id", "c1"];
    assert_eq!(fixture.run(&apply).0, 0);
    let (code, text) = fixture.run(&apply);
    assert!(code == 0 && text.contains("revision 1 "), "repeated command: {code} {text}");

    let (code, shown) = fixture.run(&["contract", "show", "clinic"]);
    assert_eq!(code, 0, "{shown}");
    let shown = shown.split_once("---\n").unwrap().1;
    let (code, text) = fixture.run(&["contract", "diff", &fixture.write_contract(shown)]);
    assert!(code == 0 && text.contains("no difference"), "{text}\n{shown}");

    let file = fixture.write_contract(&CONTRACT.replace("share: 2", "share: 3"));
    let (code, text) = fixture.run(&["contract", "diff", &file]);
    assert!(code == 0 && text.contains("share: 2 -> 3"), "{text}");
    let (code, text) = fixture.run(&["contract", "apply", &file, "--base", "0"]);
    let names_the_change = text.contains("ada applied the contract of clinic");
    assert!(code == 3 && names_the_change, "{code} {text}");

    let start = |name: &str, to: &str| {
        let plan = ["--backend", "chat", "--from", "v1", "--to", to, "--within-min", "10"];
        fixture.run(&[&["move", "start", name][..], &plan[..]].concat())
    };
    assert_eq!(start("up", "v2").0, 0);
    let (code, text) = start("other", "v3");
    assert!(code == 4 && text.contains("has the move up"), "{code} {text}");
    assert_eq!(fixture.run(&["move", "back", "up"]).0, 0);
    let (code, text) = fixture.run(&["move", "watch", "up"]);
    assert!(code == 9 && text.contains("ordered by ada"), "{code} {text}");
    let (code, text) = fixture.run(&["--json", "status"]);
    assert!(code == 0 && text.contains("\"banned\""), "{code} {text}");
    assert_eq!(fixture.run(&["contract", "remove", "clinic"]).0, 0);
    for command in [&["entries"][..], &["endpoints"], &["quarantine"], &["members", "list"]] {
        assert_eq!(fixture.run(command).0, 0, "{command:?}");
    }
}
