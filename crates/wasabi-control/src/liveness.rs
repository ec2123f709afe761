//! Which entries live, which revision each has in force, and which are known not to serve.

use std::collections::{BTreeMap, BTreeSet};

use wasabi_protocol::{
    clock::Millis,
    command::{Duty, Entry, View},
    endpoint::Announcement,
    id,
    rpc::{Checkin, EntryStatus, Force, Standing, Suspect},
};
use wasabi_routing::rendezvous;

/// Silence after which an entry has stopped serving, in milliseconds: its serving time of 2 s
/// plus 25% for clock drift and for the time that reports of peers travel.
pub const SILENT_AFTER: Millis = Millis(2_500);

/// Most earlier views that are kept to judge which entries could keep each other serving.
const VIEWS_MAX: usize = 64;

/// Evidence on entries that the control leader collects. A new leader starts without any.
#[derive(Debug, Clone, Default)]
pub struct Liveness {
    /// Time before which nothing is known of any entry.
    since: Millis,
    entries: BTreeMap<id::Entry, Seen>,
    /// The present view and earlier ones, each with its first revision, oldest first.
    views: Vec<(id::Revision, BTreeSet<id::Entry>)>,
}

/// What is known of one entry.
#[derive(Debug, Clone, Default)]
struct Seen {
    /// The last check-in, without its evidence.
    checkin: Option<Checkin>,
    /// When control heard it itself.
    direct: Option<Millis>,
    /// When control or a peer that control hears last heard it.
    heard: Millis,
    /// The revision confirmed.
    revision: id::Revision,
    /// Whether an operator ordered it to drain.
    drain: bool,
    /// Whether an operator stated that its process has ended.
    retired: bool,
}

impl Liveness {
    /// Returns the knowledge of a leader that starts at `now` and knows nothing of any entry.
    pub fn new(now: Millis, view: &View, revision: id::Revision) -> Self {
        let mut liveness = Self { since: now, ..Self::default() };
        liveness.set_view(view, revision);
        liveness
    }

    /// Takes a committed view into account, with the revision that it first belongs to.
    pub fn set_view(&mut self, view: &View, revision: id::Revision) {
        for entry in &view.entries {
            self.entries.entry(entry.name.clone()).or_default();
        }
        // Entries serve on without control when they hear most of the coordinators.
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

    /// Returns the time before which nothing is known of any entry.
    pub const fn since(&self) -> Millis {
        self.since
    }

    /// Discards all silence so far, after a time in which this process did not run.
    pub fn resume(&mut self, now: Millis) {
        self.since = now;
    }

    /// Takes a check-in into account. `known` in it names the peers that the entry heard lately.
    pub fn check_in(&mut self, now: Millis, mut checkin: Checkin) {
        for (peer, revision) in std::mem::take(&mut checkin.known) {
            let seen = self.entries.entry(peer).or_default();
            seen.heard = now;
            seen.retired = false;
            seen.revision = seen.revision.max(revision);
        }
        checkin.evidence.clear();
        let seen = self.entries.entry(checkin.entry.name.clone()).or_default();
        if checkin.revision < seen.revision {
            // The process started anew, so that earlier orders and confirmations are void.
            seen.drain = false;
        }
        if checkin.entry.duty == Duty::Draining {
            seen.drain = false;
        }
        seen.retired = false;
        seen.heard = now;
        seen.direct = Some(now);
        seen.revision = checkin.revision;
        seen.checkin = Some(checkin);
    }

    /// Marks an entry as ordered to drain, until it says so itself or starts anew.
    ///
    /// A silent entry counts as ended from then on: the operator's word stands for the proof that
    /// is missing when a majority of a view is silent.
    pub fn drain(&mut self, now: Millis, entry: &id::Entry) {
        let since = self.since;
        let seen = self.entries.entry(entry.clone()).or_default();
        seen.drain = true;
        seen.retired = SILENT_AFTER <= now.since(seen.heard.max(since));
    }

    /// Returns whether `entry` is known not to serve at `now`.
    ///
    /// It is silent, and the silent entries that may hold a view together are less than its
    /// majority, so that they cannot keep each other serving.
    pub fn is_stopped(&self, now: Millis, entry: &id::Entry) -> bool {
        let Some(seen) = self.entries.get(entry) else { return true };
        seen.retired
            || self.is_silent(now, seen) && self.silent_views(now, seen.revision).next().is_none()
    }

    /// Returns the view that should be in force, when it differs from the present one.
    pub fn next_view(&self, now: Millis, view: &View) -> Option<Vec<Entry>> {
        let mut next: BTreeMap<&id::Entry, Entry> = view
            .entries
            .iter()
            .filter(|entry| !self.is_stopped(now, &entry.name))
            .map(|entry| (&entry.name, entry.clone()))
            .collect();
        for (name, seen) in &self.entries {
            let (Some(checkin), Some(direct)) = (&seen.checkin, seen.direct) else { continue };
            if SILENT_AFTER <= now.since(direct) {
                continue;
            }
            let mut entry = checkin.entry.clone();
            if seen.drain {
                entry.duty = Duty::Draining;
            }
            next.insert(name, entry);
        }
        let next: Vec<Entry> = next.into_values().collect();
        (next != view.entries).then_some(next)
    }

    /// Returns where a revision is in force: over the entries of the view, and those that left it
    /// and may still serve.
    pub fn force(&self, now: Millis, view: &View, revision: id::Revision) -> Force {
        let mut force = Force::default();
        let mut names: BTreeSet<&id::Entry> =
            view.entries.iter().map(|entry| &entry.name).collect();
        names.extend(self.entries.keys());
        for name in names {
            let confirmed = self.entries.get(name).map(|seen| seen.revision);
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

    /// Returns what is known of each entry that control or a peer heard lately or that is in the
    /// view.
    pub fn status(&self, now: Millis, view: &View, revision: id::Revision) -> Vec<EntryStatus> {
        let status = |entry: &Entry| {
            let seen = self.entries.get(&entry.name);
            let confirmed = seen.map_or(id::Revision(0), |seen| seen.revision);
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
                silent: now.since(seen.map_or(self.since, |seen| seen.heard.max(self.since))),
                standing,
            }
        };
        view.entries.iter().map(status).collect()
    }

    /// Returns the endpoints that live entries reported, each once.
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

    /// Returns the suspects that live entries reported, each once with its highest count.
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

    /// Returns the degraded parts that live entries reported, with the entry's name.
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
            .filter(move |seen| !self.is_silent(now, seen))
            .filter_map(|seen| seen.checkin.as_ref())
    }

    fn is_silent(&self, now: Millis, seen: &Seen) -> bool {
        SILENT_AFTER <= now.since(seen.heard.max(self.since))
    }

    /// Returns the views, from the one in force at `revision` on, of which the silent entries that
    /// may hold them are a majority.
    fn silent_views(
        &self,
        now: Millis,
        revision: id::Revision,
    ) -> impl Iterator<Item = &id::Revision> {
        let first = self.views.iter().rposition(|(from, _)| *from <= revision).unwrap_or(0);
        self.views.iter().skip(first).enumerate().filter_map(move |(offset, (from, names))| {
            // An entry may hold a view unless it confirmed a later one.
            let until = self.views.get(first + offset + 1).map(|(until, _)| *until);
            let silent = names
                .iter()
                .filter_map(|name| self.entries.get(name))
                .filter(|seen| self.is_silent(now, seen) && !seen.retired)
                .filter(|seen| until.is_none_or(|until| seen.revision < until))
                .count();
            (names.len() < silent * 2).then_some(from)
        })
    }
}
