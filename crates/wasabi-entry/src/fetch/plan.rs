//! Decides when an entry fetches a newer configuration, and from whom.
//!
//! Every peer announces its active revision several times per second, and the control leader does
//! so in its responses. Only one fetch is in progress at a time, so that each change is transferred
//! to an entry once, independent of the number of peers.
//!
//! Coordinators fetch from control, and all other entries from them. The leader's link thus carries
//! only a few copies of a change, independent of the number of entries.

use std::cmp::Reverse;

use wasabi_protocol::{clock::Millis, id};

/// Interval between two progress checks of a running fetch.
pub const PROGRESS_CHECK_INTERVAL: Millis = Millis(100);

/// Time without a received byte after which a fetch is given up and the next source is tried.
pub const STALL_TIMEOUT: Millis = Millis(800);

/// Delay before a source is tried again after a fetch that gave nothing newer.
pub const RETRY_DELAY: Millis = Millis(500);

/// Time for which an entry that is not a coordinator waits for a peer to announce a revision before
/// it fetches from control. It is shorter than the check-in interval, so that it has passed when a
/// second check-in announces the same revision.
pub const CONTROL_DELAY: Millis = Millis(400);

/// A possible source of a newer configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The control member at this address.
    Member(String),
    /// Another entry.
    Peer(id::Entry),
}

/// The location of a source relative to this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Locality {
    /// In the same data centre.
    Local,
    /// In another data centre, or unknown.
    Remote,
}

/// When an entry fetches from control.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ControlAccess {
    /// Without delay: the entry is a coordinator, or it has no view and so no peers.
    #[default]
    Immediate,
    /// After [`CONTROL_DELAY`], to prefer peers that hold the revision.
    AfterPeers,
}

/// How a fetch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// A newer configuration was received.
    Taken,
    /// The source did not respond, or held nothing newer.
    Failed,
    /// The source no longer has an address.
    Gone,
}

/// A source with the highest revision that it announced.
#[derive(Debug)]
struct AvailableSource {
    source: Source,
    locality: Locality,
    revision: id::Revision,
    /// When it first announced a revision newer than the one held at that time.
    announced_at: Millis,
    /// When the last fetch from it failed.
    failed_at: Option<Millis>,
}

/// The fetch in progress.
#[derive(Debug)]
struct Fetch {
    source: Source,
    started: Millis,
    /// Bytes received on its connection at the last progress check.
    received: Option<u64>,
    checked_at: Millis,
    /// Time since the last received byte, as far as progress checks observed it.
    without_progress: Millis,
}

/// The sources of newer configurations, and the fetch in progress.
#[derive(Debug, Default)]
pub struct Plan {
    held: id::Revision,
    control_access: ControlAccess,
    available: Vec<AvailableSource>,
    fetch: Option<Fetch>,
}

impl Plan {
    /// Records the revision that is active on this entry. If it is newer than before, returns the
    /// time since any revision newer than the previous one was first announced.
    pub fn set_held_revision(
        &mut self,
        now: Millis,
        revision: id::Revision,
        control_access: ControlAccess,
    ) -> Option<Millis> {
        self.control_access = control_access;
        if revision <= self.held {
            return None;
        }
        self.held = revision;
        let announced_at = self.available.iter().map(|available| available.announced_at).min();
        self.available.retain(|available| revision < available.revision);
        for available in &mut self.available {
            available.announced_at = now;
        }
        announced_at.map(|announced_at| now.since(announced_at))
    }

    /// Records that a source announced this active revision.
    pub fn add_available(
        &mut self,
        now: Millis,
        source: Source,
        locality: Locality,
        revision: id::Revision,
    ) {
        if revision <= self.held {
            return;
        }
        match self.available.iter_mut().find(|available| available.source == source) {
            Some(available) if available.revision < revision => {
                // What it did not have when a fetch failed may be there now.
                available.revision = revision;
                available.failed_at = None;
            }
            Some(_) => {}
            None => {
                self.available.push(AvailableSource {
                    source,
                    locality,
                    revision,
                    announced_at: now,
                    failed_at: None,
                });
            }
        }
    }

    /// Starts a fetch if a source with a newer revision is available and no fetch is in progress.
    /// Returns the source; the caller fetches from it and then calls [`Plan::end_fetch`].
    ///
    /// Sources that have not failed are preferred, then peers, then the highest revision, then
    /// sources in this data centre, then the source announced first.
    pub fn start_fetch(&mut self, now: Millis) -> Option<Source> {
        if self.fetch.is_some() {
            return None;
        }
        let order = |available: &&AvailableSource| {
            (
                available.failed_at,
                available.is_member(),
                Reverse(available.revision),
                available.locality,
            )
        };
        let candidates =
            self.available.iter().filter(|available| available.may_start(now, self.control_access));
        let source = candidates.min_by_key(order)?.source.clone();
        self.fetch = Some(Fetch {
            source: source.clone(),
            started: now,
            received: None,
            checked_at: now,
            without_progress: Millis::ZERO,
        });
        Some(source)
    }

    /// Records the number of bytes received on the connection of the fetch in progress, and returns
    /// whether the fetch has stalled.
    ///
    /// A late check may be caused by a pause of this process rather than by the source, so each
    /// check adds at most two intervals without progress.
    pub fn is_stalled(&mut self, now: Millis, received: u64) -> bool {
        let Some(fetch) = &mut self.fetch else { return false };
        let passed =
            now.since(fetch.checked_at).min(PROGRESS_CHECK_INTERVAL + PROGRESS_CHECK_INTERVAL);
        fetch.checked_at = now;
        if fetch.received == Some(received) {
            fetch.without_progress = fetch.without_progress + passed;
        } else {
            fetch.received = Some(received);
            fetch.without_progress = Millis::ZERO;
        }
        STALL_TIMEOUT <= fetch.without_progress
    }

    /// Returns the time since the fetch in progress was started.
    pub fn fetch_age(&self, now: Millis) -> Option<Millis> {
        self.fetch.as_ref().map(|fetch| now.since(fetch.started))
    }

    /// Records the end of the fetch in progress.
    pub fn end_fetch(&mut self, now: Millis, end: End) {
        let Some(fetch) = self.fetch.take() else { return };
        match end {
            End::Taken => {}
            End::Failed => {
                let mut available = self.available.iter_mut();
                if let Some(available) =
                    available.find(|available| available.source == fetch.source)
                {
                    available.failed_at = Some(now);
                }
            }
            End::Gone => self.available.retain(|available| available.source != fetch.source),
        }
    }
}

impl AvailableSource {
    const fn is_member(&self) -> bool {
        matches!(self.source, Source::Member(_))
    }

    /// Returns whether a fetch from this source may start now.
    fn may_start(&self, now: Millis, control_access: ControlAccess) -> bool {
        let may_retry = self.failed_at.is_none_or(|failed_at| RETRY_DELAY <= now.since(failed_at));
        let waits_for_peers = self.is_member()
            && control_access == ControlAccess::AfterPeers
            && now.since(self.announced_at) < CONTROL_DELAY;
        may_retry && !waits_for_peers
    }
}
