//! The size limit of the reports that lenders send each other.

use std::cmp::Reverse;

use wasabi_protocol::rpc::Lent;

/// Maximum size of one report as JSON, in bytes. Reports are part of heartbeats, which prove that
/// an entry is running and must stay small.
pub const REPORT_BYTES_MAX: usize = 4_096;

/// An item without names and numbers, with the comma after it.
const EMPTY_ITEM: &str = r#"{"organisation":"","pool":"","owner":"","tokens":[]},"#;

/// Returns the items that fit into [`REPORT_BYTES_MAX`], the largest amounts first.
///
/// A succeeding lender may lend omitted amounts again, unless the pool owner reports what it
/// started. The smallest amounts have the least effect on the limit.
pub(crate) fn truncate(mut items: Vec<Lent>) -> Vec<Lent> {
    items.sort_by_cached_key(|item| Reverse(item.tokens.iter().sum::<u64>()));
    let mut left = REPORT_BYTES_MAX - "[]".len();
    items.retain(|item| {
        let size = json_bytes(item);
        let fits = size <= left;
        left -= if fits { size } else { 0 };
        fits
    });
    items
}

/// Returns an upper bound of the size of an item as JSON, in bytes.
fn json_bytes(item: &Lent) -> usize {
    let names = name_bytes(item.organisation.as_str())
        + name_bytes(item.pool.as_str())
        + name_bytes(item.owner.as_str());
    let digits = |tokens: &u64| tokens.checked_ilog10().unwrap_or(0) as usize + 1;
    let numbers: usize = item.tokens.iter().map(|tokens| digits(tokens) + ",".len()).sum();
    EMPTY_ITEM.len() + names + numbers
}

fn name_bytes(name: &str) -> usize {
    let is_escaped = |byte: &u8| *byte < b' ' || matches!(byte, b'"' | b'\\');
    let escaped = name.bytes().filter(is_escaped).count();
    name.len() + escaped * r"\u000".len()
}
