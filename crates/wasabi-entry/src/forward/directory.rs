//! The directory, which tells callers where to connect: the live entries of their own data centre,
//! or all live entries when it has none.

use wasabi_protocol::{command::Entry, id};

/// Most addresses in one response.
const ADDRESSES_MAX: usize = 64;

/// Returns the entry addresses for callers in a data centre.
pub(crate) fn addresses(live: &[Entry], data_centre: Option<&id::DataCentre>) -> Vec<String> {
    let is_local = |entry: &&Entry| Some(&entry.data_centre) == data_centre;
    let local: Vec<_> = live.iter().filter(is_local).collect();
    let chosen = if local.is_empty() { live.iter().collect() } else { local };
    chosen.into_iter().take(ADDRESSES_MAX).map(|entry| entry.caller_address.clone()).collect()
}
