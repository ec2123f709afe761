//! State that the control thread writes and the traffic threads read.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

use tokio::sync::watch;
use wasabi_protocol::{
    clock::{Clock, Millis},
    command::{Config, Duty, Entry},
    contract::{Contract, Target, Tier},
    endpoint,
    fault::{Fault, Kind},
    fingerprint, id,
};
use wasabi_routing::{notice, poison, rate};
use wasabi_settings::entry::Settings;

use crate::{
    buffer::Budget, durations::Durations, forward::site, metrics::Metrics, timing::Timing,
};

/// Time for which an entry serves after control or a majority of its peers last answered.
pub(crate) const SERVING_DURATION: Millis = Millis::from_secs(2);

/// Most other entries that a refusal names.
const NAMED_ENTRIES_MAX: usize = 3;

/// Fraction of a bounded drain, as a divisor, in which requests that a cut would lose are accepted on
/// their expected duration. Later ones must end by their deadline.
const TRUSTING_DIVISOR: u64 = 3;

/// Longest time for which such requests are accepted so, however long the drain is: by then callers
/// know of other entries.
const TRUSTING_TIME_MAX: Millis = Millis(2_500);

/// Longest time before the end of a bounded drain at which requests without a response get their final
/// one: long enough for it to reach the caller.
const FINAL_RESPONSE_TIME_MAX: Millis = Millis(250);

/// Fraction of a short drain that this time takes, as a divisor.
const FINAL_RESPONSE_DIVISOR: u64 = 24;

/// The configuration in force, with indexes of the callers' tokens and of the site.
#[derive(Debug, Default)]
pub(crate) struct InForce {
    /// The configuration.
    pub(crate) config: Config,
    /// The position of the contract for each token digest.
    tokens: HashMap<String, usize>,
    /// The models that the contracts name.
    models: HashSet<id::Backend>,
    /// The routes and keys of the site.
    pub(crate) site: Option<Arc<site::Index>>,
}

impl InForce {
    /// Returns the index of a configuration that follows `before`.
    pub(crate) fn new(config: Config, before: &Self) -> Self {
        let tokens = config
            .contracts
            .iter()
            .enumerate()
            .flat_map(|(index, contract)| {
                contract.token_digests.iter().map(move |digest| (digest.clone(), index))
            })
            .collect();
        let routes = config.contracts.iter().flat_map(|contract| &contract.routes);
        let models = routes.filter_map(|route| match &route.target {
            Target::Model { name } => Some(name.clone()),
            Target::Service { .. } => None,
        });
        let models = models.collect();
        let is_same = config.site == before.config.site;
        let site = match &before.site {
            Some(site) if is_same => Some(Arc::clone(site)),
            _ => config.site.as_ref().map(|site| Arc::new(site::Index::new(site))),
        };
        Self { config, tokens, models, site }
    }

    /// Returns whether a backend is a model, and not a plain service.
    pub(crate) fn is_model(&self, backend: &id::Backend) -> bool {
        let of_site = self.site.as_ref().and_then(|site| site.backend(backend.as_str()));
        of_site.is_some_and(|known| known.kind == endpoint::Kind::Model)
            || self.models.contains(backend)
    }

    /// Returns the contract that a bearer token belongs to.
    pub(crate) fn contract(&self, token: &str) -> Option<&Contract> {
        let index = *self.tokens.get(&fingerprint::token(token))?;
        self.config.contracts.get(index)
    }

    /// Returns the sum of the shares of all contracts.
    pub(crate) fn shares_total(&self) -> u64 {
        self.config.contracts.iter().map(|contract| u64::from(contract.share)).sum()
    }
}

/// Whether an entry depends on a control group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Contracts come from control.
    Controlled,
    /// Contracts come from a local file; at-most-once calls are refused.
    StandAlone,
}

