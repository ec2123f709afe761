//! Reference pages of settings, generated from the types that are used for parsing.

use std::fmt::Write as _;

use schemars::{JsonSchema, schema_for};
use serde::Serialize;
use serde_json::Value;

/// Returns a Markdown page with a table of all keys, their format, default and meaning.
///
/// # Panics
///
/// Panics if the default settings can't be serialized as JSON, which holds for no settings type.
pub fn markdown<T: JsonSchema + Serialize + Default>(title: &str) -> String {
    let schema = schema_for!(T).to_value();
    #[expect(clippy::expect_used, reason = "settings contain only strings, lists and maps")]
    let defaults = serde_json::to_value(T::default()).expect("settings are plain data");
    let mut page = format!("# Settings of `{title}`\n\n");
    page.push_str("| key | format | default | meaning |\n|---|---|---|---|\n");
    write_fields(&mut page, &schema, &schema, &defaults, "");
    page
}

fn write_fields(page: &mut String, root: &Value, object: &Value, defaults: &Value, prefix: &str) {
    let Some(fields) = object["properties"].as_object() else { return };
    for (name, field) in fields {
        let key = format!("{prefix}{name}");
        let meaning = field["description"].as_str().unwrap_or_default().replace('\n', " ");
        let default = &defaults[name];
        let nested = referenced(root, field);
        let list_item = referenced(root, &field["items"]);
        let shown = match default {
            Value::Null | Value::Object(_) => "none".to_owned(),
            Value::Array(items) if items.is_empty() => "empty".to_owned(),
            Value::String(text) if text.is_empty() => "required".to_owned(),
            Value::String(text) => format!("`{text}`"),
            other => format!("`{other}`"),
        };
        let is_section = nested.is_some_and(|nested| nested["properties"].is_object());
        if !is_section || default.is_null() {
            let format = format_name(field, nested);
            // Writing to a string cannot fail.
            let _ = writeln!(page, "| `{key}` | {format} | {shown} | {meaning} |");
        }
        if let Some(nested) = nested {
            write_fields(page, root, nested, default, &format!("{key}."));
        }
        if let Some(item) = list_item {
            write_fields(page, root, item, &Value::Null, &format!("{key}[]."));
        }
    }
}

/// Returns the definition that a field refers to, directly or as an optional value.
fn referenced<'a>(root: &'a Value, field: &'a Value) -> Option<&'a Value> {
    let optional = field["anyOf"].as_array().and_then(|choices| choices.first());
    let reference = field["$ref"].as_str().or_else(|| optional?["$ref"].as_str())?;
    root.pointer(reference.strip_prefix('#')?)
}

fn format_name(field: &Value, nested: Option<&Value>) -> String {
    if field["type"] == "array" {
        return "list".to_owned();
    }
    let optional = field["anyOf"].as_array().and_then(|choices| choices.first());
    let format = [Some(field), optional, nested]
        .into_iter()
        .flatten()
        .find_map(|schema| schema["format"].as_str());
    match format {
        Some(format) => format.to_owned(),
        None if nested.is_some() => "section".to_owned(),
        None => "text".to_owned(),
    }
}
