//! Passes the rates that endpoints named to the owners of their pools.

use std::rc::Rc;

use jsonrpsee::rpc_params;
use wasabi_protocol::{
    id,
    rpc::{RateReport, method},
};
use wasabi_scheduler::pool::Event;

use crate::shell::Shell;

impl Shell {
    /// Reports rates to the owner of the pool. A lost report is repeated with the next response of the
    /// endpoint whose grant does not show the rate.
    pub(crate) fn report_rates(self: &Rc<Self>, report: RateReport) {
        if self.is_owner(&report.pool) {
            self.record_rates(&report);
        } else if let Some(owner) = self.owner_to_call(&report.pool) {
            self.notify(owner, method::RATES, rpc_params![report]);
        }
    }

    /// Reports the rates that this entry knows to the new owner of a pool.
    pub(crate) fn report_rates_to(self: &Rc<Self>, owner: &id::Entry, pool: &id::Pool) {
        let rates = self.shared.rates().limited(self.now());
        if rates.is_empty() {
            return;
        }
        let report = RateReport { pool: pool.clone(), rates };
        if *owner == self.shared.entry.name {
            self.record_rates(&report);
        } else {
            self.notify(owner.clone(), method::RATES, rpc_params![report]);
        }
    }

    /// Records rates of endpoints at the pool if this entry owns it.
    pub(crate) fn record_rates(self: &Rc<Self>, report: &RateReport) {
        let now = self.now();
        let event = Event::Rates(&report.rates);
        let effects = self.pools.borrow_mut().step(now, &report.pool, event);
        self.perform(effects);
    }
}
