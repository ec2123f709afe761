//! Decides when an entry fetches a newer configuration, and from whom.
//!
//! Every peer names the revision that it has in force, several times a second. One fetch is under
//! way at a time, so that a change costs an entry its own size once, whatever the number of peers.

use wasabi_protocol::{clock::Millis, id};

/// Time between two looks at a fetch under way.
pub const WATCH_EVERY: Millis = Millis(100);

/// Time without a byte of the answer after which the next source is asked.
pub const STALLED_AFTER: Millis = Millis(800);

/// Time for which a source that gave nothing newer is not asked again.
pub const REST: Millis = Millis(500);

/// Who may hold a newer configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The control leader.
    Control,
    /// Another entry.
    Peer(id::Entry),
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
    revision: id::Revision,
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
    named: Vec<Named>,
    flight: Option<Flight>,
}

impl Plan {
    /// Takes into account that this revision is in force here.
    pub fn hold(&mut self, revision: id::Revision) {
        self.held = self.held.max(revision);
        let held = self.held;
        self.named.retain(|named| held < named.revision);
    }

    /// Takes into account that a source has this revision in force.
    pub fn name(&mut self, source: Source, revision: id::Revision) {
        if revision <= self.held {
            return;
        }
        match self.named.iter_mut().find(|named| named.source == source) {
            Some(named) => named.revision = named.revision.max(revision),
            None => self.named.push(Named { source, revision, failed: None }),
        }
    }

    /// Returns whom to ask now, if somebody named a newer revision and no fetch is under way. The
    /// caller fetches and then calls [`Plan::end`].
    ///
    /// Sources that have not failed go first, then the highest revision, then the one named first.
    pub fn start(&mut self, now: Millis) -> Option<Source> {
        if self.flight.is_some() {
            return None;
        }
        let may_ask = |named: &&Named| named.failed.is_none_or(|failed| REST <= now.since(failed));
        let order = |named: &&Named| (named.failed, std::cmp::Reverse(named.revision));
        let source = self.named.iter().filter(may_ask).min_by_key(order)?.source.clone();
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
        let passed = now.since(flight.looked).min(WATCH_EVERY + WATCH_EVERY);
        flight.looked = now;
        if flight.received == Some(received) {
            flight.quiet = flight.quiet + passed;
        } else {
            flight.received = Some(received);
            flight.quiet = Millis::ZERO;
        }
        STALLED_AFTER <= flight.quiet
    }

    /// Returns the age of the fetch under way.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.flight.as_ref().map(|flight| now.since(flight.started))
    }

    /// Notes how the fetch under way ended.
    pub fn end(&mut self, now: Millis, end: End) {
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
