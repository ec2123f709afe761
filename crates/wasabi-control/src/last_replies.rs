//! Times of the last reply of each other member, on any connection.
//!
//! A reply proves that the other process runs and is reachable, however late it arrives. Time in
//! which this process was paused does not count as silence of a member.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use wasabi_protocol::{
    clock::{Clock, Millis},
    id,
};

/// Most members kept; entries of former members are not removed one by one.
const MEMBERS_MAX: usize = 256;

/// Times of the last replies, without I/O.
#[derive(Debug, Clone, Default)]
pub struct LastReplies {
    replied: BTreeMap<id::Member, Millis>,
    /// When the last pause of this process ended, and how long it was.
    pause: Option<(Millis, Millis)>,
}

impl LastReplies {
    /// Records a reply of a member to any request on any connection.
    pub fn record_reply(&mut self, now: Millis, member: &id::Member) {
        if let Some(replied) = self.replied.get_mut(member) {
            *replied = now;
            return;
        }
        if MEMBERS_MAX <= self.replied.len() {
            self.replied.clear();
        }
        self.replied.insert(member.clone(), now);
    }

    /// Records that this process was paused for a time that ended at `now`. Replies could not be
    /// received meanwhile, so the pause is excluded from all silences.
    pub fn record_pause(&mut self, now: Millis, time: Millis) {
        for replied in self.replied.values_mut() {
            *replied = (*replied + time).min(now);
        }
        self.pause = Some((now, time));
    }

    /// Returns the time since the last reply of the member, without pauses of this process, or
    /// `None` when it never replied.
    pub fn silence(&self, now: Millis, member: &id::Member) -> Option<Millis> {
        self.replied.get(member).map(|replied| now.since(*replied))
    }

    /// Returns the time since the last pause of this process ended, and the length of the pause.
    pub fn pause(&self, now: Millis) -> Option<(Millis, Millis)> {
        self.pause.map(|(ended, time)| (now.since(ended), time))
    }
}

/// The table of a running member, shared by its threads.
#[derive(Debug, Clone)]
pub(crate) struct SharedLastReplies {
    clock: Clock,
    table: Arc<Mutex<LastReplies>>,
}

impl SharedLastReplies {
    pub(crate) fn start() -> Self {
        Self { clock: Clock::start(), table: Arc::default() }
    }

    pub(crate) fn record_reply(&self, member: &id::Member) {
        self.table().record_reply(self.clock.now(), member);
    }

    pub(crate) fn record_pause(&self, time: Millis) {
        self.table().record_pause(self.clock.now(), time);
    }

    /// Returns the time since the last reply of each member that ever replied.
    pub(crate) fn silences(&self) -> BTreeMap<id::Member, Millis> {
        let (now, table) = (self.clock.now(), self.table());
        let silence =
            |(member, replied): (&id::Member, &Millis)| (member.clone(), now.since(*replied));
        table.replied.iter().map(silence).collect()
    }

    /// Returns the time since the last pause of this process ended, and the length of the pause.
    pub(crate) fn pause(&self) -> Option<(Millis, Millis)> {
        self.table().pause(self.clock.now())
    }

    fn table(&self) -> MutexGuard<'_, LastReplies> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
