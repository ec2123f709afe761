//! Decides when an entry fetches a newer configuration, and from whom.
//!
//! Every peer names the revision that it has in force, several times a second, and the control
//! leader does in its answers. One fetch is under way at a time, so that a change costs an entry its
//! own size once, whatever the number of peers.
//!
//! The coordinators fetch from control and all others from them, so that the leader's link carries a
//! few copies of a change, whatever the number of entries.

use std::cmp::Reverse;

use wasabi_protocol::{clock::Millis, id};

/// Time between two looks at a fetch under way.
pub const PROGRESS_CHECK_INTERVAL: Millis = Millis(100);

/// Time without a byte of the answer after which the next source is asked.
pub const STALL_TIMEOUT: Millis = Millis(800);

/// Time for which a source that gave nothing newer is not asked again.
pub const RETRY_DELAY: Millis = Millis(500);

/// Time for which an entry that takes its turn after the coordinators waits for a peer to name what
/// control named. It is shorter than the time between two check-ins, so that the second one that
/// names a revision finds the wait over.
pub const CONTROL_DELAY: Millis = Millis(400);

/// Who may hold a newer configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The control member at this address.
    Member(String),
    /// Another entry.
    Peer(id::Entry),
}

/// Where a source is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Locality {
    /// In the data centre of this entry.
    Local,
    /// In another one, or not known.
    Remote,
}

/// When an entry asks control.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ControlAccess {
    /// At once: it is a coordinator, or it has no view and so no peers.
    #[default]
    Immediate,
    /// When no peer has named a newer revision for [`CONTROL_DELAY`].
    AfterPeers,
}

/// How a fetch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// A newer configuration came.
    Taken,
    /// The source did not answer, or held nothing newer.
    Failed,
    /// The source has no address any more.
    Gone,
}

/// A source with the highest revision that it named.
#[derive(Debug)]
struct Named {
    source: Source,
    place: Locality,
    revision: id::Revision,
    /// When it first named more than this entry held then.
    since: Millis,
    failed: Option<Millis>,
}

/// The fetch under way.
#[derive(Debug)]
struct Flight {
    source: Source,
    started: Millis,
    /// Bytes received on its connection when it was last looked at.
    received: Option<u64>,
    looked: Millis,
    /// Time without a byte.
    quiet: Millis,
}

/// What is known of newer configurations, and the fetch under way.
#[derive(Debug, Default)]
pub struct Plan {
    held: id::Revision,
    turn: ControlAccess,
    named: Vec<Named>,
    flight: Option<Flight>,
}

impl Plan {
    /// Takes into account that this revision is in force here. Returns the time since it, or an
    /// earlier one that was newer then, was first named.
    pub fn set_held_revision(
        &mut self,
        now: Millis,
        revision: id::Revision,
        turn: ControlAccess,
    ) -> Option<Millis> {
        self.turn = turn;
        if revision <= self.held {
            return None;
        }
        self.held = revision;
        let since = self.named.iter().map(|named| named.since).min();
        self.named.retain(|named| revision < named.revision);
        for named in &mut self.named {
            named.since = now;
        }
        since.map(|since| now.since(since))
    }

    /// Takes into account that a source has this revision in force.
    pub fn add_available(
        &mut self,
        now: Millis,
        source: Source,
        place: Locality,
        revision: id::Revision,
    ) {
        if revision <= self.held {
            return;
        }
        match self.named.iter_mut().find(|named| named.source == source) {
            Some(named) => named.revision = named.revision.max(revision),
            None => {
                self.named.push(Named { source, place, revision, since: now, failed: None });
            }
        }
    }

    /// Returns whom to ask now, if somebody named a newer revision and no fetch is under way. The
    /// caller fetches and then calls [`Plan::end_fetch`].
    ///
    /// Sources that have not failed go first, then peers, then the highest revision, then those of
    /// this data centre, then the one named first.
    pub fn start_fetch(&mut self, now: Millis) -> Option<Source> {
        if self.flight.is_some() {
            return None;
        }
        let order = |named: &&Named| {
            (named.failed, named.is_member(), Reverse(named.revision), named.place)
        };
        let due = self.named.iter().filter(|named| named.is_due(now, self.turn));
        let source = due.min_by_key(order)?.source.clone();
        self.flight = Some(Flight {
            source: source.clone(),
            started: now,
            received: None,
            looked: now,
            quiet: Millis::ZERO,
        });
        Some(source)
    }

    /// Notes how many bytes came on the connection of the fetch under way, and returns whether it
    /// makes no progress.
    ///
    /// A look that is late itself proves little about the source, so each look adds two intervals
    /// of silence at most.
    pub fn is_stalled(&mut self, now: Millis, received: u64) -> bool {
        let Some(flight) = &mut self.flight else { return false };
        let passed =
            now.since(flight.looked).min(PROGRESS_CHECK_INTERVAL + PROGRESS_CHECK_INTERVAL);
        flight.looked = now;
        if flight.received == Some(received) {
            flight.quiet = flight.quiet + passed;
        } else {
            flight.received = Some(received);
            flight.quiet = Millis::ZERO;
        }
        STALL_TIMEOUT <= flight.quiet
    }

    /// Returns the age of the fetch under way.
    pub fn fetch_age(&self, now: Millis) -> Option<Millis> {
        self.flight.as_ref().map(|flight| now.since(flight.started))
    }

    /// Notes how the fetch under way ended.
    pub fn end_fetch(&mut self, now: Millis, end: End) {
        let Some(flight) = self.flight.take() else { return };
        match end {
            End::Taken => {}
            End::Failed => {
                let mut named = self.named.iter_mut();
                if let Some(named) = named.find(|named| named.source == flight.source) {
                    named.failed = Some(now);
                }
            }
            End::Gone => self.named.retain(|named| named.source != flight.source),
        }
    }
}

impl Named {
    const fn is_member(&self) -> bool {
        matches!(self.source, Source::Member(_))
    }

    /// Returns whether it may be asked now.
    fn is_due(&self, now: Millis, turn: ControlAccess) -> bool {
        let is_rested = self.failed.is_none_or(|failed| RETRY_DELAY <= now.since(failed));
        let waits = self.is_member()
            && turn == ControlAccess::AfterPeers
            && now.since(self.since) < CONTROL_DELAY;
        is_rested && !waits
    }
}
