//! `GET /v1/entries`: the entries that an organisation's callers connect to.

use actix_http::{HttpMessage as _, Request, Response, StatusCode, body::BoxBody};
use wasabi_border::{EntryAddress, EntryList};
use wasabi_protocol::{
    command::{Duty, View},
    fault::Fault,
    id,
};
use wasabi_routing::rendezvous;

use crate::{
    callers::{call, response},
    shared::Shared,
};

/// Responds with the entries of the caller's organisation.
///
/// # Errors
///
/// Returns an error when the token is unknown or this entry's configuration may be outdated.
pub(crate) fn respond(shared: &Shared, request: &Request) -> Result<Response<BoxBody>, Fault> {
    // Check this first: with an outdated configuration, a valid token may be unknown here.
    shared.admit()?;
    let in_force = shared.in_force();
    let contract = call::authenticate(request.headers(), &in_force)?;
    let mut view = in_force.config.view.clone();
    if shared.is_draining() {
        mark_draining(&mut view, &shared.entry.name);
    }
    let total = in_force.shares_total();
    let assigned = rendezvous::entries(&contract.organisation, contract.share, total, &view);
    if assigned.iter().any(|assigned| assigned.entry.name == shared.entry.name) {
        shared.record_listing();
    }
    let entries = assigned
        .iter()
        .map(|assigned| EntryAddress {
            address: assigned.entry.caller_address.clone(),
            weight: assigned.weight,
        })
        .collect();
    let list = EntryList {
        entries,
        // Rounded down, so that no caller caches the list for longer than this entry stays
        // reachable.
        lifetime_s: shared.timing().list_lifetime.0 / 1_000,
        revision: in_force.config.revision.0,
    };
    let text = serde_json::to_string(&list).unwrap_or_default();
    Ok(response::json(StatusCode::OK, text))
}

/// Marks an entry as draining in a view, before control does so.
fn mark_draining(view: &mut View, name: &id::Entry) {
    for entry in &mut view.entries {
        if entry.name == *name {
            entry.duty = Duty::Draining;
        }
    }
}