/// State of one entry process.
#[derive(Debug)]
pub(crate) struct Shared {
    /// The entry as it started. [`Shared::checked_entry`] returns it with its current duty.
    pub(crate) entry: Entry,
    /// The settings.
    pub(crate) settings: Settings,
    /// Whether the entry depends on a control group.
    pub(crate) mode: Mode,
    /// The monotonic clock of the process.
    pub(crate) clock: Clock,
    /// The metrics.
    pub(crate) metrics: Metrics,
    /// The memory for answers that are buffered.
    pub(crate) buffers: Arc<Budget>,
    /// The memory for bodies of requests.
    pub(crate) bodies: Arc<Budget>,
    timing: RwLock<Timing>,
    in_force: RwLock<Arc<InForce>>,
    /// End of the time for which new work is accepted, on `clock`.
    serving_until: AtomicU64,
    draining: AtomicBool,
    /// When the last list that names this entry expires, on `clock`.
    listed_until: AtomicU64,
    /// The bound of a drain with one, once the drain has started.
    bounded_drain: watch::Sender<Option<BoundedDrain>>,
    durations: Mutex<Durations>,
    notices: Mutex<notice::Table>,
    rates: Mutex<rate::Table>,
    answers: Mutex<poison::Answers>,
    open: AtomicUsize,
    /// The serving entries that are live, including this one unless it drains.
    live: RwLock<Arc<[Entry]>>,
}

impl Shared {
    /// Returns the state of an entry that has no configuration and does not serve yet.
    pub(crate) fn new(
        entry: Entry,
        settings: Settings,
        timing: Timing,
        mode: Mode,
        metrics: Metrics,
    ) -> Self {
        Self {
            entry,
            settings,
            mode,
            clock: Clock::start(),
            metrics,
            buffers: Budget::of_answers(),
            bodies: Budget::of_requests(),
            timing: RwLock::new(timing),
            in_force: RwLock::default(),
            serving_until: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            listed_until: AtomicU64::new(0),
            bounded_drain: watch::Sender::default(),
            durations: Mutex::default(),
            notices: Mutex::default(),
            rates: Mutex::default(),
            answers: Mutex::default(),
            open: AtomicUsize::new(0),
            live: RwLock::new(Arc::new([])),
        }
    }

