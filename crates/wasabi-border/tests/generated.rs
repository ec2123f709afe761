//! Tests that the generated message types match their schema.

mod generator;

use wasabi_border::ChatRequest;

/// Guards against changing the schema without regenerating the types.
#[test]
fn committed_types_match_the_schema() {
    let generated = generator::source(include_str!("../schema/callers.json")).unwrap();
    assert_eq!(include_str!("../src/generated.rs"), generated);
}

/// Guards against rejecting a request with a field unknown to this version.
#[test]
fn requests_with_unknown_fields_are_accepted() {
    let text = r#"{"messages":[{"content":"hi","role":"user"}],"model":"m","seed":7}"#;
    let request: ChatRequest = serde_json::from_str(text).unwrap();
    assert_eq!(request.messages.len(), 1);
}

/// Guards against passing a request without a model to the scheduler.
#[test]
fn request_without_a_model_is_rejected() {
    assert!(serde_json::from_str::<ChatRequest>(r#"{"messages":[]}"#).is_err());
}
