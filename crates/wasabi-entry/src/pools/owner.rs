//! The pools that this entry owns: their waiting calls, their grants and the holders of these.

use std::collections::{HashMap, HashSet};

use tokio::sync::oneshot;
use wasabi_protocol::{
    clock::Millis,
    command::Config,
    endpoint::Announcement,
    fault::Fault,
    id,
    request::{End, Report, Request},
    rpc::{Acquired, Crash, Departure, Evidence, Grant, Holdings, Poison, Release, Usage},
};
use wasabi_routing::quarantine;
use wasabi_scheduler::pool::{Action, Event, Note, Pool};

use crate::pools::notes;

/// An action that the caller must perform outside the pool.
#[derive(Debug)]
pub(crate) enum Effect {
    /// Revoke a grant from its holder.
    Preempt {
        /// The pool.
        pool: id::Pool,
        /// The entry that holds it.
        holder: id::Entry,
        /// The attempt that uses it.
        attempt: id::Attempt,
    },
    /// Log and count what happened in a pool.
    Note {
        /// The pool.
        pool: id::Pool,
        /// What happened.
        note: Note,
    },
    /// Ask the owner of an organisation's budget for a slice.
    RequestSlice {
        /// The pool that needs the slice.
        pool: id::Pool,
        /// The organisation.
        organisation: id::Organisation,
        /// The reported usage and the wanted amount.
        used: Usage,
    },
}

/// A call that waits for a grant.
#[derive(Debug)]
struct WaitingCall {
    holder: id::Entry,
    request: Request,
    reply: oneshot::Sender<Acquired>,
}

/// One owned pool.
#[derive(Debug)]
struct OwnedPool {
    pool: Pool,
    waiting: HashMap<u64, WaitingCall>,
    holders: HashMap<id::Attempt, id::Entry>,
    /// The number of endpoints that was last logged.
    endpoints: usize,
    /// Whether the stop of the new version was logged.
    is_stop_logged: bool,
}

/// The owned pools.
#[derive(Debug, Default)]
pub(crate) struct Table {
    owned: HashMap<id::Pool, OwnedPool>,
    last_ticket: u64,
}

impl Table {
    /// Makes this entry the owner of a pool, if it is not already.
    pub(crate) fn own(
        &mut self,
        now: Millis,
        name: &id::Pool,
        backend: &id::Backend,
        owner: &id::Entry,
        config: &Config,
    ) {
        if self.owns(name) {
            return;
        }
        tracing::info!(pool = %name, "this entry now owns the pool");
        let seed = fastrand::u64(..);
        let mut pool = Pool::new(name.clone(), backend.clone(), owner.clone(), seed);
        pool.step(now, Event::Config(config));
        let owned = OwnedPool {
            pool,
            waiting: HashMap::new(),
            holders: HashMap::new(),
            endpoints: 0,
            is_stop_logged: false,
        };
        self.owned.insert(name.clone(), owned);
    }

    /// Returns whether this entry owns a pool.
    pub(crate) fn owns(&self, name: &id::Pool) -> bool {
        self.owned.contains_key(name)
    }

    /// Gives up the ownership of a pool. Its waiting calls are answered with the new owner, so that
    /// their entries repeat them there.
    pub(crate) fn disown(&mut self, name: &id::Pool, view: id::View, owner: &id::Entry) {
        let Some(owned) = self.owned.remove(name) else { return };
        tracing::info!(pool = %name, waiting = owned.waiting.len(), "another entry now owns the pool");
        for waiting in owned.waiting.into_values() {
            send_reply(waiting.reply, Acquired::NotOwner { view, owner: Some(owner.clone()) });
        }
    }

    /// Returns the endpoints that left an owned pool recently.
    pub(crate) fn departed_of(&self, now: Millis, name: &id::Pool) -> Vec<Departure> {
        self.owned.get(name).map(|owned| owned.pool.departed(now)).unwrap_or_default()
    }

    /// Returns the names of the owned pools.
    pub(crate) fn names(&self) -> Vec<id::Pool> {
        self.owned.keys().cloned().collect()
    }

