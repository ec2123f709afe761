//! The size of what a lender tells the others.

use std::cmp::Reverse;

use wasabi_protocol::rpc::Lent;

/// Most bytes of one report as JSON. Reports go with heartbeats, which prove that an entry runs.
pub const REPORT_BYTES_MAX: usize = 4_096;

/// A line without names and numbers, and the comma after it.
const EMPTY_LINE: &str = r#"{"organisation":"","pool":"","owner":"","tokens":[]},"#;

/// Returns the lines that fit into [`REPORT_BYTES_MAX`], the largest amounts first.
///
/// What is left out a successor may lend once more, unless the owner of the pool tells it what it
/// started. The smallest amounts of the window make the least difference.
pub(crate) fn bounded(mut lines: Vec<Lent>) -> Vec<Lent> {
    lines.sort_by_cached_key(|line| Reverse(line.tokens.iter().sum::<u64>()));
    let mut left = REPORT_BYTES_MAX - "[]".len();
    lines.retain(|line| {
        let size = json_bytes(line);
        let fits = size <= left;
        left -= if fits { size } else { 0 };
        fits
    });
    lines
}

/// Returns the most bytes that a line takes as JSON.
fn json_bytes(line: &Lent) -> usize {
    let names = name_bytes(line.organisation.as_str())
        + name_bytes(line.pool.as_str())
        + name_bytes(line.owner.as_str());
    let digits = |tokens: &u64| tokens.checked_ilog10().unwrap_or(0) as usize + 1;
    let numbers: usize = line.tokens.iter().map(|tokens| digits(tokens) + ",".len()).sum();
    EMPTY_LINE.len() + names + numbers
}

fn name_bytes(name: &str) -> usize {
    let is_escaped = |byte: &u8| *byte < b' ' || matches!(byte, b'"' | b'\\');
    let escaped = name.bytes().filter(is_escaped).count();
    name.len() + escaped * r"\u000".len()
}
