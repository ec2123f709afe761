//! Tracks which entries are live, which revision each has in force, and which have stopped serving.

use std::collections::{BTreeMap, BTreeSet};

use wasabi_protocol::{
    clock::Millis,
    command::{Duty, Entry, View},
    endpoint::Announcement,
    id,
    rpc::{Checkin, EntryStatus, RevisionStatus, Standing, Suspect},
};
use wasabi_routing::rendezvous;

/// Silence after which an entry has stopped serving: its serving time of 2 s plus 25% for clock
/// drift and for the delay of peer reports.
pub const SILENT_AFTER: Millis = Millis(2_500);

/// Most views kept to determine which entries could keep each other serving.
const VIEWS_MAX: usize = 64;

/// Evidence on entries, collected by the control leader. A new leader starts with none.
#[derive(Debug, Clone, Default)]
pub struct Liveness {
    /// When the collection of evidence began.
    since: Millis,
    entries: BTreeMap<id::Entry, EntryState>,
    /// The current view and earlier ones, each with its first revision, oldest first.
    views: Vec<(id::Revision, BTreeSet<id::Entry>)>,
}

/// State of one entry.
#[derive(Debug, Clone, Default)]
struct EntryState {
    /// The last check-in, without its evidence.
    checkin: Option<Checkin>,
    /// When this leader last received a check-in of the entry.
    last_checkin: Option<Millis>,
    /// When control, or a peer that control hears, last heard the entry.
    last_heard: Millis,
    /// The confirmed revision.
    revision: id::Revision,
    /// Whether an operator ordered the entry to drain.
    drain: bool,
    /// Whether an operator confirmed that the entry's process has ended.
    retired: bool,
}

impl Liveness {
    /// Creates the state of a leader whose term starts at `now`.
    pub fn new(now: Millis, view: &View, revision: id::Revision) -> Self {
        let mut liveness = Self { since: now, ..Self::default() };
        liveness.set_view(view, revision);
        liveness
    }

    /// Records a committed view, with the first revision that includes it.
    pub fn set_view(&mut self, view: &View, revision: id::Revision) {
        for entry in &view.entries {
            self.entries.entry(entry.name.clone()).or_default();
        }
        // Without control, entries keep serving while they hear a majority of the coordinators.
        let coordinators = rendezvous::coordinators(view);
        let names: BTreeSet<_> = coordinators.into_iter().map(|one| one.name.clone()).collect();
        if self.views.last().is_some_and(|(_, last)| *last == names) {
            return;
        }
        self.views.push((revision, names));
        if VIEWS_MAX < self.views.len() {
            self.views.remove(0);
        }
    }

    /// Returns when the collection of evidence began.
    pub const fn since(&self) -> Millis {
        self.since
    }

    /// Restarts all silences, after a time in which this process was paused.
    pub fn resume(&mut self, now: Millis) {
        self.since = now;
    }

    /// Records a check-in. Its `known` field names the peers that the entry heard recently.
    pub fn check_in(&mut self, now: Millis, mut checkin: Checkin) {
        for (peer, revision) in std::mem::take(&mut checkin.known) {
            let state = self.entries.entry(peer).or_default();
            state.last_heard = now;
            state.retired = false;
            state.revision = state.revision.max(revision);
        }
        checkin.evidence.clear();
        let state = self.entries.entry(checkin.entry.name.clone()).or_default();
        if checkin.revision < state.revision {
            // The process restarted, so earlier orders and confirmations are void.
            state.drain = false;
        }
        if checkin.entry.duty == Duty::Draining {
            state.drain = false;
        }
        state.retired = false;
        state.last_heard = now;
        state.last_checkin = Some(now);
        state.revision = checkin.revision;
        state.checkin = Some(checkin);
    }

    /// Marks an entry as draining until it reports that itself or restarts.
    ///
    /// A silent entry counts as stopped from then on: the operator's order replaces the evidence
    /// that is missing when a majority of a view is silent.
    pub fn drain(&mut self, now: Millis, entry: &id::Entry) {
        let since = self.since;
        let state = self.entries.entry(entry.clone()).or_default();
        state.drain = true;
        state.retired = SILENT_AFTER <= now.since(state.last_heard.max(since));
    }

    /// Returns whether `entry` is known not to serve at `now`.
    ///
    /// It is silent, and the silent entries that may still use a view are less than its majority,
    /// so they cannot keep each other serving.
    pub fn is_stopped(&self, now: Millis, entry: &id::Entry) -> bool {
        let Some(state) = self.entries.get(entry) else { return true };
        state.retired
            || self.is_silent(now, state) && self.silent_views(now, state.revision).next().is_none()
    }

