//! The endpoints of a pool.

use std::collections::HashMap;

use wasabi_admission::bound::Bound;
use wasabi_protocol::{
    clock::Millis,
    contract::Tier,
    endpoint::{Announcement, Kind, SILENT_AFTER},
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

use super::versions::Offer;

/// Most endpoints of one pool.
const ENDPOINTS_MAX: usize = wasabi_routing::rendezvous::POOL_ENDPOINTS_MAX;

/// Time for which the name of an endpoint that left is remembered, in milliseconds.
///
/// Announcements that another entry relays may arrive after the leave; an endpoint announces
/// every second, so anything later than this was sent by a new process.
const LEFT_KEPT: Millis = Millis::from_secs(60);

/// Silence after which an endpoint is taken out that fell silent together with most others: the cause
/// may be the owner's own link.
const EXCUSED_AFTER: Millis = Millis(2 * SILENT_AFTER.0);

/// Time within which endpoints fall silent together: each announces itself every second.
const TOGETHER: Millis = Millis::from_secs(1);

/// Fewest endpoints whose common silence is put down to the owner's link. A few may well crash
/// together, as from one request that is tried again.
const TOGETHER_MIN: usize = 8;

/// Most remembered names of endpoints that left.
const LEFT_MAX: usize = 1_024;

/// Prompt tokens that one prefix block stands for, at four bytes a token.
const TOKENS_PER_BLOCK: u32 = PREFIX_BLOCK_BYTES as u32 / 4;

/// Prefill rate that is assumed before an endpoint or its kind has shown one, in tokens per
/// millisecond.
pub(super) const PREFILL_RATE_UNKNOWN: f64 = 4.0;

/// Rate that stands for an endpoint which reads no prompt. With the rate of an engine, a plain
/// service was taken to serve 20 calls a second whatever its concurrency.
const PREFILL_RATE_PLAIN: f64 = 1e6;

/// Time per token of a short stream relative to the endpoint's mean, when the endpoint reads a long
/// prompt beside it.
const PACE_MARGIN: f64 = 1.75;

/// Time after which an endpoint's pace is tried again although its last streams were slow.
///
/// Without a try it would show nothing more, and so never get requests with tight targets again.
const PACE_KEPT: Millis = Millis::from_secs(5);

/// One endpoint as its owner sees it.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) announcement: Announcement,
    pub(super) heard: Millis,
    pub(super) bound: Bound,
    pub(super) cache: Cache,
    /// Attempts that run on it, exact.
    pub(super) running: Vec<id::Attempt>,
    /// Tier-0 attempts that run on it.
    pub(super) urgent: u32,
    /// A connection to it failed since its last announcement.
    pub(super) unreachable: bool,
    /// It fell silent together with most others, so its silence is no sign of a crash.
    pub(super) excused: bool,
    /// When its last batch was counted as crashed.
    pub(super) crashed: Option<Millis>,
    /// When it should have read all prompts that it was given.
    pub(super) prefilled_at: Millis,
    /// How its version may be used, copied so that a decision compares no names.
    pub(super) offer: Offer,
    /// A copy of what the pace board says of it, so that a decision reads no map.
    pub(super) prefill_rate: f64,
    /// When its last stream ended.
    pub(super) sampled: Millis,
    /// Mean time per output token in milliseconds; 0 when unknown.
    pub(super) per_token_ms: f64,
    pub(super) standing: Standing,
    pub(super) probe_due: bool,
}

impl Slot {
    fn new(now: Millis, announcement: Announcement) -> Self {
        let bound = Bound::new(announcement.concurrency);
        let prefill_rate = assumed_rate(&announcement);
        Self {
            announcement,
            heard: now,
            bound,
            cache: Cache::default(),
            running: Vec::new(),
            urgent: 0,
            unreachable: false,
            excused: false,
            crashed: None,
            prefilled_at: now,
            offer: Offer::Never,
            prefill_rate,
            sampled: now,
            per_token_ms: 0.0,
            standing: Standing::Normal,
            probe_due: false,
        }
    }

    pub(super) fn name(&self) -> &id::Endpoint {
        &self.announcement.name
    }

