//! The endpoints of a pool.

use std::collections::HashMap;

use wasabi_admission::bound::Bound;
use wasabi_protocol::{
    clock::Millis,
    endpoint::{Announcement, SILENT_AFTER},
    id,
};

/// Most endpoints of one pool.
pub(super) const ENDPOINTS_MAX: usize = 64;

/// Time for which the name of an endpoint that left is remembered, in milliseconds.
///
/// Announcements that another entry relays may arrive after the leave; an endpoint announces
/// every second, so anything later than this was sent by a new process.
const LEFT_KEPT: Millis = Millis::from_secs(60);

/// Most remembered names of endpoints that left.
const LEFT_MAX: usize = 1_024;

/// One endpoint as its owner sees it.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) announcement: Announcement,
    pub(super) heard: Millis,
    pub(super) bound: Bound,
    /// Attempts that run on it, exact.
    pub(super) running: Vec<id::Attempt>,
    /// A connection to it failed since its last announcement.
    pub(super) unreachable: bool,
}

impl Slot {
    fn new(now: Millis, announcement: Announcement) -> Self {
        let bound = Bound::new(announcement.concurrency);
        Self { announcement, heard: now, bound, running: Vec::new(), unreachable: false }
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns how many requests may run on it; half of that while grants of an earlier owner may
    /// be unknown.
    pub(super) fn limit(&self, half: bool) -> u32 {
        let limit = self.bound.limit();
        if half { (limit / 2).max(1) } else { limit }
    }
}

/// The endpoints of a pool, and the names of those that left.
#[derive(Debug, Default)]
pub(super) struct Table {
    pub(super) slots: Vec<Slot>,
    left: HashMap<id::Endpoint, Left>,
}

#[derive(Debug)]
struct Left {
    /// Processes up to this start number left; `None` when the leave came first.
    incarnation: Option<u64>,
    at: Millis,
}

/// What an announcement meant.
pub(super) enum Announced {
    /// The endpoint is new.
    Joined,
    /// It renewed its announcement.
    Renewed,
    /// It is a new process under the same name.
    Restarted,
    /// It left before, or the pool is full.
    Ignored,
}

impl Table {
    pub(super) fn find(&self, name: &id::Endpoint) -> Option<usize> {
        self.slots.iter().position(|slot| slot.announcement.name == *name)
    }

    pub(super) fn announce(&mut self, now: Millis, announcement: Announcement) -> Announced {
        if let Some(left) = self.left.get(&announcement.name) {
            let is_old = left.incarnation.is_none_or(|last| announcement.incarnation <= last);
            if is_old && now.since(left.at) < LEFT_KEPT {
                return Announced::Ignored;
            }
            self.left.remove(&announcement.name);
        }
        let Some(index) = self.find(&announcement.name) else {
            if ENDPOINTS_MAX <= self.slots.len() {
                return Announced::Ignored;
            }
            self.slots.push(Slot::new(now, announcement));
            return Announced::Joined;
        };
        let slot = &mut self.slots[index];
        if announcement.incarnation < slot.announcement.incarnation {
            return Announced::Ignored;
        }
        slot.heard = now;
        if slot.announcement.incarnation == announcement.incarnation {
            slot.bound.announce(announcement.concurrency);
            slot.announcement = announcement;
            slot.unreachable = false;
            return Announced::Renewed;
        }
        *slot = Slot::new(now, announcement);
        Announced::Restarted
    }

    /// Takes an endpoint that leaves out of the table. Its running attempts go on.
    pub(super) fn leave(&mut self, now: Millis, name: &id::Endpoint) -> Option<Slot> {
        let index = self.find(name);
        let slot = index.map(|index| self.slots.swap_remove(index));
        let incarnation = slot.as_ref().map(|slot| slot.announcement.incarnation);
        if self.left.len() < LEFT_MAX {
            self.left.insert(name.clone(), Left { incarnation, at: now });
        }
        slot
    }

    /// Takes the endpoints that were silent for too long out of the table.
    pub(super) fn expire(&mut self, now: Millis) -> Vec<Slot> {
        self.left.retain(|_, left| now.since(left.at) < LEFT_KEPT);
        let mut gone = Vec::new();
        let mut index = 0;
        while index < self.slots.len() {
            if now.since(self.slots[index].heard) < SILENT_AFTER {
                index += 1;
            } else {
                gone.push(self.slots.swap_remove(index));
            }
        }
        gone
    }
}
