//! The search of a host for the leader, which adds it to the group.

use std::collections::VecDeque;

use wasabi_control::search::Round;
use wasabi_protocol::{id, rpc::Joined};

use super::{
    host::Waiter,
    sim::{RepairStep, Scheduled, Sim, Variant, Violation},
};

/// Timeout of a join request.
const JOIN_TIMEOUT_MS: u64 = 500;

/// Time after which an observer forgets a member.
const OBSERVED_TTL_MS: u64 = 10_000;

impl Sim {
    /// Starts a round of join requests.
    pub fn start_join_round(&mut self, at: usize) {
        let ends = self.variant == Variant::JoinEndsAfterDiskError;
        let contacts = self.contacts();
        let Some(process) = &mut self.hosts[at].process else { return };
        let mut known = Vec::new();
        if let Some(node) = &process.node {
            known.extend(process.leader_address());
            let others = node.membership().all().filter(|member| **member != process.name);
            known.extend(others.filter_map(|member| process.address_of(member)));
            known.dedup();
        } else if ends {
            process.join.has_ended = true;
            return;
        }
        let leader = process.join.leader.take().into_iter();
        process.join.round = Round::new(leader.chain(known.clone()).chain(contacts));
        process.join.known = known;
        process.join.introduce = None;
        process.join.is_member = false;
        self.send_next_join(at);
    }

    fn send_next_join(&mut self, at: usize) {
        let Some(process) = &mut self.hosts[at].process else { return };
        let (join, incarnation) = (&mut process.join, process.incarnation);
        if join.introduce.is_none() {
            if let Some(address) = join.round.next_address() {
                return self.send_join(at, &address);
            }
            self.introduce(at);
            return;
        }
        let next = join.introduce.as_mut().and_then(VecDeque::pop_front);
        match next {
            Some(address) => self.send_join(at, &address),
            None => {
                let pause = if join.is_member { 1_000 } else { 200 };
                self.push(pause, Scheduled::JoinRound(at, incarnation));
            }
        }
    }

    /// Continues with the contacts that are not members and were not queried yet.
    fn introduce(&mut self, at: usize) {
        let contacts = self.contacts();
        let own = self.hosts[at].address.clone();
        let Some(process) = &mut self.hosts[at].process else { return };
        let join = &mut process.join;
        let open = contacts.into_iter().filter(|contact| {
            *contact != own && !join.known.contains(contact) && !join.round.has_queried(contact)
        });
        join.introduce = Some(open.collect());
        self.send_next_join(at);
    }

    fn send_join(&mut self, at: usize, address: &str) {
        let Some(process) = &mut self.hosts[at].process else { return };
        process.join.number += 1;
        let (number, incarnation, name) =
            (process.join.number, process.incarnation, process.name.clone());
        let to = self.hosts.iter().position(|host| host.address == address);
        let end = |answer| Scheduled::Answer {
            at,
            incarnation,
            number,
            address: address.to_owned(),
            answer,
        };
        let bound = end(None);
        self.push(JOIN_TIMEOUT_MS, bound);
        let Some(to) = to.filter(|to| !self.hosts[*to].is_removed && self.is_delivered(at, *to))
        else {
            return;
        };
        let delay = self.rng.u64(1..6);
        if self.hosts[to].process.is_none() && self.hosts[to].observed.is_none() {
            let refused = end(None);
            self.push(delay, refused);
            return;
        }
        let own = self.hosts[at].address.clone();
        self.push(
            delay,
            Scheduled::Join { to, name, address: own, requester: Some((at, incarnation, number)) },
        );
    }

    /// Handles a join request at the receiver.
    pub fn answer(
        &mut self,
        to: usize,
        name: &id::Member,
        address: &str,
        requester: Option<(usize, u64, u64)>,
    ) -> Result<(), Violation> {
        let answer = self.join(to, name, address)?;
        let Some((at, incarnation, number)) =
            requester.filter(|requester| self.is_delivered(to, requester.0))
        else {
            return Ok(());
        };
        let delay = self.rng.u64(1..6);
        let address = self.hosts[to].address.clone();
        self.push(delay, Scheduled::Answer { at, incarnation, number, address, answer });
        Ok(())
    }

    /// Handles a join request in the same way as `Member::join`.
    fn join(
        &mut self,
        to: usize,
        name: &id::Member,
        address: &str,
    ) -> Result<Option<Joined>, Violation> {
        let now = self.now;
        if let Some(observed) = &mut self.hosts[to].observed {
            observed.retain(|_, heard| now < *heard + OBSERVED_TTL_MS);
            let members: Vec<_> = observed.keys().cloned().collect();
            observed.insert(address.to_owned(), now);
            let leader = self.rng.choice(members);
            return Ok(Some(Joined::NotLeader { leader }));
        }
        let Some(process) = &mut self.hosts[to].process else { return Ok(None) };
        let Some(node) = &process.node else { return Ok(None) };
        process.learned.insert(name.clone(), address.to_owned());
        if !process.leads(now) {
            return Ok(Some(Joined::NotLeader { leader: process.leader_address() }));
        }
        let membership = node.membership();
        if membership.voters.contains(name) {
            return Ok(Some(Joined::Member));
        }
        if !membership.learners.contains(name) {
            let is_recorded =
                process.machine.addresses.get(name).is_some_and(|known| known == address);
            if is_recorded {
                let change = wasabi_consensus::Change::AddLearner(name.clone());
                self.change(to, change)?;
            } else {
                self.record(to, name, address)?;
            }
            self.step_reached(to, RepairStep::JoinRequested);
        }
        Ok(Some(Joined::Waiting))
    }

    /// Handles the answer or the timeout of a join request at the sender.
    pub fn answered(&mut self, at: usize, number: u64, address: String, answer: Option<Joined>) {
        let overwrites = self.variant == Variant::RedirectOverwritten;
        let Some(process) = &mut self.hosts[at].process else { return };
        let join = &mut process.join;
        if join.number != number {
            return;
        }
        join.number += 1;
        if join.introduce.is_none() {
            match answer {
                Some(Joined::NotLeader { leader: Some(other) }) if overwrites => {
                    join.leader = Some(other);
                }
                Some(Joined::NotLeader { leader: Some(other) }) => join.round.redirect(other),
                Some(Joined::NotLeader { leader: None }) | None => {}
                Some(joined) => {
                    join.is_member = joined == Joined::Member;
                    join.leader = Some(address);
                    self.introduce(at);
                    return;
                }
            }
        }
        self.send_next_join(at);
    }

    /// Records the address of a member in the log.
    pub fn record(&mut self, at: usize, name: &id::Member, address: &str) -> Result<(), Violation> {
        let line = super::host::address_line(name, address);
        self.propose(at, line, Waiter::Address)
    }
}
