//! A simulated member with its disk, clock and state machine.

use std::collections::BTreeMap;

use wasabi_consensus::{Batch, Config, Entry, Node, Persist, PersistentState, RequestId, Rules};
use wasabi_protocol::{clock::Millis, id};

/// Durable state of a member.
#[derive(Debug, Clone, Default)]
pub struct Disk(pub PersistentState);

impl Disk {
    pub fn write(&mut self, batch: &Batch) {
        if let Some(vote) = &batch.vote {
            self.0.vote = vote.clone();
        }
        if let Some(snapshot) = &batch.snapshot {
            self.0.snapshot = snapshot.clone();
            let last = snapshot.last;
            let at = self.0.entries.iter().find(|entry| entry.index == last.index);
            if at.is_none_or(|entry| entry.term != last.term) {
                self.0.entries.clear();
            }
            self.0.entries.retain(|entry| last.index < entry.index);
        }
        if let Some(index) = batch.truncate_from {
            self.0.entries.retain(|entry| entry.index < index);
        }
        for entry in &batch.entries {
            let last = self.0.entries.last().map_or(self.0.snapshot.last.index, |last| last.index);
            assert_eq!(entry.index, last + 1, "the batch leaves a gap in the stored log");
            self.0.entries.push(entry.clone());
        }
    }
}

/// A member, running or not.
#[derive(Debug)]
pub struct Replica {
    pub id: id::Member,
    pub disk: Disk,
    pub node: Option<Node>,
    /// Number of starts. Events scheduled before the last start are ignored.
    pub incarnation: u64,
    pub outstanding: Option<Persist>,
    /// Proposals accepted since the last start, by index and term.
    pub accepted: BTreeMap<(u64, u64), RequestId>,
    /// Digest of the applied entries, and the last applied index.
    pub state_machine: (u64, u64),
    pub last_commit_index: u64,
    pub paused_until: u64,
    /// Rate of the local clock relative to virtual time, in thousandths.
    pub clock_rate_permille: u64,
    /// Virtual and local time at the last change of the clock rate.
    pub clock_base: (u64, u64),
}

impl Replica {
    pub fn new(id: id::Member, disk: Disk) -> Self {
        Self {
            id,
            disk,
            node: None,
            incarnation: 0,
            outstanding: None,
            accepted: BTreeMap::new(),
            state_machine: (0, 0),
            last_commit_index: 0,
            paused_until: 0,
            clock_rate_permille: 1_000,
            clock_base: (0, 1_000),
        }
    }

    pub fn clock(&self, now: u64) -> Millis {
        let (virtual_base, local_base) = self.clock_base;
        Millis(local_base + (now - virtual_base) * self.clock_rate_permille / 1_000)
    }

    pub fn set_clock_rate(&mut self, now: u64, rate: u64) {
        self.clock_base = (now, self.clock(now).0);
        self.clock_rate_permille = rate;
    }

    pub fn start(&mut self, now: u64, seed: u64, rules: Rules, settings: fn(&mut Config)) {
        let mut config = Config::new(self.id.clone(), seed);
        settings(&mut config);
        self.incarnation += 1;
        self.outstanding = None;
        self.accepted.clear();
        self.state_machine = (0, 0);
        self.last_commit_index = 0;
        self.paused_until = 0;
        let node = Node::with_rules(config, self.disk.0.clone(), self.clock(now), rules);
        self.node = Some(node);
    }

    pub fn can_read(&self, now: u64) -> bool {
        self.node.as_ref().is_some_and(|node| node.can_read(self.clock(now)))
    }

    /// Applies an entry and returns the resulting digest.
    pub fn apply(&mut self, entry: &Entry) -> u64 {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let mut hasher = DefaultHasher::new();
        (self.state_machine.0, &entry.data).hash(&mut hasher);
        self.state_machine = (hasher.finish(), entry.index);
        self.state_machine.0
    }
}
