//! Members known to a host that is not a member itself, and which of them it names to callers.

use std::collections::{BTreeMap, BTreeSet};

use wasabi_protocol::clock::Millis;

/// Time for which a member is named after its last message, and a leader after it was last
/// reported. Members introduce themselves, and are queried, every second.
const FRESH_FOR: Millis = Millis(2_500);

/// Members that sent a message recently, and members that another member listed.
#[derive(Debug, Default)]
pub struct KnownMembers {
    by_address: BTreeMap<String, KnownMember>,
    /// Members listed by the last answer. They are queried, and only named to callers once they
    /// answer.
    listed: Vec<String>,
    /// Addresses that did not answer the last query. They are queried last.
    silent: BTreeSet<String>,
}

#[derive(Debug)]
struct KnownMember {
    heard: Millis,
    /// The leader that answered the member, or the member itself if it leads.
    leader: Option<String>,
}

impl KnownMembers {
    /// Records a message of a member, and the leader that had answered it.
    pub fn add(&mut self, now: Millis, address: String, leader: Option<String>) {
        self.silent.remove(&address);
        self.by_address.insert(address, KnownMember { heard: now, leader });
    }

    /// Records that an address did not answer: it is no longer named to callers.
    pub fn record_failure(&mut self, address: &str) {
        self.by_address.remove(address);
        for known in self.by_address.values_mut() {
            known.leader.take_if(|leader| leader == address);
        }
        self.silent.insert(address.to_owned());
    }

    /// Replaces the listed members.
    pub fn set_listed(&mut self, members: Vec<String>) {
        self.listed = members;
    }

    /// Returns the last reported leader, or else a member that sent a message recently. A member
    /// that has just stopped or is in no group would redirect the caller needlessly, or nowhere.
    pub fn leader_or_member(&mut self, now: Millis) -> Option<String> {
        self.remove_stale(now);
        let leader = self.leader(now).map(|(leader, _)| leader);
        leader.or_else(|| fastrand::choice(self.by_address.keys()).cloned())
    }

    /// Returns the last reported leader and the time since the report.
    pub fn leader(&self, now: Millis) -> Option<(String, Millis)> {
        let fresh = self.by_address.values().filter(|known| now.since(known.heard) < FRESH_FOR);
        let with_leader = fresh.filter(|known| known.leader.is_some());
        let newest = with_leader.max_by_key(|known| known.heard)?;
        Some((newest.leader.clone()?, now.since(newest.heard)))
    }

    /// Returns the known members, starting with the likely leader.
    pub fn members(&mut self, now: Millis) -> Vec<String> {
        self.remove_stale(now);
        let leader = self.leader(now).map(|(leader, _)| leader);
        let known = self.by_address.keys().chain(&self.listed).cloned();
        leader.into_iter().chain(known).collect()
    }

    /// Returns all addresses to query in order: `first`, the known members, and `contacts`.
    /// Addresses that did not answer the last query come last.
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
        // The sort is stable, so the order within both groups is kept.
        addresses.sort_by_key(|address| self.silent.contains(address));
        addresses
    }

    fn remove_stale(&mut self, now: Millis) {
        self.by_address.retain(|_, known| now.since(known.heard) < FRESH_FOR);
    }
}
