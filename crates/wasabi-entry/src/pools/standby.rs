//! Endpoints of pools that another entry owns, kept so that a take-over starts with them.
//!
//! Endpoints announce themselves every second or so. A new owner that waited for them would refuse
//! or hold back everything meanwhile.

use std::collections::HashMap;

use wasabi_protocol::{
    clock::Millis,
    endpoint::{Announcement, SILENT_AFTER},
    id,
};

/// Time for which an endpoint that left is remembered, so that a late announcement does not bring
/// it back.
const LEFT_KEPT: Millis = Millis::from_secs(60);

/// Most endpoints kept in one pool.
const ENDPOINTS_MAX: usize = 4_096;

/// What is known of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Known {
    /// Its last announcement.
    pub(crate) announcement: Announcement,
    /// Whether it left since.
    pub(crate) has_left: bool,
    heard: Millis,
}

/// The endpoints by pool.
#[derive(Debug, Default)]
pub(crate) struct Table {
    pools: HashMap<id::Pool, HashMap<id::Endpoint, Known>>,
}

impl Table {
    /// Notes an announcement.
    pub(crate) fn announce(&mut self, now: Millis, pool: &id::Pool, announcement: &Announcement) {
        let endpoints = self.pools.entry(pool.clone()).or_default();
        if let Some(known) = endpoints.get(&announcement.name) {
            let (held, new) = (known.announcement.incarnation, announcement.incarnation);
            if new < held || (known.has_left && new == held) {
                return;
            }
        } else if ENDPOINTS_MAX <= endpoints.len() {
            return;
        }
        let known = Known { announcement: announcement.clone(), has_left: false, heard: now };
        endpoints.insert(announcement.name.clone(), known);
    }

    /// Notes that an endpoint leaves.
    pub(crate) fn leave(&mut self, now: Millis, endpoint: &id::Endpoint) {
        for endpoints in self.pools.values_mut() {
            if let Some(known) = endpoints.get_mut(endpoint) {
                known.has_left = true;
                known.heard = now;
            }
        }
    }

    /// Returns the endpoints of a pool for its new owner, those that left included, and forgets them.
    pub(crate) fn take(&mut self, now: Millis, pool: &id::Pool) -> Vec<Known> {
        let mut known: Vec<_> = self.pools.remove(pool).unwrap_or_default().into_values().collect();
        known.retain(|known| known.has_left || now.since(known.heard) < SILENT_AFTER);
        known.sort_unstable_by(|one, other| one.announcement.name.cmp(&other.announcement.name));
        known
    }

    /// Forgets what is out of date.
    pub(crate) fn sweep(&mut self, now: Millis) {
        for endpoints in self.pools.values_mut() {
            endpoints.retain(|_, known| {
                let kept = if known.has_left { LEFT_KEPT } else { SILENT_AFTER };
                now.since(known.heard) < kept
            });
        }
        self.pools.retain(|_, endpoints| !endpoints.is_empty());
    }
}