    /// Queues a call and returns its ticket. An attempt that already has a grant gets the same one
    /// again.
    pub(crate) fn acquire(
        &mut self,
        now: Millis,
        pool: &id::Pool,
        holder: id::Entry,
        request: Request,
        reply: oneshot::Sender<Acquired>,
    ) -> (Option<u64>, Vec<Effect>) {
        let Some(owned) = self.owned.get_mut(pool) else { return (None, Vec::new()) };
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        if let Some(grant) = owned.pool.reissue_grant(now, request.attempt) {
            owned.holders.insert(request.attempt, holder);
            // The grant is not released when this reply cannot be delivered: the reply to the first
            // call may have arrived.
            send_reply(reply, Acquired::Granted(grant));
            return (Some(ticket), Vec::new());
        }
        owned.waiting.insert(ticket, WaitingCall { holder, request: request.clone(), reply });
        let effects = owned.step(now, Event::Acquire { ticket, request });
        (Some(ticket), effects)
    }

    /// Cancels a waiting call.
    pub(crate) fn cancel(&mut self, now: Millis, pool: &id::Pool, ticket: u64) -> Vec<Effect> {
        let Some(owned) = self.owned.get_mut(pool) else { return Vec::new() };
        if owned.waiting.remove(&ticket).is_none() {
            return Vec::new();
        }
        owned.step(now, Event::Cancel { ticket })
    }

    /// Applies an event to one pool.
    pub(crate) fn step(&mut self, now: Millis, pool: &id::Pool, event: Event<'_>) -> Vec<Effect> {
        self.owned.get_mut(pool).map(|owned| owned.step(now, event)).unwrap_or_default()
    }

    /// Applies an event to every pool.
    pub(crate) fn step_all<'a>(
        &mut self,
        now: Millis,
        event: impl Fn() -> Event<'a>,
    ) -> Vec<Effect> {
        self.owned.values_mut().flat_map(|owned| owned.step(now, event())).collect()
    }

    /// Releases the grants held by an entry that left the view or restarted.
    pub(crate) fn release_held_by(&mut self, now: Millis, holder: &id::Entry) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (name, owned) in &mut self.owned {
            let lost: Vec<_> = owned
                .holders
                .iter()
                .filter(|(_, other)| *other == holder)
                .map(|(attempt, _)| *attempt)
                .collect();
            for attempt in lost {
                let release = abandoned_release(name.clone(), holder.clone(), attempt);
                effects.extend(owned.step(now, Event::Release(release)));
            }
        }
        effects
    }

    /// Returns the evidence about the versions of running rollouts since the last call.
    pub(crate) fn evidence(&mut self) -> Vec<Evidence> {
        self.owned.values_mut().flat_map(|owned| owned.pool.evidence()).collect()
    }

    /// Returns the quarantine tables of the owned pools: requests suspected of crashing endpoints.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = &quarantine::Table> {
        self.owned.values().map(|owned| owned.pool.suspect_table())
    }

    /// Returns what the owned pools know of parts of prompts that crash endpoints.
    pub(crate) fn report_poison(
        &mut self,
        now: Millis,
        limit: usize,
    ) -> Vec<(Vec<Crash>, Vec<Poison>)> {
        self.owned.values_mut().map(|owned| owned.pool.report_poison(now, limit)).collect()
    }

    /// Returns the endpoints of one owned pool.
    pub(crate) fn endpoints_of(&self, name: &id::Pool) -> Vec<Announcement> {
        let owned = self.owned.get(name);
        owned.map(|owned| owned.pool.endpoints().cloned().collect()).unwrap_or_default()
    }

    /// Returns the endpoints of the owned pools.
    pub(crate) fn endpoints(&self) -> Vec<Announcement> {
        self.owned.values().flat_map(|owned| owned.pool.endpoints().cloned()).collect()
    }
}

impl OwnedPool {
    fn step(&mut self, now: Millis, event: Event<'_>) -> Vec<Effect> {
        if let Event::Release(release) = &event {
            self.holders.remove(&release.attempt);
            notes::log_broken(self.pool.name(), release);
        }
        if let Event::Holdings(holdings) = &event {
            for running in &holdings.running {
                self.holders.insert(running.request.attempt, holdings.holder.clone());
            }
        }
        let orphaned = match &event {
            Event::Holdings(holdings) => self.orphaned(holdings),
            _ => Vec::new(),
        };
        let mut effects = Vec::new();
        let mut actions = self.pool.step(now, event);
        if !orphaned.is_empty() {
            tracing::info!(
                pool = %self.pool.name(),
                count = orphaned.len(),
                "releasing grants that their holder does not have"
            );
            actions.extend(self.pool.step(now, Event::Orphaned { attempts: orphaned }));
            let pool = &self.pool;
            self.holders.retain(|attempt, _| pool.has_grant(*attempt));
        }
        self.log_endpoint_count();
        self.log_version_stop();
        while !actions.is_empty() {
            let mut follow_up = Vec::new();
            for action in actions {
                self.apply(now, action, &mut follow_up, &mut effects);
            }
            actions = follow_up;
        }
        let pool = self.pool.name().clone();
        let notes = self.pool.take_notes().into_iter();
        effects.extend(notes.map(|note| Effect::Note { pool: pool.clone(), note }));
        effects
    }

