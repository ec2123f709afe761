//! Tests that the committed border types match their schema.

mod generator;

use wasabi_border::ChatRequest;

/// Guards against a schema that was changed without generating the types anew.
#[test]
fn committed_types_match_the_schema() {
    let generated = generator::source(include_str!("../schema/callers.json")).unwrap();
    assert_eq!(include_str!("../src/generated.rs"), generated);
}

/// Guards against a request that is refused because of a field that this version does not list.
#[test]
fn requests_with_other_fields_are_read() {
    let text = r#"{"messages":[{"content":"hi","role":"user"}],"model":"m","seed":7}"#;
    let request: ChatRequest = serde_json::from_str(text).unwrap();
    assert_eq!(request.messages.len(), 1);
}

/// Guards against a request without a model that reaches the scheduler.
#[test]
fn a_request_without_a_model_is_refused() {
    assert!(serde_json::from_str::<ChatRequest>(r#"{"messages":[]}"#).is_err());
}
