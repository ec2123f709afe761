//! The request queue of a pool: strict priority between tiers, weighted fair queueing between
//! organisations, earliest deadline first within an organisation.
//!
//! Requests that can no longer meet their first-token target are moved behind the other requests of
//! their organisation. Under overload, earliest deadline first would otherwise serve each request
//! just after its target has passed.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use wasabi_protocol::{clock::Millis, contract::TIERS, contract::Tier, id};

/// Fixed-point scale of virtual time, so that small requests with large shares still advance it.
const VIRTUAL_SCALE: u128 = 1 << 20;

/// Maximum number of flows kept in one tier for organisations without waiting requests.
///
/// The flows closest to the current virtual time have the least effect and are dropped first.
const IDLE_FLOWS_MAX: usize = 1_024;

/// A waiting request, as the queue sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Identifies the request in this queue.
    pub ticket: u64,
    /// The organisation whose share is charged.
    pub organisation: id::Organisation,
    /// The urgency tier.
    pub tier: Tier,
    /// Weight of the organisation's share within the tier.
    pub share: u32,
    /// Estimated work in tokens.
    pub tokens: u64,
    /// When the request first arrived at any entry.
    pub arrived: Millis,
    /// Latest start that can still meet the first-token target.
    pub start_by: Millis,
    /// Latest start with which the request can still end before its deadline.
    pub expires: Millis,
    /// When the answer is of no more use to the caller.
    pub deadline: Millis,
}

/// The result of [`Queue::push`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pushed {
    /// The request was queued.
    Queued,
    /// The request was queued, and the request with this ticket was shed for it.
    Displaced(u64),
    /// The request was not queued: the queue is full of requests that are at least as urgent.
    Refused,
}

/// The waiting requests of one pool, at most `capacity` of them.
#[derive(Debug)]
pub struct Queue {
    capacity: usize,
    tiers: [TierQueue; TIERS],
    positions: HashMap<u64, Position>,
    expiry: BTreeSet<(Millis, u64)>,
    sequence: u64,
}

#[derive(Debug, Default)]
struct TierQueue {
    flows: HashMap<id::Organisation, Flow>,
    /// Flows with waiting requests, by virtual start time.
    order: BTreeSet<(u128, id::Organisation)>,
    /// Flows without waiting requests whose virtual start is still ahead of virtual time.
    idle: BTreeSet<(u128, id::Organisation)>,
    due: BTreeSet<(Millis, u64)>,
    arrivals: BTreeSet<(Millis, u64)>,
    virtual_now: u128,
    len: usize,
}

#[derive(Debug)]
struct Flow {
    virtual_start: u128,
    share: u32,
    backlog_tokens: u64,
    /// Requests that can still meet their first-token target, by expiry, then by arrival.
    on_time: BTreeMap<(Millis, u64), Item>,
    /// Requests that can no longer meet it, in the same order.
    late: BTreeMap<(Millis, u64), Item>,
    /// Expiry times by arrival, for shedding the newest request.
    expiry_by_arrival: BTreeMap<u64, Millis>,
}

#[derive(Debug)]
struct Position {
    tier: Tier,
    organisation: id::Organisation,
    expires: Millis,
    sequence: u64,
}

impl Queue {
    /// Returns an empty queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            tiers: Default::default(),
            positions: HashMap::new(),
            expiry: BTreeSet::new(),
            sequence: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the number of waiting requests of a tier.
    pub fn waiting(&self, tier: Tier) -> usize {
        self.tiers[tier.index()].len
    }

    /// Returns the number of share accounts, one per organisation and tier.
    pub fn account_count(&self) -> usize {
        self.tiers.iter().map(|queue| queue.flows.len()).sum()
    }

    /// Adds a request. When the queue is full, sheds a request of the least urgent tier.
    ///
    /// The shed request is the newest one of the organisation with the largest backlog relative to
    /// its share, so that a burst of one organisation does not displace the others.
    pub fn push(&mut self, item: Item) -> Pushed {
        if self.positions.contains_key(&item.ticket) {
            return Pushed::Refused;
        }
        if self.positions.len() < self.capacity {
            self.insert(item);
            return Pushed::Queued;
        }
        let tier = item.tier;
        let ticket = item.ticket;
        let Some(lowest) = Tier::all().rev().find(|tier| 0 < self.waiting(*tier)) else {
            return Pushed::Refused;
        };
        if lowest < tier {
            return Pushed::Refused;
        }
        self.insert(item);
        let Some(shed) = self.tiers[lowest.index()].newest_of_largest_backlog() else {
            return Pushed::Queued;
        };
        self.remove(shed);
        if shed == ticket { Pushed::Refused } else { Pushed::Displaced(shed) }
    }

