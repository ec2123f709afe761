//! Endpoints of pools that another entry owns, kept so that a take-over starts with them.
//!
//! Endpoints announce themselves every second or so. A new owner that waited for them would refuse
//! or hold back everything meanwhile; one that did not know who left would bring them back with the
//! next late announcement.

use std::collections::HashMap;

use wasabi_protocol::{
    clock::Millis,
    endpoint::{Announcement, SILENT_AFTER},
    id,
    rpc::Left,
};

/// Time for which an endpoint that left is remembered, so that a late announcement does not bring
/// it back.
const LEFT_KEPT: Millis = Millis::from_secs(60);

/// Most endpoints kept in one pool.
const ENDPOINTS_MAX: usize = 4_096;

/// Most endpoints that left and are remembered. They fit one message of some 30 KB.
const LEFT_MAX: usize = 512;

/// An endpoint that announced itself.
#[derive(Debug, Clone, PartialEq)]
struct Known {
    announcement: Announcement,
    heard: Millis,
}

/// An endpoint that left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Departed {
    /// Processes up to this start number left; none when no announcement was heard.
    incarnation: Option<u64>,
    until: Millis,
}

/// The endpoints by pool, and those that left.
#[derive(Debug, Default)]
pub(crate) struct Table {
    pools: HashMap<id::Pool, HashMap<id::Endpoint, Known>>,
    left: HashMap<id::Endpoint, Departed>,
}

impl Table {
    /// Notes an announcement.
    pub(crate) fn announce(&mut self, now: Millis, pool: &id::Pool, announcement: &Announcement) {
        let incarnation = announcement.incarnation;
        if let Some(left) = self.left.get(&announcement.name)
            && now < left.until
            && left.incarnation.is_none_or(|last| incarnation <= last)
        {
            return;
        }
        let endpoints = self.pools.entry(pool.clone()).or_default();
        match endpoints.get(&announcement.name) {
            Some(known) if incarnation < known.announcement.incarnation => return,
            None if ENDPOINTS_MAX <= endpoints.len() => return,
            _ => {}
        }
        let known = Known { announcement: announcement.clone(), heard: now };
        endpoints.insert(announcement.name.clone(), known);
    }

    /// Returns whether the process that announces itself is known to have left.
    pub(crate) fn has_left(&self, now: Millis, announcement: &Announcement) -> bool {
        let left = self.left.get(&announcement.name).filter(|left| now < left.until);
        left.is_some_and(|left| Some(announcement.incarnation) <= left.incarnation)
    }

    /// Notes that an endpoint leaves.
    pub(crate) fn leave(&mut self, now: Millis, endpoint: &id::Endpoint) {
        let gone = self.pools.values_mut().filter_map(|endpoints| endpoints.remove(endpoint));
        let incarnation = gone.map(|known| known.announcement.incarnation).max();
        self.remember(now, &Left { endpoint: endpoint.clone(), incarnation, age: Millis::ZERO });
    }

    /// Notes endpoints that left and that another one knows of.
    pub(crate) fn learn(&mut self, now: Millis, left: &[Left]) {
        for left in left {
            for endpoints in self.pools.values_mut() {
                let is_later = endpoints.get(&left.endpoint).is_some_and(|known| {
                    left.incarnation.is_some_and(|last| last < known.announcement.incarnation)
                });
                if !is_later {
                    endpoints.remove(&left.endpoint);
                }
            }
            self.remember(now, left);
        }
    }

    /// Returns the endpoints that left lately.
    pub(crate) fn departed(&self, now: Millis) -> Vec<Left> {
        let left = self.left.iter().filter(|(_, left)| now < left.until);
        left.map(|(endpoint, left)| Left {
            endpoint: endpoint.clone(),
            incarnation: left.incarnation,
            age: LEFT_KEPT - left.until.since(now),
        })
        .collect()
    }

    /// Returns the endpoints of a pool for its new owner, and forgets them.
    pub(crate) fn take(&mut self, now: Millis, pool: &id::Pool) -> Vec<Announcement> {
        let known = self.pools.remove(pool).unwrap_or_default().into_values();
        let live = known.filter(|known| now.since(known.heard) < SILENT_AFTER);
        let mut announcements: Vec<_> = live.map(|known| known.announcement).collect();
        announcements.sort_unstable_by(|one, other| one.name.cmp(&other.name));
        announcements
    }

    /// Forgets what is out of date.
    pub(crate) fn sweep(&mut self, now: Millis) {
        for endpoints in self.pools.values_mut() {
            endpoints.retain(|_, known| now.since(known.heard) < SILENT_AFTER);
        }
        self.pools.retain(|_, endpoints| !endpoints.is_empty());
        self.left.retain(|_, left| now < left.until);
    }

    fn remember(&mut self, now: Millis, left: &Left) {
        let until = now + (LEFT_KEPT - left.age);
        if until <= now || (LEFT_MAX <= self.left.len() && !self.left.contains_key(&left.endpoint))
        {
            return;
        }
        let new = Departed { incarnation: left.incarnation, until };
        let known = self.left.entry(left.endpoint.clone()).or_insert(new);
        known.incarnation = known.incarnation.max(left.incarnation);
        known.until = known.until.max(until);
    }
}
