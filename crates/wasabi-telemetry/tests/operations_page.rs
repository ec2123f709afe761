//! A test that `docs/OPERATIONS.md` quotes log lines as the sources write them.
#![allow(clippy::unwrap_used, reason = "a test fails at the first error")]

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Head of the table whose first column lists log messages, each with its fields after "with".
const TABLE_HEAD: &str = "| line | a change of |";

/// Guards against a page that sends its reader to search for log lines that no process writes.
#[test]
fn quoted_log_lines_are_in_the_sources() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md")).unwrap();
    let (examples, table) = (example_messages(&page), table_messages(&page));
    assert!(examples.contains("granted"), "{examples:?}");
    assert!(table.contains("drained"), "{table:?}");

    let mut sources = String::new();
    for krate in crate_directories(&root) {
        read_sources(&krate.join("src"), &mut sources);
    }
    let missing: Vec<_> =
        examples.union(&table).filter(|message| !is_logged(&sources, message)).collect();
    assert!(missing.is_empty(), "not in the sources: {missing:#?}");
}

/// Returns the values of `message=` in the page.
fn example_messages(page: &str) -> BTreeSet<&str> {
    page.split("message=")
        .skip(1)
        .filter_map(|rest| match rest.strip_prefix('"') {
            Some(quoted) => quoted.split('"').next(),
            None => rest.split_whitespace().next(),
        })
        .collect()
}

/// Returns the messages in the table below [`TABLE_HEAD`].
fn table_messages(page: &str) -> BTreeSet<&str> {
    let mut messages = BTreeSet::new();
    let rows = page.lines().skip_while(|line| *line != TABLE_HEAD).skip(2);
    for row in rows.take_while(|line| line.starts_with('|')) {
        let column = row.split('|').nth(1).unwrap();
        let mut is_field = false;
        for (index, piece) in column.split('`').enumerate() {
            if index % 2 == 0 {
                is_field = (is_field || piece.trim() == "with") && !piece.contains(';');
            } else if !is_field {
                messages.insert(piece);
            }
        }
    }
    messages
}

/// Returns whether the sources have the message as the last argument of a call.
fn is_logged(sources: &str, message: &str) -> bool {
    let literal = format!("\"{message}\"");
    sources
        .match_indices(&literal)
        .any(|(at, _)| sources[at + literal.len()..].trim_start().starts_with(')'))
}

fn crate_directories(root: &Path) -> Vec<PathBuf> {
    let crates = fs::read_dir(root.join("crates")).unwrap();
    crates.map(|entry| entry.unwrap().path()).chain([root.join("platform")]).collect()
}

fn read_sources(directory: &Path, sources: &mut String) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            read_sources(&path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push_str(&fs::read_to_string(&path).unwrap());
        }
    }
}