    /// Removes a request without charging its organisation's share.
    pub fn remove(&mut self, ticket: u64) -> Option<Item> {
        let position = self.positions.remove(&ticket)?;
        self.expiry.remove(&(position.expires, ticket));
        self.tiers[position.tier.index()].remove(&position)
    }

    /// Removes a request that starts and charges its organisation's share.
    pub fn start(&mut self, ticket: u64) -> Option<Item> {
        let item = self.remove(ticket)?;
        self.tiers[item.tier.index()].charge(&item);
        Some(item)
    }

    /// Removes and returns the requests that can no longer end before their deadline.
    pub fn expire(&mut self, now: Millis) -> Vec<Item> {
        let mut expired = Vec::new();
        while let Some((expires, ticket)) = self.expiry.first().copied() {
            if now < expires {
                break;
            }
            expired.extend(self.remove(ticket));
        }
        expired
    }

    /// Moves the requests that can no longer meet their first-token target behind the others and
    /// returns their tickets.
    ///
    /// In a tier that already has late requests, those that would become late within `lead` count as
    /// late too. Such a tier is overloaded, and each of its requests would otherwise start at the
    /// last moment.
    pub fn mark_late(&mut self, now: Millis, lead: Millis) -> Vec<u64> {
        let mut late = Vec::new();
        for queue in &mut self.tiers {
            let is_overloaded = queue.due.len() < queue.len;
            let by = if is_overloaded { now + lead } else { now };
            while let Some((start_by, ticket)) = queue.due.first().copied()
                && start_by < by
            {
                queue.due.pop_first();
                late.push(ticket);
                let Some(position) = self.positions.get(&ticket) else { continue };
                if let Some(flow) = queue.flows.get_mut(&position.organisation) {
                    flow.set_late((position.expires, position.sequence));
                }
            }
        }
        late
    }

    /// Returns the requests of a tier in start order: organisations by virtual time, with at most
    /// `depth` requests of each, by expiry and with late requests last.
    pub fn candidates(&self, tier: Tier, depth: usize) -> impl Iterator<Item = &Item> {
        let queue = &self.tiers[tier.index()];
        queue
            .order
            .iter()
            .filter_map(|(_, organisation)| queue.flows.get(organisation))
            .flat_map(move |flow| flow.on_time.values().chain(flow.late.values()).take(depth))
    }

    /// Returns the waiting requests of a tier, oldest first.
    pub fn by_arrival(&self, tier: Tier) -> impl Iterator<Item = &Item> {
        let arrivals = self.tiers[tier.index()].arrivals.iter();
        arrivals.filter_map(|(_, ticket)| self.item(*ticket))
    }

    /// Returns the earliest `start_by` time in a tier, among the requests that can still meet their
    /// first-token target.
    pub fn first_due(&self, tier: Tier) -> Option<Millis> {
        self.tiers[tier.index()].due.first().map(|(due, _)| *due)
    }

    /// Returns the waiting request with this ticket.
    pub fn item(&self, ticket: u64) -> Option<&Item> {
        let position = self.positions.get(&ticket)?;
        let flow = self.tiers[position.tier.index()].flows.get(&position.organisation)?;
        let key = (position.expires, position.sequence);
        flow.on_time.get(&key).or_else(|| flow.late.get(&key))
    }

    /// Returns the number and the total tokens of an organisation's waiting requests.
    pub fn backlog(&self, organisation: &id::Organisation) -> (u32, u64) {
        let flows = self.tiers.iter().filter_map(|queue| queue.flows.get(organisation));
        flows.fold((0, 0), |(count, tokens), flow| {
            (count + flow.expiry_by_arrival.len() as u32, tokens + flow.backlog_tokens)
        })
    }