    /// Returns the attempts that are counted for a holder although it neither runs them nor waits
    /// for their grants.
    fn orphaned(&self, holdings: &Holdings) -> Vec<id::Attempt> {
        let Some(asking) = &holdings.asking else { return Vec::new() };
        let running = holdings.running.iter().map(|running| running.request.attempt);
        let known: HashSet<_> = running.chain(asking.iter().copied()).collect();
        let of_holder = self.holders.iter().filter(|(_, holder)| **holder == holdings.holder);
        of_holder.map(|(attempt, _)| *attempt).filter(|attempt| !known.contains(attempt)).collect()
    }

    fn apply(
        &mut self,
        now: Millis,
        action: Action,
        follow_up: &mut Vec<Action>,
        effects: &mut Vec<Effect>,
    ) {
        match action {
            Action::Grant { ticket, grant } => self.grant(now, ticket, grant, follow_up),
            Action::Refuse { ticket, fault } => self.refuse(ticket, fault),
            Action::Discard { ticket } => drop(self.waiting.remove(&ticket)),
            Action::Preempt { attempt, .. } => {
                if let Some(holder) = self.holders.get(&attempt).cloned() {
                    let pool = self.pool.name().clone();
                    effects.push(Effect::Preempt { pool, holder, attempt });
                }
            }
            Action::RequestBudget { organisation, used } => {
                let pool = self.pool.name().clone();
                effects.push(Effect::RequestSlice { pool, organisation, used });
            }
        }
    }

    /// Logs the number of endpoints when it has changed.
    fn log_endpoint_count(&mut self) {
        let count = self.pool.endpoints().count();
        if count != self.endpoints {
            let before = std::mem::replace(&mut self.endpoints, count);
            tracing::info!(pool = %self.pool.name(), count, before, "number of endpoints changed");
        }
    }

    /// Logs why the new version of a rollout was stopped, once for each stop.
    fn log_version_stop(&mut self) {
        let reason = self.pool.stop_reason();
        if let Some(reason) = reason.filter(|_| !self.is_stop_logged) {
            tracing::info!(pool = %self.pool.name(), reason, "new version stopped");
        }
        self.is_stop_logged = reason.is_some();
    }

    fn grant(&mut self, now: Millis, ticket: u64, grant: Grant, follow_up: &mut Vec<Action>) {
        let Some(waiting) = self.waiting.remove(&ticket) else { return };
        let attempt = waiting.request.attempt;
        self.holders.insert(attempt, waiting.holder.clone());
        let Err(Acquired::Granted(grant)) = waiting.reply.send(Acquired::Granted(grant)) else {
            return;
        };
        // The waiting call was dropped, so the grant is released.
        self.holders.remove(&attempt);
        let release = Release {
            endpoint: grant.endpoint,
            version: grant.version,
            route: waiting.request.route,
            grant: grant.grant,
            ..abandoned_release(grant.pool, grant.owner, attempt)
        };
        follow_up.extend(self.pool.step(now, Event::Release(release)));
    }

    fn refuse(&mut self, ticket: u64, fault: Fault) {
        if let Some(waiting) = self.waiting.remove(&ticket) {
            send_reply(waiting.reply, Acquired::Refused(fault));
        }
    }
}

/// Returns the release of a grant that was never used or whose holder no longer exists.
pub(crate) fn abandoned_release(pool: id::Pool, owner: id::Entry, attempt: id::Attempt) -> Release {
    Release {
        pool,
        owner,
        grant: id::Grant(0),
        attempt,
        endpoint: "".into(),
        route: "".into(),
        version: "".into(),
        report: Report {
            end: End::Abandoned,
            first_token: None,
            stream: Millis::ZERO,
            output_tokens: 0,
            prompt_tokens: 0,
        },
        answered: Vec::new(),
    }
}

fn send_reply(reply: oneshot::Sender<Acquired>, acquired: Acquired) {
    if reply.send(acquired).is_err() {
        tracing::debug!("waiting call was dropped before its reply");
    }
}