    /// Returns whether it was silent for so long that it counts as gone.
    fn is_gone(&self, now: Millis) -> bool {
        let after = if self.excused { EXCUSED_AFTER } else { SILENT_AFTER };
        after <= now.since(self.heard)
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns how many requests may run on it; half of that while grants of an earlier owner may
    /// be unknown.
    pub(super) fn limit(&self, half: bool) -> u32 {
        let limit = match self.standing {
            Standing::Normal => self.bound.limit(),
            Standing::Probation => 1,
        };
        if half { (limit / 2).max(1) } else { limit }
    }

    /// Returns what is known of it for a request.
    pub(super) fn candidate(&self, now: Millis, request: &Request, half: bool) -> Candidate {
        let ahead_ms = self.prefilled_at.since(now).0 as f64;
        Candidate {
            in_flight: self.in_flight(),
            bound: self.limit(half),
            prefill_waiting: (ahead_ms * self.prefill_rate) as u32,
            prefill_rate: self.prefill_rate,
            cached: self.cached_tokens(now, request),
        }
    }

    /// Returns whether its streams keep the request's time between tokens also while it reads long
    /// prompts. An endpoint that showed nothing for a while may be tried.
    pub(super) fn keeps_pace(&self, now: Millis, request: &Request) -> bool {
        let is_stale = PACE_KEPT <= now.since(self.sampled) && !is_careful(request);
        is_stale || PACE_MARGIN * self.per_token_ms <= request.between_tokens.0 as f64
    }

    /// Copies what the pace board says.
    pub(super) fn refresh(&mut self, now: Millis, board: &Tracker) {
        let name = &self.announcement.name;
        let learned = board.prefill_rate(name);
        self.prefill_rate = learned.unwrap_or_else(|| assumed_rate(&self.announcement));
        self.per_token_ms = board.per_token_ms(name).unwrap_or(0.0);
        self.standing = board.standing(name);
        self.probe_due = self.standing == Standing::Probation && board.probe_due(now, name);
    }

    fn cached_tokens(&self, now: Millis, request: &Request) -> u32 {
        let prefix = request.prefix.as_slice();
        // Most endpoints do not hold the first block, which one look-up shows.
        let Some(first) = prefix.get(..1) else { return 0 };
        if self.cache.cached_blocks(now, first) == 0 {
            return 0;
        }
        self.cache.cached_tokens(now, prefix, TOKENS_PER_BLOCK).min(request.prompt_tokens)
    }
}

/// Returns the prefill rate that is assumed before an endpoint has shown one.
fn assumed_rate(announcement: &Announcement) -> f64 {
    match announcement.kind {
        Kind::Model => PREFILL_RATE_UNKNOWN,
        Kind::Service => PREFILL_RATE_PLAIN,
    }
}

/// Returns whether a request may only meet endpoints that are not in doubt: it is urgent, or its
/// call may run once only.
pub(super) fn is_careful(request: &Request) -> bool {
    request.tier == Tier::TOP || !request.idempotent
}

/// The endpoints of a pool, and the names of those that left.
#[derive(Debug, Default)]
pub(super) struct Table {
    pub(super) slots: Vec<Slot>,
    left: HashMap<id::Endpoint, Left>,
}

#[derive(Debug)]
struct Left {
    /// Processes up to this start number left; `None` when the leave came first.
    incarnation: Option<u64>,
    /// Time up to which it is remembered.
    until: Millis,
}

/// What an announcement meant.
pub(super) enum Announced {
    /// The endpoint is new.
    Joined,
    /// It renewed its announcement.
    Renewed,
    /// It is a new process under the same name; this is the old one.
    Restarted(Box<Slot>),
    /// It left before, or the pool is full.
    Ignored,
}

impl Table {
    pub(super) fn find(&self, name: &id::Endpoint) -> Option<usize> {
        self.slots.iter().position(|slot| slot.announcement.name == *name)
    }

    pub(super) fn get_mut(&mut self, name: &id::Endpoint) -> Option<&mut Slot> {
        self.slots.iter_mut().find(|slot| slot.announcement.name == *name)
    }

