//! The queue of a pool: strict tiers, fair shares between organisations, earliest deadline first.
//!
//! Requests that can no longer meet their first-token target go behind the other requests of
//! their organisation. Under overload, earliest deadline first would otherwise serve each request
//! just after its target has passed.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use wasabi_protocol::{clock::Millis, contract::TIERS, contract::Tier, id};

/// Fixed-point scale of virtual time, so that small requests of large shares still advance it.
const VIRTUAL_SCALE: u128 = 1 << 20;

/// Most accounts kept in one tier for organisations without waiting requests.
///
/// The accounts nearest to virtual time, which matter least, are dropped first.
const IDLE_ACCOUNTS_MAX: usize = 1_024;

/// What the queue needs to know of a waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The number that names the request in this queue.
    pub ticket: u64,
    /// The organisation whose share pays for it.
    pub organisation: id::Organisation,
    /// The urgency.
    pub tier: Tier,
    /// Weight of the organisation's share within the tier.
    pub share: u32,
    /// Estimated work in tokens.
    pub tokens: u64,
    /// When it first arrived at any entry.
    pub arrived: Millis,
    /// When it must start to meet its first-token target.
    pub start_by: Millis,
    /// When it must have started to end before its deadline.
    pub expires: Millis,
    /// When its answer is of no more use.
    pub deadline: Millis,
}

/// What became of a pushed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pushed {
    /// It waits.
    Queued,
    /// It waits, and this less urgent or newer request was shed for it.
    Displaced(u64),
    /// The queue is full of requests that are at least as urgent; it does not wait.
    Refused,
}

/// Waiting requests of one pool. Holds at most `capacity` of them.
#[derive(Debug)]
pub struct Queue {
    capacity: usize,
    tiers: [Lane; TIERS],
    places: HashMap<u64, Place>,
    expiry: BTreeSet<(Millis, u64)>,
    sequence: u64,
}

#[derive(Debug, Default)]
struct Lane {
    flows: HashMap<id::Organisation, Flow>,
    /// Flows with waiting requests, by virtual time.
    order: BTreeSet<(u128, id::Organisation)>,
    /// Flows without waiting requests whose account is still ahead of virtual time.
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
    /// Requests that can still meet their first-token target, by deadline, then by arrival.
    fresh: BTreeMap<(Millis, u64), Item>,
    /// Requests that cannot, in the same order.
    late: BTreeMap<(Millis, u64), Item>,
    /// Arrival order, for shedding the newest.
    newest: BTreeMap<u64, Millis>,
}

#[derive(Debug)]
struct Place {
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
            places: HashMap::new(),
            expiry: BTreeSet::new(),
            sequence: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the number of waiting requests of a tier.
    pub fn waiting(&self, tier: Tier) -> usize {
        self.tiers[tier.index()].len
    }

    /// Returns the number of organisations that the queue keeps a share account for.
    pub fn account_count(&self) -> usize {
        self.tiers.iter().map(|lane| lane.flows.len()).sum()
    }

    /// Adds a request, shedding a less urgent one when the queue is full.
    ///
    /// Within the least urgent tier, the newest request of the organisation with the largest
    /// backlog relative to its share is shed, so that one organisation's burst does not push out
    /// the others.
    pub fn push(&mut self, item: Item) -> Pushed {
        if self.places.contains_key(&item.ticket) {
            return Pushed::Refused;
        }
        if self.places.len() < self.capacity {
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
        let Some(shed) = self.tiers[lowest.index()].newest_of_largest() else {
            return Pushed::Queued;
        };
        self.remove(shed);
        if shed == ticket { Pushed::Refused } else { Pushed::Displaced(shed) }
    }

    /// Removes a request that does not start, without charging its organisation's share.
    pub fn remove(&mut self, ticket: u64) -> Option<Item> {
        let place = self.places.remove(&ticket)?;
        self.expiry.remove(&(place.expires, ticket));
        self.tiers[place.tier.index()].remove(&place)
    }

    /// Removes a request that starts, and charges its organisation's share.
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

    /// Moves the requests that can no longer meet their first-token target behind the others, and
    /// returns their tickets.
    ///
    /// In a tier that has late requests already, those that would become late within `lead` count
    /// as late too: the tier is overloaded, and each of its requests would otherwise start in the
    /// last moment.
    pub fn mark_late(&mut self, now: Millis, lead: Millis) -> Vec<u64> {
        let mut late = Vec::new();
        for lane in &mut self.tiers {
            let is_overloaded = lane.due.len() < lane.len;
            let by = if is_overloaded { now + lead } else { now };
            while let Some((start_by, ticket)) = lane.due.first().copied()
                && start_by < by
            {
                lane.due.pop_first();
                late.push(ticket);
                let Some(place) = self.places.get(&ticket) else { continue };
                if let Some(flow) = lane.flows.get_mut(&place.organisation) {
                    flow.set_late((place.expires, place.sequence));
                }
            }
        }
        late
    }

    /// Returns the requests of a tier in the order in which they should start: organisations by
    /// virtual time, and at most `depth` requests of each by deadline, late ones last.
    pub fn candidates(&self, tier: Tier, depth: usize) -> impl Iterator<Item = &Item> {
        let lane = &self.tiers[tier.index()];
        lane.order
            .iter()
            .filter_map(|(_, organisation)| lane.flows.get(organisation))
            .flat_map(move |flow| flow.fresh.values().chain(flow.late.values()).take(depth))
    }

    /// Returns the waiting requests of a tier, the oldest first.
    pub fn by_arrival(&self, tier: Tier) -> impl Iterator<Item = &Item> {
        let arrivals = self.tiers[tier.index()].arrivals.iter();
        arrivals.filter_map(|(_, ticket)| self.item(*ticket))
    }

    /// Returns the earliest time by which a waiting request of a tier must start, among those that
    /// can still meet their first-token target.
    pub fn first_due(&self, tier: Tier) -> Option<Millis> {
        self.tiers[tier.index()].due.first().map(|(due, _)| *due)
    }

    /// Returns the waiting request of a ticket.
    pub fn item(&self, ticket: u64) -> Option<&Item> {
        let place = self.places.get(&ticket)?;
        let flow = self.tiers[place.tier.index()].flows.get(&place.organisation)?;
        let key = (place.expires, place.sequence);
        flow.fresh.get(&key).or_else(|| flow.late.get(&key))
    }

    /// Returns the number and the tokens of an organisation's waiting requests.
    pub fn backlog(&self, organisation: &id::Organisation) -> (u32, u64) {
        let flows = self.tiers.iter().filter_map(|lane| lane.flows.get(organisation));
        flows.fold((0, 0), |(count, tokens), flow| {
            (count + flow.newest.len() as u32, tokens + flow.backlog_tokens)
        })
    }

    fn insert(&mut self, item: Item) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.expiry.insert((item.expires, item.ticket));
        self.places.insert(
            item.ticket,
            Place {
                tier: item.tier,
                organisation: item.organisation.clone(),
                expires: item.expires,
                sequence,
            },
        );
        self.tiers[item.tier.index()].insert(item, sequence);
    }
}

