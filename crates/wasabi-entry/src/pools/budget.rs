//! Slices of an organisation's limits, lent by the organisation's owner to pool owners.

use std::{rc::Rc, time::Duration};

use jsonrpsee::{core::client::ClientT as _, rpc_params};
use wasabi_protocol::rpc::{Lend, Slice, method};
use wasabi_routing::rendezvous;
use wasabi_scheduler::pool::Event;

use crate::shell::Shell;

/// Longest time for the answer of a remote owner. The pool asks again after it.
const LEND_TIME: Duration = Duration::from_millis(200);

impl Shell {
    /// Gets a slice from the organisation's owner and hands it to the pool.
    pub(crate) fn ask_for_slice(self: &Rc<Self>, lend: Lend) {
        let in_force = self.shared.in_force();
        let own = &self.shared.entry.name;
        let owners = rendezvous::budget_owners(&lend.organisation, &in_force.config.view);
        let owner = owners.into_iter().find(|entry| self.may_own(&entry.name));
        let Some(owner) = owner else { return };
        if owner.name == *own {
            if let Some(slice) = self.lend(&lend) {
                self.hand_out(&lend, slice);
            }
            return;
        }
        let (shell, owner) = (Rc::clone(self), owner.name.clone());
        actix_rt::spawn(async move {
            let Some(client) = shell.link(&owner).await else { return };
            let call = client.request::<Slice, _>(method::LEND, rpc_params![&lend]);
            match tokio::time::timeout(LEND_TIME, call).await {
                Ok(Ok(slice)) => {
                    shell.answered(&owner);
                    shell.hand_out(&lend, slice);
                }
                Ok(Err(error)) => tracing::debug!(peer = %owner, %error, "no slice"),
                Err(_) => tracing::debug!(peer = %owner, "no slice in time"),
            }
        });
    }

    /// Returns the next slice of a budget that this entry owns; none before it is known what is in
    /// force.
    pub(crate) fn lend(&self, lend: &Lend) -> Option<Slice> {
        if !self.knows_what_is_in_force() {
            return None;
        }
        let in_force = self.shared.in_force();
        let limits = in_force.config.limits(&lend.organisation)?;
        let mut lender = self.lender.borrow_mut();
        let borrower = (&lend.pool, &lend.owner);
        Some(lender.lend(self.now(), &lend.organisation, &limits, borrower, &lend.used))
    }

    fn hand_out(self: &Rc<Self>, lend: &Lend, slice: Slice) {
        let event = Event::Budget { organisation: lend.organisation.clone(), slice };
        let effects = self.pools.borrow_mut().step(self.now(), &lend.pool, event);
        self.perform(effects);
    }
}
