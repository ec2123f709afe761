//! Enforcement of the contract limits of the organisations that use the pool.

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

/// The limits and accounts of the organisations that use a pool.
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

    /// Returns whether the organisation may start another request.
    ///
    /// An organisation without a contract is not limited here, since entries refuse its callers.
    pub(super) fn may_start(&mut self, now: Millis, organisation: &id::Organisation) -> bool {
        self.account(now, organisation).is_none_or(|account| account.may_start(now))
    }

    /// Returns how long the request would wait for the organisation's token limit, behind the
    /// requests already in the queue; `None` if the limit leaves room for it.
    pub(super) fn token_wait(
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

    pub(super) fn add_slice(
        &mut self,
        now: Millis,
        organisation: &id::Organisation,
        slice: &Slice,
    ) {
        if let Some(account) = self.account(now, organisation) {
            account.lend(now, slice);
        }
    }

    /// Returns the slices to request, and drops settled accounts without a contract.
    pub(super) fn slice_requests(
        &mut self,
        now: Millis,
        queue: &Queue,
    ) -> Vec<(id::Organisation, Usage)> {
        let mut asks = Vec::new();
        self.accounts.retain(|organisation, account| {
            let (waiting, tokens) = queue.backlog(organisation);
            if let Some(used) = account.take_usage(now, waiting, tokens) {
                asks.push((organisation.clone(), used));
            }
            let is_configured = self.limits.contains_key(organisation);
            is_configured || 0 < waiting || !account.is_settled(now)
        });
        // The iteration order of the map is random; sorting keeps runs reproducible.
        asks.sort_unstable_by(|one, other| one.0.cmp(&other.0));
        asks
    }

    /// Returns the slice to request after a request of the organisation arrived.
    pub(super) fn slice_request(
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

/// Returns the limits that the site configuration sets for organisations.
fn site_limits(site: &site::Config) -> impl Iterator<Item = (id::Organisation, Limits)> {
    site.organisations.iter().filter_map(|one| Some((one.name.clone(), one.contract_limits()?)))
}
