//! Where callers connect: the live entries of their own data centre, or all when it has none.

use wasabi_protocol::{command::Entry, id};

/// Most addresses in one answer.
const ADDRESSES_MAX: usize = 64;

/// Returns the addresses for callers in a data centre.
pub(crate) fn addresses(live: &[Entry], data_centre: Option<&id::DataCentre>) -> Vec<String> {
    let is_near = |entry: &&Entry| Some(&entry.data_centre) == data_centre;
    let near: Vec<_> = live.iter().filter(is_near).collect();
    let chosen = if near.is_empty() { live.iter().collect() } else { near };
    chosen.into_iter().take(ADDRESSES_MAX).map(|entry| entry.caller_address.clone()).collect()
}
