//! Crashes of endpoints, and the requests that were in flight on them.

use wasabi_protocol::{
    clock::Millis,
    fault::{Fault, Kind},
    fingerprint::Body,
    id,
    request::Request,
    rpc::Answered,
};
use wasabi_routing::{poison, quarantine::Progress};

use super::{endpoint::EndpointState, load::Summary, owner::Pool, running::Running};

/// Time within which broken connections to one endpoint count as a single crash.
///
/// All connections to a dead process break within a round trip; the rest allows for slow holders.
const CRASH_WINDOW: Millis = Millis(2_500);

/// Time after the first broken connection within which the others are reported.
const SETTLE_TIME: Millis = Millis(500);

/// Maximum number of notes that are kept until the driver takes them.
const NOTES_MAX: usize = 256;

/// Maximum number of requests whose endpoints crashed before their answers began that are remembered.
const CRASH_SUSPECTS_MAX: usize = 128;

/// By what a crash was noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    /// A connection to the endpoint broke after bytes of a request were sent.
    Broken,
    /// A new process announced itself under the endpoint's name.
    Restarted,
    /// The endpoint's announcements stopped.
    Silent,
}

/// Something that the driver logs and counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// An endpoint crashed.
    Crashed {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// By what it was noticed.
        sign: Sign,
        /// The requests that were in flight on it.
        requests: Vec<Body>,
    },
    /// The rate that an endpoint accepts is another one than before.
    Rate {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// Thousandths of requests per second; none when no rate holds any more.
        per_1000_s: Option<u64>,
    },
    /// What the pool did in the last second, while requests waited or were refused.
    Load(Summary),
    /// Something was found about a part of prompts.
    Poison(poison::Change),
    /// A suspect got a grant for an endpoint of its own.
    Isolated {
        /// The endpoint.
        endpoint: id::Endpoint,
        /// The request.
        suspect: Body,
        /// For how long it was queued in this pool, in milliseconds.
        queued: Millis,
    },
}

/// A crash whose broken connections are still being reported.
#[derive(Debug)]
pub(super) struct Unsettled {
    at: Millis,
    /// Number of requests that were in flight.
    size: usize,
    /// Number of requests whose answers had not begun.
    suspects: usize,
    /// The requests whose answers had begun.
    begun: Vec<(Body, id::Organisation)>,
}