    fn insert(&mut self, item: Item) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.expiry.insert((item.expires, item.ticket));
        self.positions.insert(
            item.ticket,
            Position {
                tier: item.tier,
                organisation: item.organisation.clone(),
                expires: item.expires,
                sequence,
            },
        );
        self.tiers[item.tier.index()].insert(item, sequence);
    }
}

impl TierQueue {
    fn insert(&mut self, item: Item, sequence: u64) {
        let virtual_now = self.virtual_now;
        let flow = self.flows.entry(item.organisation.clone()).or_insert_with(|| Flow {
            virtual_start: virtual_now,
            share: 1,
            backlog_tokens: 0,
            on_time: BTreeMap::new(),
            late: BTreeMap::new(),
            expiry_by_arrival: BTreeMap::new(),
        });
        flow.share = item.share.max(1);
        if flow.expiry_by_arrival.is_empty() {
            // An idle flow that virtual time has reached is dropped, so that no credit builds up:
            // other organisations used the share in the meantime.
            let key = (flow.virtual_start, item.organisation.clone());
            self.idle.remove(&key);
            self.order.insert(key);
        }
        flow.backlog_tokens += item.tokens;
        flow.expiry_by_arrival.insert(sequence, item.expires);
        self.due.insert((item.start_by, item.ticket));
        self.arrivals.insert((item.arrived, item.ticket));
        self.len += 1;
        flow.on_time.insert((item.expires, sequence), item);
    }

    fn remove(&mut self, position: &Position) -> Option<Item> {
        let flow = self.flows.get_mut(&position.organisation)?;
        let key = (position.expires, position.sequence);
        let item = flow.on_time.remove(&key).or_else(|| flow.late.remove(&key))?;
        flow.expiry_by_arrival.remove(&position.sequence);
        flow.backlog_tokens -= item.tokens;
        self.due.remove(&(item.start_by, item.ticket));
        self.arrivals.remove(&(item.arrived, item.ticket));
        self.len -= 1;
        if flow.expiry_by_arrival.is_empty() {
            let key = (flow.virtual_start, position.organisation.clone());
            self.order.remove(&key);
            self.idle.insert(key);
        }
        Some(item)
    }

    /// Charges a started request to its organisation and drops the idle flows that virtual time has
    /// reached.
    fn charge(&mut self, item: &Item) {
        let cost = u128::from(item.tokens.max(1)) * VIRTUAL_SCALE / u128::from(item.share.max(1));
        let Some(flow) = self.flows.get_mut(&item.organisation) else { return };
        let mut key = (flow.virtual_start, item.organisation.clone());
        let is_waiting = self.order.remove(&key);
        self.idle.remove(&key);
        // A request that starts out of order does not move virtual time past the waiting flows.
        let first = self.order.first().map_or(key.0, |(first, _)| key.0.min(*first));
        self.virtual_now = self.virtual_now.max(first);
        flow.virtual_start += cost;
        key.0 = flow.virtual_start;
        if is_waiting {
            self.order.insert(key)
        } else {
            self.idle.insert(key)
        };
        while let Some((start, _)) = self.idle.first()
            && (*start <= self.virtual_now
                || self.order.is_empty()
                || IDLE_FLOWS_MAX < self.idle.len())
        {
            // Once nothing waits, no organisation is behind its share, and all flows restart equal.
            let Some((_, organisation)) = self.idle.pop_first() else { break };
            self.flows.remove(&organisation);
        }
        if self.order.is_empty() {
            self.virtual_now = 0;
        }
    }

    fn newest_of_largest_backlog(&self) -> Option<u64> {
        let flow = self
            .order
            .iter()
            .filter_map(|(_, organisation)| self.flows.get(organisation))
            .max_by_key(|flow| {
            let backlog = u128::from(flow.backlog_tokens) * VIRTUAL_SCALE;
            let newest = flow.expiry_by_arrival.last_key_value().map(|(sequence, _)| *sequence);
            (backlog / u128::from(flow.share), newest)
        })?;
        let (sequence, expires) = flow.expiry_by_arrival.last_key_value()?;
        let key = (*expires, *sequence);
        flow.on_time.get(&key).or_else(|| flow.late.get(&key)).map(|item| item.ticket)
    }
}

impl Flow {
    fn set_late(&mut self, key: (Millis, u64)) {
        if let Some(item) = self.on_time.remove(&key) {
            self.late.insert(key, item);
        }
    }
}
