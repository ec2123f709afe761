//! The endpoints of a pool and their state.

use std::collections::HashMap;

use wasabi_admission::bound::Bound;
use wasabi_protocol::{
    clock::Millis,
    contract::Tier,
    endpoint::{ANNOUNCE_TIMEOUT, Announcement, Kind},
    fingerprint::PREFIX_BLOCK_BYTES,
    id,
    request::Request,
    rpc,
};
use wasabi_routing::{
    affinity::Cache,
    choice::Candidate,
    pace::{Standing, Tracker},
};

use super::versions::Eligibility;

/// Maximum number of endpoints in a pool.
const ENDPOINTS_MAX: usize = wasabi_routing::rendezvous::POOL_ENDPOINTS_MAX;

/// Time for which a departed endpoint is remembered.
///
/// Announcements relayed by another entry may arrive after the departure. Endpoints announce every
/// second, so an announcement that arrives later than this comes from a new process.
const DEPARTED_RETENTION: Millis = Millis::from_secs(60);

/// Silence after which an endpoint expires if most others fell silent with it, since the cause may
/// then be the owner's own link.
const COMMON_SILENCE_TIMEOUT: Millis = Millis(2 * ANNOUNCE_TIMEOUT.0);

/// Window within which silences count as simultaneous. Each endpoint announces every second.
const COMMON_SILENCE_WINDOW: Millis = Millis::from_secs(1);

/// Minimum number of simultaneously silent endpoints that is attributed to the owner's link.
///
/// A smaller number may well have crashed together, for example because of one retried request.
const COMMON_SILENCE_ENDPOINTS_MIN: usize = 8;

/// Maximum number of departed endpoints that are remembered.
const DEPARTED_MAX: usize = 1_024;

/// Prompt tokens per prefix block, at four bytes per token.
const TOKENS_PER_BLOCK: u32 = PREFIX_BLOCK_BYTES as u32 / 4;

/// Prefill rate that is assumed until one has been measured for the endpoint or its kind.
pub(super) const DEFAULT_PREFILL_TOKENS_PER_MS: f64 = 4.0;

/// Prefill rate of a service, which has no prefill.
///
/// With the default rate of a model, a service was predicted to serve only 20 calls per second,
/// whatever its concurrency.
const SERVICE_PREFILL_TOKENS_PER_MS: f64 = 1e6;

/// Time per token of a short stream relative to the endpoint's mean while the endpoint also
/// prefills a long prompt.
const PREFILL_SLOWDOWN: f64 = 1.75;

/// Age at which the measured time per token of an endpoint expires.
///
/// A slow endpoint gets no requests with tight targets. Without expiry it would provide no further
/// samples and never get such requests again.
const TOKEN_TIME_TTL: Millis = Millis::from_secs(5);

/// The owner's view of one endpoint.
#[derive(Debug)]
pub(super) struct EndpointState {
    pub(super) announcement: Announcement,
    pub(super) last_heard: Millis,
    pub(super) bound: Bound,
    /// Grants per request that it processes, at least 1: the other grants are on their way.
    pub(super) transit_factor: f64,
    pub(super) cache: Cache,
    /// Attempts that run on it.
    pub(super) running: Vec<id::Attempt>,
    /// Number of tier-0 attempts among them.
    pub(super) tier0_running: u32,
    /// A connection to it failed since its last announcement.
    pub(super) unreachable: bool,
    /// It fell silent together with most others, so its silence is not attributed to a crash.
    pub(super) common_silence: bool,
    /// When a broken connection was last counted as a crash.
    pub(super) last_crash: Option<Millis>,
    /// When the prefill of all its assigned prompts should be complete.
    pub(super) prefill_done_at: Millis,
    /// Eligibility of its version, cached so that decisions compare no version names.
    pub(super) eligibility: Eligibility,
    /// Prefill rate in tokens per millisecond, cached from the pace tracker so that decisions need no
    /// map look-ups.
    pub(super) prefill_rate: f64,
    /// When its pace was last sampled.
    pub(super) last_sampled: Millis,
    /// Mean time per output token in milliseconds; 0 when unknown.
    pub(super) per_token_ms: f64,
    pub(super) standing: Standing,
    pub(super) probe_due: bool,
}