impl Pool {
    /// Returns what happened since the last call, for logs and counters.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    pub(super) fn note(&mut self, note: Note) {
        if self.notes.len() < NOTES_MAX {
            self.notes.push(note);
        }
    }

    /// Handles a connection to an endpoint that broke after bytes of a request were sent.
    ///
    /// A request that crashes endpoints does so before its answer begins, mostly. So the requests
    /// whose answers had begun are suspected only if there is no other.
    pub(super) fn connection_broken(
        &mut self,
        now: Millis,
        running: &Running,
        progress: Progress,
        answered: &[Answered],
    ) {
        let name = &running.endpoint;
        if progress == Progress::Waiting {
            self.record_poison(now, running, answered);
        }
        let Some(index) = self.endpoints.find(name) else { return };
        // It gets no new requests before its next announcement.
        self.endpoints.list[index].unreachable = true;
        let request = (running.request.fingerprint, running.request.organisation.clone());
        let last_crash = self.endpoints.list[index].last_crash;
        let is_known = last_crash.is_some_and(|at| now.since(at) < CRASH_WINDOW);
        if !is_known {
            self.endpoints.list[index].last_crash = Some(now);
            let batch = self.batch(&self.endpoints.list[index], Some(request.clone()));
            self.note_crash(name, Sign::Broken, &batch);
            let crash = Unsettled { at: now, size: batch.len(), suspects: 0, begun: Vec::new() };
            self.crashes.insert(name.clone(), crash);
        }
        // Of a crash that is settled, the late reports add nothing.
        let Some(crash) = self.crashes.get_mut(name) else { return };
        match progress {
            Progress::Begun => crash.begun.push(request),
            Progress::Waiting => {
                crash.suspects += 1;
                let member = (request.0, &request.1);
                self.suspects.record_member(now, crash.size, member, progress);
            }
        }
    }

    /// Handles a crash that was not noticed by broken connections: how far the answers had come is
    /// not known.
    pub(super) fn record_crash(&mut self, now: Millis, endpoint: &EndpointState, sign: Sign) {
        if endpoint.last_crash.is_some_and(|at| now.since(at) < CRASH_WINDOW) {
            return;
        }
        let batch = self.batch(endpoint, None);
        if batch.is_empty() {
            return;
        }
        self.note_crash(endpoint.name(), sign, &batch);
        let batch: Vec<_> = batch.iter().map(|(body, name)| (*body, name)).collect();
        self.suspects.record_crash(now, &batch);
    }

    /// Records the parts of a request whose endpoint crashed before its answer began.
    fn record_poison(&mut self, now: Millis, running: &Running, answered: &[Answered]) {
        let Running { request, endpoint, grant, .. } = running;
        if request.parts.is_empty() {
            return;
        }
        let current = self.endpoints.get_mut(endpoint).map(|one| one.announcement.incarnation);
        let incarnation = grant.as_ref().map(|grant| grant.incarnation).or(current).unwrap_or(0);
        let crash = (endpoint, incarnation);
        self.poison.record_crash(now, crash, &request.organisation, &request.parts, answered);
        if CRASH_SUSPECTS_MAX <= self.crash_suspects.len() {
            self.crash_suspects.pop_front();
        }
        self.crash_suspects.push_back((request.fingerprint, request.parts.clone()));
    }

    /// Returns the refusal of a request that has a quarantined part.
    pub(super) fn refuse_poison(&self, now: Millis, request: &Request) -> Option<Fault> {
        let permit = self.poison.permit(now, &request.organisation, &request.parts);
        let poison::Permit::Refused { part, until } = permit else { return None };
        let message = format!(
            "the part {part} of the prompt is quarantined because it crashed endpoints; the request \
             did not run; change it or retry later"
        );
        Some(Fault::new(Kind::Quarantined, message).after(until.since(now)))
    }

    /// Notes what was found about parts of prompts.
    pub(super) fn note_poison(&mut self) {
        for change in self.poison.take_changes() {
            self.note(Note::Poison(change));
        }
    }

    /// Settles the crashes whose connections have all broken by now.
    pub(super) fn settle_crashes(&mut self, now: Millis) {
        let is_settled = |crash: &Unsettled| SETTLE_TIME <= now.since(crash.at);
        for (_, crash) in self.crashes.extract_if(|_, crash| is_settled(crash)) {
            if 0 < crash.suspects {
                continue;
            }
            for (fingerprint, organisation) in &crash.begun {
                let member = (*fingerprint, organisation);
                self.suspects.record_member(now, crash.size, member, Progress::Begun);
            }
        }
    }

    fn note_crash(
        &mut self,
        endpoint: &id::Endpoint,
        sign: Sign,
        batch: &[(Body, id::Organisation)],
    ) {
        let requests = batch.iter().map(|(body, _)| *body).collect();
        self.note(Note::Crashed { endpoint: endpoint.clone(), sign, requests });
    }

    /// Returns the requests that run on an endpoint, without duplicate fingerprints.
    fn batch(
        &self,
        endpoint: &EndpointState,
        request: Option<(Body, id::Organisation)>,
    ) -> Vec<(Body, id::Organisation)> {
        let running = endpoint.running.iter().filter_map(|attempt| self.running.get(*attempt));
        let mut batch: Vec<_> = running
            .map(|running| (running.request.fingerprint, running.request.organisation.clone()))
            .chain(request)
            .collect();
        batch.sort_unstable();
        batch.dedup_by_key(|(fingerprint, _)| *fingerprint);
        batch
    }
}
