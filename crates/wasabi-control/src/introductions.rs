//! What members said of themselves to a host that is none, and whom it names to others.

use std::collections::{BTreeMap, BTreeSet};

use wasabi_protocol::clock::Millis;

/// Time for which a member is named after it was heard, and a leader after it was named, in
/// milliseconds. Members introduce themselves, and are asked, every second.
const NAMED_FOR: Millis = Millis(2_500);

/// The members that were heard lately, and those that a member listed.
#[derive(Debug, Default)]
pub struct Introductions {
    by_address: BTreeMap<String, Introduction>,
    /// The members that a member listed last. They are asked, and not named unless they answer.
    listed: Vec<String>,
    /// Addresses that did not answer when they were asked last. They are asked last.
    silent: BTreeSet<String>,
}

#[derive(Debug)]
struct Introduction {
    heard: Millis,
    /// The leader that answered the member, or the member itself if it leads.
    leader: Option<String>,
}

impl Introductions {
    /// Takes into account that a member was heard, and which leader had answered it.
    pub fn add(&mut self, now: Millis, address: String, leader: Option<String>) {
        self.silent.remove(&address);
        self.by_address.insert(address, Introduction { heard: now, leader });
    }

    /// Takes into account that an address did not answer: it is not named any more.
    pub fn miss(&mut self, address: &str) {
        self.by_address.remove(address);
        for known in self.by_address.values_mut() {
            known.leader.take_if(|leader| leader == address);
        }
        self.silent.insert(address.to_owned());
    }

    /// Takes over the members that a member lists.
    pub fn list(&mut self, members: Vec<String>) {
        self.listed = members;
    }

    /// Returns the leader that was named last, or else some member that was heard lately. A member
    /// that has just ended or is in no group would only send the caller on, or nowhere.
    pub fn named(&mut self, now: Millis) -> Option<String> {
        self.forget(now);
        let leader = self.leader(now).map(|(leader, _)| leader);
        leader.or_else(|| fastrand::choice(self.by_address.keys()).cloned())
    }

    /// Returns the leader that was named last and the time since then, in milliseconds.
    pub fn leader(&self, now: Millis) -> Option<(String, Millis)> {
        let fresh = self.by_address.values().filter(|known| now.since(known.heard) < NAMED_FOR);
        let with_leader = fresh.filter(|known| known.leader.is_some());
        let newest = with_leader.max_by_key(|known| known.heard)?;
        Some((newest.leader.clone()?, now.since(newest.heard)))
    }

    /// Returns the members that are known, the likely leader first.
    pub fn members(&mut self, now: Millis) -> Vec<String> {
        self.forget(now);
        let leader = self.leader(now).map(|(leader, _)| leader);
        let known = self.by_address.keys().chain(&self.listed).cloned();
        leader.into_iter().chain(known).collect()
    }

    /// Returns all addresses to ask in order: these, the members that are known, and contacts. Those
    /// that were silent when they were asked last come last.
    pub fn addresses(
        &mut self,
        now: Millis,
        first: Vec<String>,
        contacts: Vec<String>,
    ) -> Vec<String> {
        let mut addresses = first;
        addresses.extend(self.members(now));
        addresses.extend(contacts);
        self.silent.retain(|silent| addresses.contains(silent));
        // Stable, so that the order within both parts stays.
        addresses.sort_by_key(|address| self.silent.contains(address));
        addresses
    }

    fn forget(&mut self, now: Millis) {
        self.by_address.retain(|_, known| now.since(known.heard) < NAMED_FOR);
    }
}