impl EndpointState {
    fn new(now: Millis, announcement: Announcement) -> Self {
        let bound = Bound::new(announcement.concurrency);
        let prefill_rate = default_prefill_rate(&announcement);
        Self {
            announcement,
            last_heard: now,
            bound,
            transit_factor: 1.0,
            cache: Cache::default(),
            running: Vec::new(),
            tier0_running: 0,
            unreachable: false,
            common_silence: false,
            last_crash: None,
            prefill_done_at: now,
            eligibility: Eligibility::Excluded,
            prefill_rate,
            last_sampled: now,
            per_token_ms: 0.0,
            standing: Standing::Normal,
            probe_due: false,
        }
    }

    pub(super) fn name(&self) -> &id::Endpoint {
        &self.announcement.name
    }

    /// Returns whether its silence has lasted long enough for it to expire.
    fn has_expired(&self, now: Millis) -> bool {
        let after = if self.common_silence { COMMON_SILENCE_TIMEOUT } else { ANNOUNCE_TIMEOUT };
        after <= now.since(self.last_heard)
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns for how long it accepts no requests from the holder of a request that has been queued
    /// for `queued`, if at all.
    pub(super) fn closed_for(&self, request: &Request, queued: Millis) -> Option<Millis> {
        let left = request.closed_for(self.name(), self.announcement.incarnation)? - queued;
        (left != Millis::ZERO).then_some(left)
    }

    /// Returns how many grants for it may be held. The number is halved while grants of an earlier
    /// owner may still be unreported.
    pub(super) fn limit(&self, halve_limits: bool) -> u32 {
        let limit = match self.standing {
            Standing::Normal => (f64::from(self.bound.limit()) * self.transit_factor) as u32,
            Standing::Probation => 1,
        };
        if halve_limits { (limit / 2).max(1) } else { limit }
    }

    /// Returns it as a candidate for a request.
    pub(super) fn candidate(
        &self,
        now: Millis,
        request: &Request,
        halve_limits: bool,
    ) -> Candidate {
        let ahead_ms = self.prefill_done_at.since(now).0 as f64;
        Candidate {
            in_flight: self.in_flight(),
            bound: self.limit(halve_limits),
            prefill_waiting: (ahead_ms * self.prefill_rate) as u32,
            prefill_rate: self.prefill_rate,
            cached: self.cached_tokens(now, request),
        }
    }

    /// Returns whether its streams meet the request's time between tokens even during the prefill
    /// of long prompts. An endpoint without a recent sample may be tried again.
    pub(super) fn meets_token_time(&self, now: Millis, request: &Request) -> bool {
        let is_stale =
            TOKEN_TIME_TTL <= now.since(self.last_sampled) && !needs_healthy_endpoint(request);
        is_stale || PREFILL_SLOWDOWN * self.per_token_ms <= request.between_tokens.0 as f64
    }

    /// Updates the cached values from the pace tracker.
    pub(super) fn refresh_pace(&mut self, now: Millis, pace_tracker: &Tracker) {
        let name = &self.announcement.name;
        let learned = pace_tracker.prefill_rate(name);
        self.prefill_rate = learned.unwrap_or_else(|| default_prefill_rate(&self.announcement));
        self.per_token_ms = pace_tracker.per_token_ms(name).unwrap_or(0.0);
        self.standing = pace_tracker.standing(name);
        self.probe_due = self.standing == Standing::Probation && pace_tracker.probe_due(now, name);
    }

    fn cached_tokens(&self, now: Millis, request: &Request) -> u32 {
        let prefix = request.prefix.as_slice();
        // Most endpoints do not hold the first block, so one look-up settles most cases.
        let Some(first) = prefix.get(..1) else { return 0 };
        if self.cache.cached_blocks(now, first) == 0 {
            return 0;
        }
        self.cache.cached_tokens(now, prefix, TOKENS_PER_BLOCK).min(request.prompt_tokens)
    }
}

/// Returns the prefill rate that is assumed until one has been measured.
fn default_prefill_rate(announcement: &Announcement) -> f64 {
    match announcement.kind {
        Kind::Model => DEFAULT_PREFILL_TOKENS_PER_MS,
        Kind::Service => SERVICE_PREFILL_TOKENS_PER_MS,
    }
}

/// Returns whether a request should only use healthy endpoints, because it is of tier 0 or not
/// idempotent.
pub(super) fn needs_healthy_endpoint(request: &Request) -> bool {
    request.tier == Tier::TOP || !request.idempotent
}

/// The current endpoints of a pool and the recently departed ones.
#[derive(Debug, Default)]
pub(super) struct Endpoints {
    pub(super) list: Vec<EndpointState>,
    departures: HashMap<id::Endpoint, Departure>,
}

#[derive(Debug)]
struct Departure {
    /// Highest incarnation that left; `None` if the endpoint left before any announcement was seen.
    incarnation: Option<u64>,
    /// Highest incarnation that was in the pool. One that fell silent may return, but not once it has
    /// left.
    seen: Option<u64>,
    /// When the departure is forgotten.
    until: Millis,
}

/// The effect of an announcement.
pub(super) enum Announced {
    /// The endpoint is new.
    Joined,
    /// The endpoint renewed its announcement.
    Renewed,
    /// A new process announced itself under the same name; contains the state of the old one.
    Restarted(Box<EndpointState>),
    /// The announcement is outdated, or the pool is full.
    Ignored,
}

impl Endpoints {
    pub(super) fn find(&self, name: &id::Endpoint) -> Option<usize> {
        self.list.iter().position(|endpoint| endpoint.announcement.name == *name)
    }

