//! Search for the leader of a control group.

use std::collections::{BTreeSet, VecDeque};

/// One search round over a list of addresses, in which each address is queried once.
///
/// A redirect is followed before the next address of the list is queried: hosts without a member
/// may name any member, which must not take precedence over the leader that a member has just
/// named.
#[derive(Debug, Default)]
pub struct Round {
    open: VecDeque<String>,
    queried: BTreeSet<String>,
}

impl Round {
    /// Creates a round over the addresses, which start with the likely leader.
    pub fn new(addresses: impl IntoIterator<Item = String>) -> Self {
        Self { open: addresses.into_iter().collect(), queried: BTreeSet::new() }
    }

    /// Returns the next address to query.
    pub fn next_address(&mut self) -> Option<String> {
        while let Some(address) = self.open.pop_front() {
            if self.queried.insert(address.clone()) {
                return Some(address);
            }
        }
        None
    }

    /// Queues the address at the front. It is skipped if it was already queried in this round.
    pub fn redirect(&mut self, address: String) {
        self.open.push_front(address);
    }

    /// Queues the addresses at the back. Those already queried in this round are skipped.
    pub fn extend(&mut self, addresses: impl IntoIterator<Item = String>) {
        self.open.extend(addresses);
    }

    /// Returns whether the address was already queried in this round.
    pub fn has_queried(&self, address: &str) -> bool {
        self.queried.contains(address)
    }
}
