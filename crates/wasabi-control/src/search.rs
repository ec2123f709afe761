//! The search for the leader of a control group.

use std::collections::{BTreeSet, VecDeque};

/// One round of questions over a list of addresses, each of which is asked once.
///
/// A redirect is followed before the next address of the list is asked: hosts without a member
/// name any member, and must not replace the leader that a member has just named.
#[derive(Debug, Default)]
pub struct Round {
    open: VecDeque<String>,
    asked: BTreeSet<String>,
}

impl Round {
    /// Returns a round over the addresses, the likely leader first.
    pub fn new(addresses: impl IntoIterator<Item = String>) -> Self {
        Self { open: addresses.into_iter().collect(), asked: BTreeSet::new() }
    }

    /// Returns the address to ask next.
    pub fn next_address(&mut self) -> Option<String> {
        while let Some(address) = self.open.pop_front() {
            if self.asked.insert(address.clone()) {
                return Some(address);
            }
        }
        None
    }

    /// Has the address asked next, unless it was asked in this round.
    pub fn redirect(&mut self, address: String) {
        self.open.push_front(address);
    }

    /// Has the addresses asked last, unless they were asked in this round.
    pub fn extend(&mut self, addresses: impl IntoIterator<Item = String>) {
        self.open.extend(addresses);
    }

    /// Returns whether the address was asked in this round.
    pub fn has_asked(&self, address: &str) -> bool {
        self.asked.contains(address)
    }
}