    pub(super) fn get_mut(&mut self, name: &id::Endpoint) -> Option<&mut EndpointState> {
        self.list.iter_mut().find(|endpoint| endpoint.announcement.name == *name)
    }

    pub(super) fn announce(&mut self, now: Millis, announcement: Announcement) -> Announced {
        if let Some(departure) = self.departures.get(&announcement.name) {
            let is_old = departure.incarnation.is_none_or(|last| announcement.incarnation <= last);
            if is_old && now < departure.until {
                return Announced::Ignored;
            }
        }
        let Some(endpoint) = self.get_mut(&announcement.name) else {
            if ENDPOINTS_MAX <= self.list.len() {
                return Announced::Ignored;
            }
            self.list.push(EndpointState::new(now, announcement));
            return Announced::Joined;
        };
        if announcement.incarnation < endpoint.announcement.incarnation {
            return Announced::Ignored;
        }
        if endpoint.announcement.incarnation < announcement.incarnation {
            let old = std::mem::replace(endpoint, EndpointState::new(now, announcement));
            return Announced::Restarted(Box::new(old));
        }
        endpoint.last_heard = now;
        endpoint.bound.set_announced(announcement.concurrency);
        endpoint.announcement = announcement;
        endpoint.unreachable = false;
        endpoint.common_silence = false;
        Announced::Renewed
    }

    /// Removes an endpoint that leaves. Its running attempts continue.
    ///
    /// An endpoint may say so more than once: when it drains, and when it ends.
    pub(super) fn leave(&mut self, now: Millis, name: &id::Endpoint) {
        let index = self.find(name);
        let endpoint = index.map(|index| self.list.swap_remove(index));
        let left = endpoint.map(|endpoint| endpoint.announcement.incarnation);
        let earlier = self.departures.get(name);
        let earlier = earlier.and_then(|departure| departure.seen.max(departure.incarnation));
        let incarnation = left.max(earlier);
        let until = now + DEPARTED_RETENTION;
        self.remember_departure(name, Departure { incarnation, seen: incarnation, until });
    }