    /// Returns the desired view, if it differs from the current one.
    pub fn next_view(&self, now: Millis, view: &View) -> Option<Vec<Entry>> {
        let mut next: BTreeMap<&id::Entry, Entry> = view
            .entries
            .iter()
            .filter(|entry| !self.is_stopped(now, &entry.name))
            .map(|entry| (&entry.name, entry.clone()))
            .collect();
        for (name, state) in &self.entries {
            let (Some(checkin), Some(last_checkin)) = (&state.checkin, state.last_checkin) else {
                continue;
            };
            if SILENT_AFTER <= now.since(last_checkin) {
                continue;
            }
            let mut entry = checkin.entry.clone();
            if state.drain {
                entry.duty = Duty::Draining;
            }
            next.insert(name, entry);
        }
        let next: Vec<Entry> = next.into_values().collect();
        (next != view.entries).then_some(next)
    }

    /// Returns where a revision is in force, for the entries of the view and for entries that left
    /// it but may still serve.
    pub fn force(&self, now: Millis, view: &View, revision: id::Revision) -> RevisionStatus {
        let mut force = RevisionStatus::default();
        let mut names: BTreeSet<&id::Entry> =
            view.entries.iter().map(|entry| &entry.name).collect();
        names.extend(self.entries.keys());
        for name in names {
            let confirmed = self.entries.get(name).map(|state| state.revision);
            let in_view = view.entries.iter().any(|entry| entry.name == *name);
            if confirmed.is_some_and(|confirmed| revision <= confirmed) {
                force.confirmed.push(name.clone());
            } else if !self.is_stopped(now, name) {
                force.behind.push(name.clone());
            } else if in_view {
                force.stopped.push(name.clone());
            }
        }
        force
    }

    /// Returns the status of each entry in the view.
    pub fn status(&self, now: Millis, view: &View, revision: id::Revision) -> Vec<EntryStatus> {
        let status = |entry: &Entry| {
            let state = self.entries.get(&entry.name);
            let confirmed = state.map_or(id::Revision(0), |state| state.revision);
            let standing = if revision <= confirmed {
                Standing::Current
            } else if self.is_stopped(now, &entry.name) {
                Standing::Stopped
            } else {
                Standing::Behind
            };
            EntryStatus {
                entry: entry.clone(),
                revision: confirmed,
                silent: now
                    .since(state.map_or(self.since, |state| state.last_heard.max(self.since))),
                standing,
            }
        };
        view.entries.iter().map(status).collect()
    }

    /// Returns the endpoints reported by live entries, without duplicates.
    pub fn endpoints(&self, now: Millis) -> Vec<Announcement> {
        let mut endpoints = BTreeMap::new();
        for checkin in self.live(now) {
            for endpoint in &checkin.endpoints {
                let known = endpoints.entry(&endpoint.name).or_insert(endpoint);
                if known.incarnation < endpoint.incarnation {
                    *known = endpoint;
                }
            }
        }
        endpoints.into_values().cloned().collect()
    }

    /// Returns the suspects reported by live entries, each with its highest count.
    pub fn suspects(&self, now: Millis) -> Vec<Suspect> {
        let mut suspects: BTreeMap<_, &Suspect> = BTreeMap::new();
        for checkin in self.live(now) {
            for suspect in &checkin.suspects {
                let known = suspects.entry(suspect.fingerprint).or_insert(suspect);
                if (known.crashes, known.weight) < (suspect.crashes, suspect.weight) {
                    *known = suspect;
                }
            }
        }
        suspects.into_values().cloned().collect()
    }

    /// Returns the degraded parts reported by live entries, with the name of the entry.
    pub fn degraded(&self, now: Millis) -> Vec<String> {
        self.live(now)
            .flat_map(|checkin| {
                let name = &checkin.entry.name;
                checkin.degraded.iter().map(move |part| format!("entry {name}: {part}"))
            })
            .collect()
    }

    fn live(&self, now: Millis) -> impl Iterator<Item = &Checkin> {
        self.entries
            .values()
            .filter(move |state| !self.is_silent(now, state))
            .filter_map(|state| state.checkin.as_ref())
    }

    fn is_silent(&self, now: Millis, state: &EntryState) -> bool {
        SILENT_AFTER <= now.since(state.last_heard.max(self.since))
    }

    /// Returns the views, starting with the one in force at `revision`, of which a majority may be
    /// silent entries that still use the view.
    fn silent_views(
        &self,
        now: Millis,
        revision: id::Revision,
    ) -> impl Iterator<Item = &id::Revision> {
        let first = self.views.iter().rposition(|(from, _)| *from <= revision).unwrap_or(0);
        self.views.iter().skip(first).enumerate().filter_map(move |(offset, (from, names))| {
            // An entry may still use a view unless it confirmed a later one.
            let until = self.views.get(first + offset + 1).map(|(until, _)| *until);
            let silent = names
                .iter()
                .filter_map(|name| self.entries.get(name))
                .filter(|state| self.is_silent(now, state) && !state.retired)
                .filter(|state| until.is_none_or(|until| state.revision < until))
                .count();
            (names.len() < silent * 2).then_some(from)
        })
    }
}
