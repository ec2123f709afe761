//! The search of a member for the leader that takes it in.

use std::collections::VecDeque;

use wasabi_control::search::Round;
use wasabi_protocol::{id, rpc::Joined};

use super::{
    host::Waiting,
    sim::{Broken, Due, Moment, Sim, Variant},
};

/// Longest time for one question, in milliseconds.
const ASK_BOUND: u64 = 500;

/// Time after which an observer forgets a member, in milliseconds.
const FORGET: u64 = 10_000;

impl Sim {
    /// Starts a round of questions.
    pub fn ask_round(&mut self, at: usize) {
        let ends = self.variant == Variant::AskEndsAfterDiskError;
        let contacts = self.contacts();
        let Some(process) = &mut self.hosts[at].process else { return };
        let mut known = Vec::new();
        if let Some(node) = &process.node {
            known.extend(process.leader_address());
            let others = node.membership().all().filter(|member| **member != process.name);
            known.extend(others.filter_map(|member| process.address_of(member)));
            known.dedup();
        } else if ends {
            process.ask.has_ended = true;
            return;
        }
        let leader = process.ask.leader.take().into_iter();
        process.ask.round = Round::new(leader.chain(known.clone()).chain(contacts));
        process.ask.known = known;
        process.ask.introduce = None;
        process.ask.is_in = false;
        self.ask_next(at);
    }

    fn ask_next(&mut self, at: usize) {
        let Some(process) = &mut self.hosts[at].process else { return };
        let (ask, life) = (&mut process.ask, process.life);
        if ask.introduce.is_none() {
            if let Some(address) = ask.round.next_address() {
                return self.question(at, &address);
            }
            self.introduce(at);
            return;
        }
        let next = ask.introduce.as_mut().and_then(VecDeque::pop_front);
        match next {
            Some(address) => self.question(at, &address),
            None => {
                let pause = if ask.is_in { 1_000 } else { 200 };
                self.push(pause, Due::AskRound(at, life));
            }
        }
    }

    /// Goes on with the contacts that were not asked and that are no members.
    fn introduce(&mut self, at: usize) {
        let contacts = self.contacts();
        let own = self.hosts[at].address.clone();
        let Some(process) = &mut self.hosts[at].process else { return };
        let ask = &mut process.ask;
        let open = contacts.into_iter().filter(|contact| {
            *contact != own && !ask.known.contains(contact) && !ask.round.has_asked(contact)
        });
        ask.introduce = Some(open.collect());
        self.ask_next(at);
    }

    fn question(&mut self, at: usize, address: &str) {
        let Some(process) = &mut self.hosts[at].process else { return };
        process.ask.number += 1;
        let (number, life, name) = (process.ask.number, process.life, process.name.clone());
        let to = self.hosts.iter().position(|host| host.address == address);
        let end = |answer| Due::Answer { at, life, number, address: address.to_owned(), answer };
        let bound = end(None);
        self.push(ASK_BOUND, bound);
        let Some(to) = to.filter(|to| !self.hosts[*to].is_gone && self.passes(at, *to)) else {
            return;
        };
        let delay = self.rng.u64(1..6);
        if self.hosts[to].process.is_none() && self.hosts[to].observed.is_none() {
            let refused = end(None);
            self.push(delay, refused);
            return;
        }
        let own = self.hosts[at].address.clone();
        self.push(delay, Due::Join { to, name, address: own, asker: Some((at, life, number)) });
    }

    /// Handles a question at the host that is asked.
    pub fn answer(
        &mut self,
        to: usize,
        name: &id::Member,
        address: &str,
        asker: Option<(usize, u64, u64)>,
    ) -> Result<(), Broken> {
        let answer = self.join(to, name, address)?;
        let Some((at, life, number)) = asker.filter(|asker| self.passes(to, asker.0)) else {
            return Ok(());
        };
        let delay = self.rng.u64(1..6);
        let address = self.hosts[to].address.clone();
        self.push(delay, Due::Answer { at, life, number, address, answer });
        Ok(())
    }

    /// Takes the next step towards a member that asks, as `Member::join` does.
    fn join(
        &mut self,
        to: usize,
        name: &id::Member,
        address: &str,
    ) -> Result<Option<Joined>, Broken> {
        let now = self.now;
        if let Some(observed) = &mut self.hosts[to].observed {
            observed.retain(|_, heard| now < *heard + FORGET);
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
            self.moment(to, Moment::Asked);
        }
        Ok(Some(Joined::Waiting))
    }

    /// Handles the end of a question at the asker.
    pub fn answered(&mut self, at: usize, number: u64, address: String, answer: Option<Joined>) {
        let overwrites = self.variant == Variant::RedirectOverwritten;
        let Some(process) = &mut self.hosts[at].process else { return };
        let ask = &mut process.ask;
        if ask.number != number {
            return;
        }
        ask.number += 1;
        if ask.introduce.is_none() {
            match answer {
                Some(Joined::NotLeader { leader: Some(other) }) if overwrites => {
                    ask.leader = Some(other);
                }
                Some(Joined::NotLeader { leader: Some(other) }) => ask.round.redirect(other),
                Some(Joined::NotLeader { leader: None }) | None => {}
                Some(joined) => {
                    ask.is_in = joined == Joined::Member;
                    ask.leader = Some(address);
                    self.introduce(at);
                    return;
                }
            }
        }
        self.ask_next(at);
    }

    /// Records the address of a member in the log.
    pub fn record(&mut self, at: usize, name: &id::Member, address: &str) -> Result<(), Broken> {
        let line = super::host::address_line(name, address);
        self.propose(at, line, Waiting::Address)
    }
}