impl Lane {
    fn insert(&mut self, item: Item, sequence: u64) {
        let virtual_now = self.virtual_now;
        let flow = self.flows.entry(item.organisation.clone()).or_insert_with(|| Flow {
            virtual_start: virtual_now,
            share: 1,
            backlog_tokens: 0,
            fresh: BTreeMap::new(),
            late: BTreeMap::new(),
            newest: BTreeMap::new(),
        });
        flow.share = item.share.max(1);
        if flow.newest.is_empty() {
            // An idle account that virtual time has reached is forgotten, so that no credit is
            // saved up: the share was lent meanwhile.
            let key = (flow.virtual_start, item.organisation.clone());
            self.idle.remove(&key);
            self.order.insert(key);
        }
        flow.backlog_tokens += item.tokens;
        flow.newest.insert(sequence, item.expires);
        self.due.insert((item.start_by, item.ticket));
        self.arrivals.insert((item.arrived, item.ticket));
        self.len += 1;
        flow.fresh.insert((item.expires, sequence), item);
    }

    fn remove(&mut self, place: &Place) -> Option<Item> {
        let flow = self.flows.get_mut(&place.organisation)?;
        let key = (place.expires, place.sequence);
        let item = flow.fresh.remove(&key).or_else(|| flow.late.remove(&key))?;
        flow.newest.remove(&place.sequence);
        flow.backlog_tokens -= item.tokens;
        self.due.remove(&(item.start_by, item.ticket));
        self.arrivals.remove(&(item.arrived, item.ticket));
        self.len -= 1;
        if flow.newest.is_empty() {
            let key = (flow.virtual_start, place.organisation.clone());
            self.order.remove(&key);
            self.idle.insert(key);
        }
        Some(item)
    }

    /// Charges a started request to its organisation, and forgets the idle accounts that virtual
    /// time has reached.
    fn charge(&mut self, item: &Item) {
        let cost = u128::from(item.tokens.max(1)) * VIRTUAL_SCALE / u128::from(item.share.max(1));
        let Some(flow) = self.flows.get_mut(&item.organisation) else { return };
        let mut key = (flow.virtual_start, item.organisation.clone());
        let waits = self.order.remove(&key);
        self.idle.remove(&key);
        // A request that starts out of turn does not move virtual time past those that wait.
        let first = self.order.first().map_or(key.0, |(first, _)| key.0.min(*first));
        self.virtual_now = self.virtual_now.max(first);
        flow.virtual_start += cost;
        key.0 = flow.virtual_start;
        if waits {
            self.order.insert(key)
        } else {
            self.idle.insert(key)
        };
        while let Some((start, _)) = self.idle.first()
            && (*start <= self.virtual_now
                || self.order.is_empty()
                || IDLE_ACCOUNTS_MAX < self.idle.len())
        {
            // Once nothing waits, no share was taken from anyone and all accounts restart equal.
            let Some((_, organisation)) = self.idle.pop_first() else { break };
            self.flows.remove(&organisation);
        }
        if self.order.is_empty() {
            self.virtual_now = 0;
        }
    }

    fn newest_of_largest(&self) -> Option<u64> {
        let flow = self
            .order
            .iter()
            .filter_map(|(_, organisation)| self.flows.get(organisation))
            .max_by_key(|flow| {
            let backlog = u128::from(flow.backlog_tokens) * VIRTUAL_SCALE;
            let newest = flow.newest.last_key_value().map(|(sequence, _)| *sequence);
            (backlog / u128::from(flow.share), newest)
        })?;
        let (sequence, deadline) = flow.newest.last_key_value()?;
        let key = (*deadline, *sequence);
        flow.fresh.get(&key).or_else(|| flow.late.get(&key)).map(|item| item.ticket)
    }
}

impl Flow {
    fn set_late(&mut self, key: (Millis, u64)) {
        if let Some(item) = self.fresh.remove(&key) {
            self.late.insert(key, item);
        }
    }
}
