//! The duties of a leader, and the proposals of its clients.

use bytes::Bytes;
use wasabi_consensus::{Change, Event, MemberKind, Status};
use wasabi_control::repair::{GroupState, Shortage};
use wasabi_protocol::{clock::Millis, id};

use super::{
    host::Waiting,
    ops::next_change,
    sim::{Broken, Due, Moment, Sim},
};

/// Time after which a shortage must be shown, or must have ended, in milliseconds.
const SHORTAGE_SLACK: u64 = 2_500;

impl Sim {
    /// Has a client write, and again after a while.
    pub fn write(&mut self) -> Result<(), Broken> {
        let pause = self.rng.u64(20..=50);
        self.push(pause, Due::Client);
        let Some(leader) = self.leader().filter(|at| self.hosts[*at].frozen_until <= self.now)
        else {
            return Ok(());
        };
        let write = self.requests + 1;
        self.propose(leader, format!("w {write}"), Waiting::Write(write))
    }

    /// Does the duties of a leader, as `Member::lead` and `Member::repair` do.
    pub fn lead(&mut self, at: usize) -> Result<(), Broken> {
        let now = self.now;
        let Some(process) = &mut self.hosts[at].process else { return Ok(()) };
        if !process.leads(now) || now < process.next_duty {
            return Ok(());
        }
        process.next_duty = now + 50;
        let Some(node) = &process.node else { return Ok(()) };
        let members = node.members(Millis(now));
        let is_recorded = |name: &id::Member| process.machine.addresses.contains_key(name);
        let unrecorded = members.iter().filter(|status| !is_recorded(&status.member));
        let unrecorded = unrecorded
            .filter_map(|status| {
                Some((status.member.clone(), process.learned.get(&status.member)?))
            })
            .next()
            .map(|(name, address)| (name, address.clone()));
        let addresses = process.machine.addresses.clone();
        let own = process.name.clone();
        let situation = GroupState {
            own: &own,
            members: &members,
            addresses: &addresses,
            size_min: self.size,
            size: self.size,
        };
        let change = next_change(self.variant, &situation);
        let shortage = situation.shortage();
        if let Some((name, address)) = unrecorded {
            self.record(at, &name, &address)?;
        }
        self.check_shortage(at, &members, shortage)?;
        match change {
            Some(change) => self.change(at, change),
            None => Ok(()),
        }
    }

    /// Checks that the leader names members that are away, and no others.
    fn check_shortage(
        &self,
        at: usize,
        members: &[Status],
        shortage: Option<Shortage>,
    ) -> Result<(), Broken> {
        let Some(process) = &self.hosts[at].process else { return Ok(()) };
        if self.now < SHORTAGE_SLACK + process.led_since
            || self.now < SHORTAGE_SLACK + self.disturbed_until
        {
            return Ok(());
        }
        let silent = shortage.map(|shortage| shortage.silent).unwrap_or_default();
        for status in members.iter().filter(|s| s.kind == MemberKind::Voter) {
            let lives = self.host_of(&status.member).is_some();
            if lives == silent.contains(&status.member) {
                return Err(format!(
                    "{} lives: {lives}, named as silent {silent:?}",
                    status.member
                ));
            }
        }
        Ok(())
    }

    pub fn propose(&mut self, at: usize, line: String, what: Waiting) -> Result<(), Broken> {
        let Some(request) = self.request(at, what) else { return Ok(()) };
        self.step(at, Event::Propose { data: Bytes::from(line), request })
    }

    pub fn change(&mut self, at: usize, change: Change) -> Result<(), Broken> {
        let Some(request) = self.request(at, Waiting::Members) else { return Ok(()) };
        let moment = match change {
            Change::AddLearner(_) => Moment::AddPlaced,
            Change::Remove(_) => Moment::RemovePlaced,
            Change::Promote(_) => Moment::PromotePlaced,
        };
        self.step(at, Event::ChangeMembers { change, request })?;
        if self.hosts[at].process.as_ref().is_some_and(|it| it.is_waiting(Waiting::Members)) {
            self.moment(at, moment);
        }
        Ok(())
    }

    /// Returns a number for a proposal; of the leader's own, one of a kind is under way at most.
    fn request(&mut self, at: usize, what: Waiting) -> Option<u64> {
        self.requests += 1;
        let process = self.hosts[at].process.as_mut()?;
        if process.is_waiting(what) {
            return None;
        }
        process.requests.insert(self.requests, what);
        Some(self.requests)
    }
}
