//! A simulated host with its disk, its process, and the state of the process.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use wasabi_consensus::{Batch, Config, Entry, Node, Payload, Persist, PersistentState, Role};
use wasabi_control::{Addresses, search::Round};
use wasabi_protocol::{clock::Millis, id};

/// Size of a snapshot chunk, small enough that a transfer takes many messages.
const CHUNK_BYTES: usize = 256;

/// Durable state of one member.
#[derive(Debug, Clone)]
pub struct Disk {
    pub name: id::Member,
    pub restored: PersistentState,
}

impl Disk {
    pub fn write(&mut self, batch: &Batch) {
        let stored = &mut self.restored;
        if let Some(vote) = &batch.vote {
            stored.vote = vote.clone();
        }
        if let Some(snapshot) = &batch.snapshot {
            stored.snapshot = snapshot.clone();
            let last = snapshot.last;
            let at = stored.entries.iter().find(|entry| entry.index == last.index);
            if at.is_none_or(|entry| entry.term != last.term) {
                stored.entries.clear();
            }
            stored.entries.retain(|entry| last.index < entry.index);
        }
        if let Some(index) = batch.truncate_from {
            stored.entries.retain(|entry| entry.index < index);
        }
        stored.entries.extend(batch.entries.iter().cloned());
    }
}

/// The replicated state: addresses of members, and the writes in order.
#[derive(Debug, Clone, Default)]
pub struct Machine {
    pub addresses: Addresses,
    pub writes: Vec<u64>,
    pub index: u64,
}

impl Machine {
    pub fn apply(&mut self, entry: &Entry) {
        self.index = entry.index;
        if let Payload::Command(bytes) = &entry.data {
            self.apply_line(std::str::from_utf8(bytes).unwrap());
        }
    }

    pub fn snapshot(&self) -> Bytes {
        let addresses = self.addresses.iter().map(|(name, address)| address_line(name, address));
        let writes = self.writes.iter().map(|write| format!("w {write}"));
        Bytes::from(addresses.chain(writes).collect::<Vec<_>>().join("\n"))
    }

    pub fn restore(index: u64, data: &Bytes) -> Self {
        let mut machine = Self { index, ..Self::default() };
        std::str::from_utf8(data).unwrap().lines().for_each(|line| machine.apply_line(line));
        machine
    }

    fn apply_line(&mut self, line: &str) {
        let words: Vec<_> = line.split(' ').collect();
        match words[..] {
            ["w", write] => self.writes.push(write.parse().unwrap()),
            ["a", name, address] => {
                self.addresses.insert(name.into(), address.to_owned());
            }
            _ => panic!("unknown command {line}"),
        }
    }
}

pub fn address_line(name: &id::Member, address: &str) -> String {
    format!("a {name} {address}")
}

/// Kind of a proposal in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Waiter {
    Write(u64),
    Address,
    Members,
}

/// The task that sends join requests.
#[derive(Debug, Default)]
pub struct JoinTask {
    pub round: Round,
    pub leader: Option<String>,
    pub known: Vec<String>,
    /// Contacts that are only informed of this member, after the search has ended.
    pub introduce: Option<VecDeque<String>>,
    pub is_member: bool,
    /// Number of the join request in progress.
    pub number: u64,
    pub has_ended: bool,
}

/// A running process.
#[derive(Debug)]
pub struct Process {
    pub incarnation: u64,
    pub name: id::Member,
    /// `None` after a disk error, until the disk can be written again.
    pub node: Option<Node>,
    pub outstanding: Option<Persist>,
    pub machine: Machine,
    pub learned: Addresses,
    /// Proposals appended to the log, by index and term.
    pub appended: BTreeMap<(u64, u64), Waiter>,
    pub requests: BTreeMap<u64, Waiter>,
    pub next_tasks: u64,
    pub led_since: u64,
    pub join: JoinTask,
}

impl Process {
    pub fn new(incarnation: u64, disk: &Disk, seed: u64, now: u64) -> Self {
        let mut process = Self {
            incarnation,
            name: disk.name.clone(),
            node: None,
            outstanding: None,
            machine: Machine::default(),
            learned: Addresses::new(),
            appended: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_tasks: 0,
            led_since: now,
            join: JoinTask::default(),
        };
        process.open(disk, seed, now);
        process
    }

    /// Starts the member from its disk.
    pub fn open(&mut self, disk: &Disk, seed: u64, now: u64) {
        let mut config = Config::new(self.name.clone(), seed);
        config.message_bytes_max = CHUNK_BYTES;
        let mut known =
            Machine::restore(disk.restored.snapshot.last.index, &disk.restored.snapshot.data);
        disk.restored.entries.iter().for_each(|entry| known.apply(entry));
        self.learned = known.addresses;
        self.machine = Machine::default();
        self.close();
        self.node = Some(Node::new(config, disk.restored.clone(), Millis(now)));
    }

    /// Stops the member, as after a disk error.
    pub fn close(&mut self) {
        self.node = None;
        self.outstanding = None;
        self.appended.clear();
        self.requests.clear();
    }

    pub fn leads(&self, now: u64) -> bool {
        self.node.as_ref().is_some_and(|node| node.can_read(Millis(now)))
    }

    pub fn is_leader(&self) -> bool {
        self.node.as_ref().is_some_and(|node| node.role() == Role::Leader)
    }

    pub fn address_of(&self, name: &id::Member) -> Option<String> {
        self.machine.addresses.get(name).or_else(|| self.learned.get(name)).cloned()
    }

    pub fn leader_address(&self) -> Option<String> {
        let leader = self.node.as_ref()?.leader().filter(|leader| **leader != self.name)?;
        self.address_of(leader)
    }

    pub fn is_waiting(&self, waiting: Waiter) -> bool {
        self.appended.values().chain(self.requests.values()).any(|other| *other == waiting)
    }
}

/// A host, with or without a running process.
#[derive(Debug)]
pub struct Host {
    pub address: String,
    pub disk: Option<Disk>,
    pub process: Option<Process>,
    /// Members that introduced themselves, at a host without a member.
    pub observed: Option<BTreeMap<String, u64>>,
    pub is_removed: bool,
    pub frozen_until: u64,
    pub full_until: u64,
    pub starts: u64,
}

impl Host {
    pub fn new(address: String) -> Self {
        Self {
            address,
            disk: None,
            process: None,
            observed: None,
            is_removed: false,
            frozen_until: 0,
            full_until: 0,
            starts: 0,
        }
    }
}