    /// Returns the time bounds in force.
    pub(crate) fn timing(&self) -> Timing {
        *self.timing.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the time bounds. They do not change a drain that has started.
    pub(crate) fn set_timing(&self, timing: Timing) {
        *self.timing.write().unwrap_or_else(PoisonError::into_inner) = timing;
    }

    /// Returns the configuration in force.
    pub(crate) fn in_force(&self) -> Arc<InForce> {
        Arc::clone(&self.in_force.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a configuration in force unless one with the same or a higher revision is, and
    /// returns whether it did.
    pub(crate) fn put_in_force(&self, config: &Config) -> bool {
        let mut current = self.in_force.write().unwrap_or_else(PoisonError::into_inner);
        if config.revision <= current.config.revision {
            return false;
        }
        *current = Arc::new(InForce::new(config.clone(), &current));
        self.metrics.revision.set(i64::try_from(config.revision.0).unwrap_or(i64::MAX));
        true
    }

    /// Extends the serving time to [`SERVING_DURATION`] after `heard`.
    pub(crate) fn extend_serving(&self, heard: Millis) {
        self.serving_until.fetch_max((heard + SERVING_DURATION).0, Ordering::AcqRel);
    }

    /// Checks whether the entry may accept new work now.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the entry is isolated, or drains and all lists that name it have
    /// expired.
    pub(crate) fn admit(&self) -> Result<(), Fault> {
        let now = self.clock.now();
        if self.is_draining() && Millis(self.listed_until.load(Ordering::Acquire)) < now {
            let message = "this entry is stopping; use another entry of the list";
            return Err(Fault::new(Kind::EntryDraining, message));
        }
        self.check_serving()
    }

    /// Checks whether control or a majority of the peers answered recently.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the entry is isolated.
    pub(crate) fn check_serving(&self) -> Result<(), Fault> {
        let now = self.clock.now();
        if self.serving_until.load(Ordering::Acquire) <= now.0 {
            let others = self.addresses_of_others(NAMED_ENTRIES_MAX);
            let message = format!(
                "this entry has no contact with control or a majority of entries; use another one: {}",
                others.join(", ")
            );
            return Err(Fault::new(Kind::EntryIsolated, message));
        }
        Ok(())
    }

    /// Returns the addresses for callers of some other serving entries.
    fn addresses_of_others(&self, count: usize) -> Vec<String> {
        let in_force = self.in_force();
        let others = in_force.config.view.entries.iter().filter(|entry| self.is_other(entry));
        let chosen = fastrand::choose_multiple(others, count);
        chosen.into_iter().map(|entry| entry.caller_address.clone()).collect()
    }

    fn is_other(&self, entry: &Entry) -> bool {
        entry.name != self.entry.name && entry.duty == Duty::Serving
    }

    /// Returns the other serving entries of the view.
    pub(crate) fn others(&self) -> Vec<Entry> {
        let in_force = self.in_force();
        let entries = in_force.config.view.entries.iter();
        entries.filter(|entry| self.is_other(entry)).cloned().collect()
    }

    /// Records that a caller got a list that names this entry.
    pub(crate) fn record_listing(&self) {
        let until = self.clock.now() + self.timing().list_lifetime;
        self.listed_until.fetch_max(until.0, Ordering::AcqRel);
    }

    /// Returns when the last list that names this entry expires.
    pub(crate) fn listed_until(&self) -> Millis {
        Millis(self.listed_until.load(Ordering::Acquire))
    }

    /// Starts draining. `unlisting_time` is the time within which the other entries stop listing this
    /// one.
    pub(crate) fn drain(&self, unlisting_time: Millis) {
        if !self.draining.swap(true, Ordering::AcqRel) {
            let (now, timing) = (self.clock.now(), self.timing());
            let until = now + unlisting_time + timing.list_lifetime;
            self.listed_until.fetch_max(until.0, Ordering::AcqRel);
            if let Some(bound) = timing.drain_bound {
                self.bounded_drain.send_replace(Some(BoundedDrain::new(now, bound)));
            }
        }
    }

    /// Returns how long a bounded drain was to last, once it has started.
    pub(crate) fn drain_bound(&self) -> Option<Millis> {
        self.bounded_drain.borrow().map(|drain| drain.bound)
    }

    /// Returns when a draining entry cuts its open requests, if it ever does.
    pub(crate) fn cuts_at(&self) -> Option<Millis> {
        self.bounded_drain.borrow().map(|drain| drain.cuts_at)
    }

    /// Checks whether a request of this route ends before a draining entry cuts it, based on recent
    /// durations and its deadline.
    ///
    /// # Errors
    ///
    /// Returns the refusal when it may not end in time.
    pub(crate) fn check_time_left(
        &self,
        route: &id::Route,
        deadline: Millis,
        at_cut: AtCut,
    ) -> Result<(), Fault> {
        let Some(drain) = *self.bounded_drain.borrow() else { return Ok(()) };
        let now = self.clock.now();
        let longest = || {
            let durations = self.durations.lock().unwrap_or_else(PoisonError::into_inner);
            durations.longest(now, route)
        };
        if drain.has_time_for(now, deadline, at_cut, longest) {
            return Ok(());
        }
        let message = "this entry would stop before the request ends; use another entry";
        Err(Fault::new(Kind::EntryDraining, message))
    }

    /// Resolves when every request without a response must get its final one, since a draining
    /// entry cuts its connections soon after. Never resolves when no drain has a bound.
    pub(crate) async fn until_final_responses(&self) {
        let mut drains = self.bounded_drain.subscribe();
        let drain = drains.wait_for(Option::is_some).await.map(|drain| *drain);
        let Ok(Some(drain)) = drain else { return std::future::pending().await };
        let left = drain.final_responses_at.since(self.clock.now());
        tokio::time::sleep(left.duration()).await;
    }

    /// Counts an answered request and records its duration.
    pub(crate) fn finished(&self, tier: Tier, route: &id::Route, arrived: Millis) {
        self.metrics.finished.get_or_create(&tier.into()).inc();
        let now = self.clock.now();
        let mut durations = self.durations.lock().unwrap_or_else(PoisonError::into_inner);
        durations.add(now, route, now.since(arrived));
    }

    /// Returns the rates that endpoints named, as far as this entry knows.
    pub(crate) fn rates(&self) -> MutexGuard<'_, rate::Table> {
        self.rates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the notices of endpoints to this entry.
    pub(crate) fn notices(&self) -> MutexGuard<'_, notice::Table> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the parts of prompts to which this entry received answers.
    pub(crate) fn answers(&self) -> MutexGuard<'_, poison::Answers> {
        self.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the entry drains.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns the entry with its current duty.
    pub(crate) fn checked_entry(&self) -> Entry {
        let duty = if self.is_draining() { Duty::Draining } else { Duty::Serving };
        Entry { duty, ..self.entry.clone() }
    }

    /// Returns the serving entries that are live.
    pub(crate) fn live(&self) -> Arc<[Entry]> {
        Arc::clone(&self.live.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sets the serving entries that are live.
    pub(crate) fn set_live(&self, live: Vec<Entry>) {
        *self.live.write().unwrap_or_else(PoisonError::into_inner) = live.into();
    }

    /// Counts an open request until the guard is dropped.
    pub(crate) fn open(self: &Arc<Self>) -> OpenRequest {
        self.open.fetch_add(1, Ordering::AcqRel);
        OpenRequest { shared: Arc::clone(self) }
    }

    /// Returns the number of open requests.
    pub(crate) fn open_count(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }
}

/// What the end of a bounded drain leaves of a request that still runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AtCut {
    /// A final response, after which its caller may send it again.
    Repeatable,
    /// A broken-off stream, or no outcome of a request that may run at most once.
    Lost,
}

/// A drain that cuts the requests which are open at its end.
#[derive(Debug, Clone, Copy)]
struct BoundedDrain {
    /// The time from its start to its end.
    bound: Millis,
    /// Until when expected durations suffice to accept a request that a cut would lose.
    trusts_until: Millis,
    /// When requests without a response get their final one.
    final_responses_at: Millis,
    cuts_at: Millis,
}

impl BoundedDrain {
    fn new(now: Millis, bound: Millis) -> Self {
        let trusting_time = Millis(bound.0 / TRUSTING_DIVISOR).min(TRUSTING_TIME_MAX);
        let final_time = FINAL_RESPONSE_TIME_MAX.min(Millis(bound.0 / FINAL_RESPONSE_DIVISOR));
        let cuts_at = now + bound;
        Self {
            bound,
            trusts_until: now + trusting_time,
            final_responses_at: cuts_at - final_time,
            cuts_at,
        }
    }

    /// Returns whether a request that starts now ends in time. `longest` returns the longest recent
    /// duration of its route.
    fn has_time_for(
        &self,
        now: Millis,
        deadline: Millis,
        at_cut: AtCut,
        longest: impl FnOnce() -> Option<Millis>,
    ) -> bool {
        let end = self.final_responses_at;
        if deadline <= end {
            return true;
        }
        if at_cut == AtCut::Lost && self.trusts_until < now {
            return false;
        }
        // A margin of half the duration, since the load may rise.
        longest().is_some_and(|took| now + took + Millis(took.0 / 2) <= end)
    }
}

/// An open request, counted for draining.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    shared: Arc<Shared>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.shared.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns a new attempt id. It is never 0, which stands for malformed text.
pub(crate) fn new_attempt() -> id::Attempt {
    id::Attempt(fastrand::u128(1..))
}
