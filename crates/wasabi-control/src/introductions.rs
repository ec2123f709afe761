//! What members said of themselves to a host that is none, and whom it names to others.

use std::collections::BTreeMap;

use wasabi_protocol::clock::Millis;

/// Time after which a member that did not introduce itself again is forgotten, in milliseconds.
const FORGET_AFTER: Millis = Millis(10_000);

/// Time for which a leader is named after a member named it, in milliseconds. Members introduce
/// themselves every second.
const LEADER_FOR: Millis = Millis(2_500);

/// The members that introduced themselves lately.
#[derive(Debug, Default)]
pub struct Introductions {
    by_address: BTreeMap<String, Introduction>,
}

#[derive(Debug)]
struct Introduction {
    heard: Millis,
    /// The leader that answered the member.
    leader: Option<String>,
}

impl Introductions {
    /// Takes an introduction into account.
    pub fn add(&mut self, now: Millis, address: String, leader: Option<String>) {
        self.by_address.insert(address, Introduction { heard: now, leader });
    }

    /// Returns the leader that was named last, or else some member that introduced itself. A member
    /// that has just ended or is in no group would only send the caller on, or nowhere.
    pub fn named(&mut self, now: Millis) -> Option<String> {
        self.by_address.retain(|_, known| now.since(known.heard) < FORGET_AFTER);
        let fresh = self.by_address.values().filter(|known| now.since(known.heard) < LEADER_FOR);
        let with_leader = fresh.filter(|known| known.leader.is_some());
        let newest = with_leader.max_by_key(|known| known.heard);
        let leader = newest.and_then(|known| known.leader.clone());
        leader.or_else(|| fastrand::choice(self.by_address.keys()).cloned())
    }
}