    pub(super) fn announce(&mut self, now: Millis, announcement: Announcement) -> Announced {
        if let Some(left) = self.left.get(&announcement.name) {
            let is_old = left.incarnation.is_none_or(|last| announcement.incarnation <= last);
            if is_old && now < left.until {
                return Announced::Ignored;
            }
        }
        let Some(slot) = self.get_mut(&announcement.name) else {
            if ENDPOINTS_MAX <= self.slots.len() {
                return Announced::Ignored;
            }
            self.slots.push(Slot::new(now, announcement));
            return Announced::Joined;
        };
        if announcement.incarnation < slot.announcement.incarnation {
            return Announced::Ignored;
        }
        if slot.announcement.incarnation < announcement.incarnation {
            let old = std::mem::replace(slot, Slot::new(now, announcement));
            return Announced::Restarted(Box::new(old));
        }
        slot.heard = now;
        slot.bound.set_announced(announcement.concurrency);
        slot.announcement = announcement;
        slot.unreachable = false;
        slot.excused = false;
        Announced::Renewed
    }

    /// Takes an endpoint that leaves out of the table. Its running attempts go on.
    pub(super) fn leave(&mut self, now: Millis, name: &id::Endpoint) {
        let index = self.find(name);
        let slot = index.map(|index| self.slots.swap_remove(index));
        let incarnation = slot.map(|slot| slot.announcement.incarnation);
        self.remember(name, Left { incarnation, until: now + LEFT_KEPT });
    }

    /// Takes an endpoint that left under an earlier owner out of the table. Returns whether it was
    /// there; a later process than the one that left stays.
    pub(super) fn left(&mut self, now: Millis, left: &rpc::Left) -> bool {
        let until = now + (LEFT_KEPT - left.age);
        if until <= now {
            return false;
        }
        let index = self.find(&left.endpoint);
        let held = index.map(|index| self.slots[index].announcement.incarnation);
        if held.is_some_and(|held| left.incarnation.is_some_and(|last| last < held)) {
            return false;
        }
        if let Some(index) = index {
            self.slots.swap_remove(index);
        }
        let known = self.left.get(&left.endpoint);
        let (earlier, kept) = known.map_or((None, until), |known| (known.incarnation, known.until));
        let incarnation = held.max(left.incarnation).max(earlier);
        self.remember(&left.endpoint, Left { incarnation, until: until.max(kept) });
        index.is_some()
    }

    /// Returns the endpoints that left lately.
    pub(super) fn departed(&self, now: Millis) -> Vec<rpc::Left> {
        let left = self.left.iter().filter(|(_, left)| now < left.until);
        left.map(|(endpoint, left)| rpc::Left {
            endpoint: endpoint.clone(),
            incarnation: left.incarnation,
            age: LEFT_KEPT - left.until.since(now),
        })
        .collect()
    }

    fn remember(&mut self, name: &id::Endpoint, left: Left) {
        if self.left.len() < LEFT_MAX || self.left.contains_key(name) {
            self.left.insert(name.clone(), left);
        }
    }

    /// Takes the endpoints that were silent for too long out of the table.
    pub(super) fn expire(&mut self, now: Millis) -> Vec<Slot> {
        self.left.retain(|_, left| now < left.until);
        self.excuse_silence(now);
        let gone: Vec<_> = self.slots.extract_if(.., |slot| slot.is_gone(now)).collect();
        let mut departed = Vec::new();
        for slot in &gone {
            // The same process may come back; an announcement of an earlier one is a stray.
            let earlier = slot.announcement.incarnation.saturating_sub(1);
            let known = self.left.get(slot.name()).and_then(|left| left.incarnation);
            let incarnation = Some(known.map_or(earlier, |known| known.max(earlier)));
            departed.push((slot.name().clone(), incarnation));
        }
        for (name, incarnation) in departed {
            self.remember(&name, Left { incarnation, until: now + LEFT_KEPT });
        }
        gone
    }

    /// Excuses the endpoints that fell silent within a second, if they are more than half of the pool.
    fn excuse_silence(&mut self, now: Millis) {
        let is_silent = |slot: &Slot| SILENT_AFTER <= now.since(slot.heard) + TOGETHER;
        let silent = self.slots.iter().filter(|slot| is_silent(slot)).count();
        if silent < TOGETHER_MIN || silent * 2 <= self.slots.len() {
            return;
        }
        for slot in self.slots.iter_mut().filter(|slot| is_silent(slot)) {
            slot.excused = true;
        }
    }

    /// Returns how many requests all endpoints may run at one time.
    pub(super) fn capacity(&self) -> u32 {
        self.slots.iter().map(|slot| slot.limit(false)).sum()
    }
}