    /// Removes an endpoint that left under an earlier owner, unless a newer process has replaced
    /// it. Returns whether an endpoint was removed.
    pub(super) fn apply_departure(&mut self, now: Millis, departure: &rpc::Departure) -> bool {
        let until = now + (DEPARTED_RETENTION - departure.age);
        if until <= now {
            return false;
        }
        let index = self.find(&departure.endpoint);
        let held = index.map(|index| self.list[index].announcement.incarnation);
        if held.is_some_and(|held| departure.incarnation.is_some_and(|last| last < held)) {
            return false;
        }
        if let Some(index) = index {
            self.list.swap_remove(index);
        }
        let known = self.departures.get(&departure.endpoint);
        let earlier = known.and_then(|known| known.incarnation);
        let seen = known.and_then(|known| known.seen);
        let until = known.map_or(until, |known| until.max(known.until));
        let incarnation = held.max(departure.incarnation).max(earlier);
        let departed = Departure { incarnation, seen: seen.max(incarnation), until };
        self.remember_departure(&departure.endpoint, departed);
        index.is_some()
    }

    /// Returns the recently departed endpoints.
    pub(super) fn departed(&self, now: Millis) -> Vec<rpc::Departure> {
        let recent = self.departures.iter().filter(|(_, departure)| now < departure.until);
        recent
            .map(|(endpoint, departure)| rpc::Departure {
                endpoint: endpoint.clone(),
                incarnation: departure.incarnation,
                age: DEPARTED_RETENTION - departure.until.since(now),
            })
            .collect()
    }

    fn remember_departure(&mut self, name: &id::Endpoint, departure: Departure) {
        if self.departures.len() < DEPARTED_MAX || self.departures.contains_key(name) {
            self.departures.insert(name.clone(), departure);
        }
    }

    /// Removes and returns the endpoints that were silent for too long.
    pub(super) fn expire(&mut self, now: Millis) -> Vec<EndpointState> {
        self.departures.retain(|_, departure| now < departure.until);
        self.mark_common_silence(now);
        let gone: Vec<_> = self.list.extract_if(.., |endpoint| endpoint.has_expired(now)).collect();
        let mut departed = Vec::new();
        for endpoint in &gone {
            // The same process may return, but announcements of earlier ones are outdated.
            let earlier = endpoint.announcement.incarnation.saturating_sub(1);
            let known =
                self.departures.get(endpoint.name()).and_then(|departure| departure.incarnation);
            let incarnation = Some(known.map_or(earlier, |known| known.max(earlier)));
            let seen = Some(endpoint.announcement.incarnation);
            let until = now + DEPARTED_RETENTION;
            departed.push((endpoint.name().clone(), Departure { incarnation, seen, until }));
        }
        for (name, departure) in departed {
            self.remember_departure(&name, departure);
        }
        gone
    }

    /// Marks endpoints that fell silent within a second, if they are more than half of the pool.
    fn mark_common_silence(&mut self, now: Millis) {
        let is_silent = |endpoint: &EndpointState| {
            ANNOUNCE_TIMEOUT <= now.since(endpoint.last_heard) + COMMON_SILENCE_WINDOW
        };
        let silent = self.list.iter().filter(|endpoint| is_silent(endpoint)).count();
        if silent < COMMON_SILENCE_ENDPOINTS_MIN || silent * 2 <= self.list.len() {
            return;
        }
        for endpoint in self.list.iter_mut().filter(|endpoint| is_silent(endpoint)) {
            endpoint.common_silence = true;
        }
    }

    /// Returns how many requests all endpoints together may run at one time.
    pub(super) fn capacity(&self) -> u32 {
        self.list.iter().map(|endpoint| endpoint.limit(false)).sum()
    }
}
