//! Tasks of the leader, and proposals of its clients.

use bytes::Bytes;
use wasabi_consensus::{Change, Event, MemberKind, Status};
use wasabi_control::repair::{GroupState, Shortage};
use wasabi_protocol::{clock::Millis, id};

use super::{
    host::Waiter,
    ops::next_change,
    sim::{RepairStep, Scheduled, Sim, Violation},
};

/// Time within which a shortage, or its end, must be reported.
const SHORTAGE_DELAY_MAX_MS: u64 = 2_500;

impl Sim {
    /// Proposes a write of a client, and schedules the next one.
    pub fn write(&mut self) -> Result<(), Violation> {
        let pause = self.rng.u64(20..=50);
        self.push(pause, Scheduled::Client);
        let Some(leader) = self.leader().filter(|at| self.hosts[*at].frozen_until <= self.now)
        else {
            return Ok(());
        };
        let write = self.requests + 1;
        self.propose(leader, format!("w {write}"), Waiter::Write(write))
    }

    /// Runs the tasks of a leader, as `Member::run_leader_tasks` and `Member::repair` do.
    pub fn run_leader_tasks(&mut self, at: usize) -> Result<(), Violation> {
        let now = self.now;
        let Some(process) = &mut self.hosts[at].process else { return Ok(()) };
        if !process.leads(now) || now < process.next_tasks {
            return Ok(());
        }
        process.next_tasks = now + 50;
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
        let group = GroupState {
            own: &own,
            members: &members,
            addresses: &addresses,
            size_min: self.size,
            size: self.size,
        };
        let change = next_change(self.variant, &group);
        let shortage = group.shortage();
        if let Some((name, address)) = unrecorded {
            self.record(at, &name, &address)?;
        }
        self.check_shortage(at, &members, shortage)?;
        match change {
            Some(change) => self.change(at, change),
            None => Ok(()),
        }
    }

    /// Checks that the leader reports exactly the voters that are not running.
    fn check_shortage(
        &self,
        at: usize,
        members: &[Status],
        shortage: Option<Shortage>,
    ) -> Result<(), Violation> {
        let Some(process) = &self.hosts[at].process else { return Ok(()) };
        if self.now < SHORTAGE_DELAY_MAX_MS + process.led_since
            || self.now < SHORTAGE_DELAY_MAX_MS + self.disturbed_until
        {
            return Ok(());
        }
        let silent = shortage.map(|shortage| shortage.silent).unwrap_or_default();
        for status in members.iter().filter(|s| s.kind == MemberKind::Voter) {
            let is_running = self.host_of(&status.member).is_some();
            if is_running == silent.contains(&status.member) {
                return Err(format!(
                    "{} is running: {is_running}, reported as silent: {silent:?}",
                    status.member
                ));
            }
        }
        Ok(())
    }

    pub fn propose(&mut self, at: usize, line: String, what: Waiter) -> Result<(), Violation> {
        let Some(request) = self.request(at, what) else { return Ok(()) };
        self.step(at, Event::Propose { data: Bytes::from(line), request })
    }

    pub fn change(&mut self, at: usize, change: Change) -> Result<(), Violation> {
        let Some(request) = self.request(at, Waiter::Members) else { return Ok(()) };
        let step = match change {
            Change::AddLearner(_) => RepairStep::AddAppended,
            Change::Remove(_) => RepairStep::RemoveAppended,
            Change::Promote(_) => RepairStep::PromoteAppended,
        };
        self.step(at, Event::ChangeMembers { change, request })?;
        if self.hosts[at].process.as_ref().is_some_and(|it| it.is_waiting(Waiter::Members)) {
            self.step_reached(at, step);
        }
        Ok(())
    }

    /// Returns a request number; `None` while a proposal of the same kind is in progress.
    fn request(&mut self, at: usize, what: Waiter) -> Option<u64> {
        self.requests += 1;
        let process = self.hosts[at].process.as_mut()?;
        if process.is_waiting(what) {
            return None;
        }
        process.requests.insert(self.requests, what);
        Some(self.requests)
    }
}
