//! Slices of an organisation's limits, which the owner of its budget lends to pool owners.

use std::{rc::Rc, time::Duration};

use jsonrpsee::{core::client::ClientT as _, rpc_params};
use wasabi_protocol::rpc::{Lend, Slice, method};
use wasabi_routing::rendezvous;
use wasabi_scheduler::pool::Event;

use crate::shell::Shell;

/// Timeout for the answer of a remote budget owner. The pool requests the slice again after it.
const LEND_TIMEOUT: Duration = Duration::from_millis(200);

impl Shell {
    /// Requests a slice from the owner of the organisation's budget and applies it to the pool.
    pub(crate) fn request_slice(self: &Rc<Self>, lend: Lend) {
        let in_force = self.shared.in_force();
        let own = &self.shared.entry.name;
        let owners = rendezvous::budget_owners(&lend.organisation, &in_force.config.view);
        let owner = owners.into_iter().find(|entry| self.may_own(&entry.name));
        let Some(owner) = owner else { return };
        if owner.name == *own {
            if let Some(slice) = self.lend(&lend) {
                self.apply_slice(&lend, slice);
            }
            return;
        }
        let (shell, owner) = (Rc::clone(self), owner.name.clone());
        actix_rt::spawn(async move {
            let Some(client) = shell.link(&owner).await else { return };
            let call = client.request::<Slice, _>(method::LEND, rpc_params![&lend]);
            match tokio::time::timeout(LEND_TIMEOUT, call).await {
                Ok(Ok(slice)) => {
                    shell.record_answer(&owner);
                    shell.apply_slice(&lend, slice);
                }
                Ok(Err(error)) => {
                    tracing::debug!(peer = %owner, %error, "budget slice request failed")
                }
                Err(_) => tracing::debug!(peer = %owner, "budget slice request timed out"),
            }
        });
    }

    /// Returns the next slice of a budget that this entry owns, or none while its configuration is
    /// not confirmed.
    pub(crate) fn lend(&self, lend: &Lend) -> Option<Slice> {
        if !self.has_confirmed_config() {
            return None;
        }
        let in_force = self.shared.in_force();
        let limits = in_force.config.limits(&lend.organisation)?;
        let mut lender = self.lender.borrow_mut();
        let borrower = (&lend.pool, &lend.owner);
        Some(lender.lend(self.now(), &lend.organisation, &limits, borrower, &lend.used))
    }

    fn apply_slice(self: &Rc<Self>, lend: &Lend, slice: Slice) {
        let event = Event::Budget { organisation: lend.organisation.clone(), slice };
        let effects = self.pools.borrow_mut().step(self.now(), &lend.pool, event);
        self.perform(effects);
    }
}
