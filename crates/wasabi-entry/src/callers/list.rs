//! `GET /v1/entries`: which entries an organisation's callers use.

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

/// Answers with the entries of the caller's organisation.
///
/// # Errors
///
/// Returns a refusal when the token is wrong or this entry cannot tell what is in force.
pub(crate) fn answer(shared: &Shared, request: &Request) -> Result<Response<BoxBody>, Fault> {
    // First, since a key may be unknown here only because the configuration is.
    shared.admit()?;
    let in_force = shared.in_force();
    let contract = call::authenticate(request.headers(), &in_force)?;
    let mut view = in_force.config.view.clone();
    if shared.is_draining() {
        exclude(&mut view, &shared.entry.name);
    }
    let total = in_force.shares_total();
    let assigned = rendezvous::entries(&contract.organisation, contract.share, total, &view);
    if assigned.iter().any(|assigned| assigned.entry.name == shared.entry.name) {
        shared.listed();
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
        // Rounded down, so that no caller keeps the list longer than this entry serves it.
        lifetime_s: shared.settings.callers.list_lifetime.0 / 1_000,
        revision: in_force.config.revision.0,
    };
    let text = serde_json::to_string(&list).unwrap_or_default();
    Ok(response::json(StatusCode::OK, text))
}

/// Takes an entry that drains out of a view before control has.
fn exclude(view: &mut View, name: &id::Entry) {
    for entry in &mut view.entries {
        if entry.name == *name {
            entry.duty = Duty::Draining;
        }
    }
}
