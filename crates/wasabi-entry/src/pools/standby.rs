//! Endpoints of pools that other entries own, kept so that this entry can take a pool over at once.
//!
//! Endpoints announce themselves about once a second. A new owner that waited for them would refuse
//! or delay all requests meanwhile. One that did not know which endpoints left would add them again
//! when a late announcement arrives.

use std::collections::HashMap;

use wasabi_protocol::{
    clock::Millis,
    endpoint::{ANNOUNCE_TIMEOUT, Announcement},
    id,
    rpc::Departure,
};

/// Time for which an endpoint that left is remembered, so that a late announcement does not add it
/// again.
const DEPARTED_RETENTION: Millis = Millis::from_secs(60);

/// Maximum number of endpoints kept for one pool.
const ENDPOINTS_MAX: usize = 4_096;

/// Maximum number of departed endpoints that are remembered. They fit one message of about 30 KB.
const DEPARTED_MAX: usize = 512;

/// An endpoint that announced itself.
#[derive(Debug, Clone, PartialEq)]
struct Registered {
    announcement: Announcement,
    announced: Millis,
}

/// An endpoint that left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Departed {
    /// Incarnations up to this one left; none when no announcement was received.
    incarnation: Option<u64>,
    until: Millis,
}

/// The endpoints by pool, and those that left recently.
#[derive(Debug, Default)]
pub(crate) struct Table {
    pools: HashMap<id::Pool, HashMap<id::Endpoint, Registered>>,
    departed: HashMap<id::Endpoint, Departed>,
}

impl Table {
    /// Records an announcement, unless its incarnation has left or is older than the known one.
    pub(crate) fn announce(&mut self, now: Millis, pool: &id::Pool, announcement: &Announcement) {
        let incarnation = announcement.incarnation;
        if let Some(left) = self.departed.get(&announcement.name)
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
        let known = Registered { announcement: announcement.clone(), announced: now };
        endpoints.insert(announcement.name.clone(), known);
    }

    /// Returns whether the announced incarnation is known to have left.
    pub(crate) fn has_left(&self, now: Millis, announcement: &Announcement) -> bool {
        let left = self.departed.get(&announcement.name).filter(|left| now < left.until);
        left.is_some_and(|left| Some(announcement.incarnation) <= left.incarnation)
    }

    /// Records that an endpoint leaves.
    pub(crate) fn leave(&mut self, now: Millis, endpoint: &id::Endpoint) {
        let gone = self.pools.values_mut().filter_map(|endpoints| endpoints.remove(endpoint));
        let incarnation = gone.map(|known| known.announcement.incarnation).max();
        self.record_departed(
            now,
            &Departure { endpoint: endpoint.clone(), incarnation, age: Millis::ZERO },
        );
    }

    /// Merges departed endpoints that another entry or an owned pool reports.
    pub(crate) fn merge_departed(&mut self, now: Millis, left: &[Departure]) {
        for left in left {
            for endpoints in self.pools.values_mut() {
                let is_later = endpoints.get(&left.endpoint).is_some_and(|known| {
                    left.incarnation.is_some_and(|last| last < known.announcement.incarnation)
                });
                if !is_later {
                    endpoints.remove(&left.endpoint);
                }
            }
            self.record_departed(now, left);
        }
    }

    /// Returns the endpoints that left recently.
    pub(crate) fn departed(&self, now: Millis) -> Vec<Departure> {
        let left = self.departed.iter().filter(|(_, left)| now < left.until);
        left.map(|(endpoint, left)| Departure {
            endpoint: endpoint.clone(),
            incarnation: left.incarnation,
            age: DEPARTED_RETENTION - left.until.since(now),
        })
        .collect()
    }

    /// Removes and returns the endpoints of a pool, for its new owner.
    pub(crate) fn take(&mut self, now: Millis, pool: &id::Pool) -> Vec<Announcement> {
        let known = self.pools.remove(pool).unwrap_or_default().into_values();
        let live = known.filter(|known| now.since(known.announced) < ANNOUNCE_TIMEOUT);
        let mut announcements: Vec<_> = live.map(|known| known.announcement).collect();
        announcements.sort_unstable_by(|one, other| one.name.cmp(&other.name));
        announcements
    }

    /// Removes endpoints that stopped announcing themselves and departures past their retention.
    pub(crate) fn expire(&mut self, now: Millis) {
        for endpoints in self.pools.values_mut() {
            endpoints.retain(|_, known| now.since(known.announced) < ANNOUNCE_TIMEOUT);
        }
        self.pools.retain(|_, endpoints| !endpoints.is_empty());
        self.departed.retain(|_, left| now < left.until);
    }

    fn record_departed(&mut self, now: Millis, left: &Departure) {
        let until = now + (DEPARTED_RETENTION - left.age);
        if until <= now
            || (DEPARTED_MAX <= self.departed.len() && !self.departed.contains_key(&left.endpoint))
        {
            return;
        }
        let new = Departed { incarnation: left.incarnation, until };
        let known = self.departed.entry(left.endpoint.clone()).or_insert(new);
        known.incarnation = known.incarnation.max(left.incarnation);
        known.until = known.until.max(until);
    }
}
