//! Requests from a caller through an entry to stand-ins on loopback, and what the entry itself
//! serves.

mod support;

use awc::http::StatusCode;
use serde_json::Value;
use support::{Entry, expected_text, start_engine, start_service};

/// Guards against a list of entries without a usable address; callers find entries only by it.
#[actix_rt::test]
async fn the_list_of_entries_has_the_entrys_address() {
    let entry = Entry::standalone("");
    let caller = entry.caller();
    let answer = caller.send(caller.request("GET", "/v1/entries"), "").await;
    assert_eq!(answer.status, StatusCode::OK);
    let list: Value = serde_json::from_str(&answer.body).unwrap();
    assert_eq!(list["entries"][0]["address"], entry.address());
    assert_eq!(list["revision"], 1);
}

/// Guards against lost, reordered or repeated tokens in a stream.
#[actix_rt::test]
async fn a_caller_gets_the_whole_stream() {
    let entry = Entry::standalone("");
    let _engine = start_engine("m1", &[&entry]);
    let answer = entry.caller().chat("stock of coal", 500).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    assert_eq!(answer.text(), expected_text("stock of coal", 500));
    assert!(answer.is_done() && answer.is_complete);
    assert_eq!(answer.ran, "ran");
}

/// Guards against at-most-once calls without a record, which needs a control group.
#[actix_rt::test]
async fn a_standalone_entry_refuses_at_most_once_calls() {
    let entry = Entry::standalone("");
    let service = start_service("s1", &[&entry]);
    let answer = entry.caller().order("k1", "one lorry").await;
    assert_eq!(answer.kind(), "record_unavailable", "{}", answer.body);
    assert_eq!(answer.ran, "not_run");
    assert_eq!(service.counts().requests, 0);
}

/// Guards against a service call whose request or answer body is not forwarded.
#[actix_rt::test]
async fn a_service_call_is_forwarded() {
    let entry = Entry::standalone("");
    let service = start_service("s1", &[&entry]);
    let caller = entry.caller();
    let answer = caller.send(caller.request("POST", "/services/desk/repeatable"), "hello").await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    let body: Value = serde_json::from_str(&answer.body).unwrap();
    assert_eq!(body["echo"], "hello");
    assert_eq!(service.counts().requests, 1);
}

/// Guards against an entry that does not present its certificate.
#[actix_rt::test]
async fn callers_can_use_tls() {
    let directory = tempfile::tempdir().unwrap();
    let self_signed = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()]).unwrap();
    let (certificate, key) = (directory.path().join("cert.pem"), directory.path().join("key.pem"));
    std::fs::write(&certificate, self_signed.cert.pem()).unwrap();
    std::fs::write(&key, self_signed.signing_key.serialize_pem()).unwrap();
    let extra_settings =
        format!("tls: {{certificate: {}, key: {}}}", certificate.display(), key.display());
    let entry = Entry::standalone(&extra_settings);
    let mut roots = rustls::RootCertStore::empty();
    roots.add(self_signed.cert.der().clone()).unwrap();
    let provider = std::sync::Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = awc::Connector::new().rustls_0_23(std::sync::Arc::new(config));
    let client = awc::Client::builder().connector(connector).finish();
    let request = client
        .get(format!("https://{}/v1/entries", entry.address()))
        .insert_header(("authorization", format!("Bearer {}", support::TOKEN)));
    assert_eq!(request.send().await.unwrap().status(), StatusCode::OK);
}

/// Guards against answers and refusals that the metrics do not count.
#[actix_rt::test]
async fn metrics_count_answers_and_refusals() {
    let entry = Entry::standalone("");
    let _engine = start_engine("m1", &[&entry]);
    let caller = entry.caller();
    caller.wait_until_served().await;
    caller.send(caller.request("POST", "/services/desk/none"), "").await;
    let url = format!("http://{}/metrics", entry.daemon.metrics());
    let mut response = awc::Client::new().get(url).send().await.unwrap();
    let page = String::from_utf8(response.body().await.unwrap().to_vec()).unwrap();
    for line in [
        r#"wasabi_entry_goodput_total{tier="0"} 1"#,
        r#"wasabi_entry_dispatches_total{tier="0"} 1"#,
        r#"wasabi_entry_refusals_total{kind="unknown_route",tier="unknown"} 1"#,
        "wasabi_entry_revision 1",
    ] {
        assert!(page.contains(line), "missing metric {line} in\n{page}");
    }
}
