//! Contract limits of the organisations that use the pool.

use std::collections::HashMap;

use wasabi_admission::{limit::Account, queue::Queue};
use wasabi_protocol::{
    clock::Millis,
    command::Config,
    contract::Limits,
    id,
    request::Request,
    rpc::{Slice, Usage},
    site,
};

/// The accounts of a pool with the organisations' budgets.
#[derive(Debug, Default)]
pub(super) struct Budgets {
    limits: HashMap<id::Organisation, Limits>,
    accounts: HashMap<id::Organisation, Account>,
}

impl Budgets {
    pub(super) fn configure(&mut self, config: &Config) {
        self.limits = config
            .contracts
            .iter()
            .map(|contract| (contract.organisation.clone(), contract.limits))
            .chain(config.site.iter().flat_map(site_limits))
            .collect();
        for (organisation, account) in &mut self.accounts {
            if let Some(limits) = self.limits.get(organisation) {
                account.set_limits(*limits);
            }
        }
    }

    /// Returns whether the organisation may start one more request. Without a contract in force
    /// there is no limit; entries refuse callers without one.
    pub(super) fn may_start(&mut self, now: Millis, organisation: &id::Organisation) -> bool {
        self.account(now, organisation).is_none_or(|account| account.may_start(now))
    }

    /// Returns the time until the organisation may start the request behind those that wait, when
    /// its limit on tokens is used up for it.
    pub(super) fn shortage(
        &mut self,
        now: Millis,
        request: &Request,
        queue: &Queue,
    ) -> Option<Millis> {
        let (_, tokens) = queue.backlog(&request.organisation);
        self.account(now, &request.organisation)?.token_wait(request.tier, tokens)
    }

    pub(super) fn start(&mut self, now: Millis, request: &Request) {
        if let Some(account) = self.account(now, &request.organisation) {
            account.start(now, request.tokens());
        }
    }

    pub(super) fn adopt(&mut self, now: Millis, organisation: &id::Organisation) {
        if let Some(account) = self.account(now, organisation) {
            account.adopt();
        }
    }

    pub(super) fn end(&mut self, organisation: &id::Organisation) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.end();
        }
    }

    pub(super) fn lend(&mut self, now: Millis, organisation: &id::Organisation, slice: &Slice) {
        if let Some(account) = self.account(now, organisation) {
            account.lend(now, slice);
        }
    }

    /// Returns the slices to ask for, and forgets the accounts without a contract that owe nothing.
    pub(super) fn asks(&mut self, now: Millis, queue: &Queue) -> Vec<(id::Organisation, Usage)> {
        let mut asks = Vec::new();
        self.accounts.retain(|organisation, account| {
            let (waiting, tokens) = queue.backlog(organisation);
            if let Some(used) = account.take_usage(now, waiting, tokens) {
                asks.push((organisation.clone(), used));
            }
            let is_named = self.limits.contains_key(organisation);
            is_named || 0 < waiting || !account.is_settled(now)
        });
        // The order of the map differs from process to process.
        asks.sort_unstable_by(|one, other| one.0.cmp(&other.0));
        asks
    }

    /// Returns the slice to ask for now that a request of the organisation arrived.
    pub(super) fn ask(
        &mut self,
        now: Millis,
        queue: &Queue,
        organisation: &id::Organisation,
    ) -> Option<Usage> {
        let (waiting, tokens) = queue.backlog(organisation);
        self.accounts.get_mut(organisation)?.take_usage(now, waiting, tokens)
    }

    fn account(&mut self, now: Millis, organisation: &id::Organisation) -> Option<&mut Account> {
        if !self.accounts.contains_key(organisation) {
            let limits = self.limits.get(organisation)?;
            self.accounts.insert(organisation.clone(), Account::new(now, *limits));
        }
        self.accounts.get_mut(organisation)
    }
}

/// Returns the organisations of a site that have a limit.
fn site_limits(site: &site::Config) -> impl Iterator<Item = (id::Organisation, Limits)> {
    site.organisations.iter().filter_map(|one| Some((one.name.clone(), one.contract_limits()?)))
}
