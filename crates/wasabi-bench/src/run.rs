//! A simulated run in virtual time: requests, engines, faults, and a scheduling policy.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use fastrand::Rng;
use wasabi_protocol::{
    clock::Millis,
    endpoint::Load,
    id,
    request::{End, Report, Request},
};

use crate::{
    engine::{Engine, Produced, Sequence, announcement, name},
    policy::{Command, Fault, Policy},
    score::{Outcome, Score},
    traffic::{self, Job, User},
};

/// Requests that arrive in this interval are measured, in microseconds.
const MEASURED_ARRIVALS_US: std::ops::Range<u64> = 10_000_000..80_000_000;
/// Time of the last arrivals.
const ARRIVALS_END_US: u64 = 130_000_000;
/// Time at which the run ends; requests without a result count as failed.
const RUN_END_US: u64 = 290_000_000;
/// Interval of the policy's ticks.
const TICK_INTERVAL_US: u64 = 50_000;
/// Interval of each engine's announcements.
const ANNOUNCE_INTERVAL_US: u64 = 1_000_000;
/// Time that a crashed engine takes to restart.
const RESTART_US: u64 = 5_000_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    IterationEnd(usize, u64),
    Announce(usize),
    Tick,
    Crash(usize),
    Freeze(usize, u64),
    OwnerDies,
}

/// An attempt on an engine.
struct ActiveAttempt {
    job: usize,
    engine: usize,
    request: Request,
    sent: u64,
    first: Option<u64>,
    last: u64,
    tokens: u32,
    bounds: (Millis, Millis),
}

struct Run<'a, P> {
    policy: &'a mut P,
    jobs: Vec<(Job, u32)>,
    engines: Vec<Engine>,
    pending: Vec<Option<Produced>>,
    generation: Vec<u64>,
    down_until: Vec<u64>,
    reports: Vec<Load>,
    active: BTreeMap<u128, ActiveAttempt>,
    tickets: BTreeMap<u64, (usize, Request)>,
    next: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    now: u64,
    score: Score,
}

/// Runs a policy at a request rate per second and returns its score.
pub fn run(user: User, policy: &mut impl Policy, rate: f64, faults: &[Fault], seed: u64) -> Score {
    let engines: Vec<_> = user.speeds().into_iter().map(Engine::new).collect();
    let count = engines.len();
    let mut run = Run {
        policy,
        jobs: Vec::new(),
        pending: (0..count).map(|_| None).collect(),
        generation: vec![0; count],
        down_until: vec![0; count],
        reports: vec![Load::default(); count],
        engines,
        active: BTreeMap::new(),
        tickets: BTreeMap::new(),
        next: 0,
        events: BinaryHeap::new(),
        now: 0,
        score: Score::default(),
    };
    run.prepare(user, rate, faults, seed);
    while let Some(Reverse((at, _, event))) = run.events.pop()
        && at < RUN_END_US
    {
        run.now = at;
        run.handle(event);
    }
    for job in 0..run.jobs.len() {
        run.finish(job, Outcome::Failed);
    }
    run.score.prefill_tokens = run.engines.iter().map(|engine| engine.prefill_tokens).sum();
    run.score
}

impl<P: Policy> Run<'_, P> {
    fn prepare(&mut self, user: User, rate: f64, faults: &[Fault], seed: u64) {
        let mut rng = Rng::with_seed(seed);
        let has = |fault| faults.contains(&fault);
        let mut at = 0.0;
        while (at as u64) < ARRIVALS_END_US {
            let is_burst = has(Fault::Burst) && (40e6..50e6).contains(&at);
            let rate = if is_burst { 2.0 * rate } else { rate };
            at += -(1.0 - rng.f64()).ln() / rate * 1e6;
            let job = traffic::job(&mut rng, user, self.jobs.len() as u64, at as u64);
            self.push_job(job);
        }
        if has(Fault::Poison) {
            let mut bad = traffic::job(&mut rng, user, u64::MAX, 0);
            bad.poison = true;
            bad.request.idempotent = true;
            for at in [30, 35, 40, 45] {
                bad.arrived = at * 1_000_000;
                self.push_job(bad.clone());
            }
        }
        for index in 0..self.engines.len() {
            self.schedule(rng.u64(..ANNOUNCE_INTERVAL_US), Event::Announce(index));
            if has(Fault::Straggle) && index % 10 == 3 {
                self.engines[index].slowdown = 4.0;
            }
        }
        self.schedule(0, Event::Tick);
        if has(Fault::Crash) {
            self.schedule(30_000_000, Event::Crash(0));
            self.schedule(50_000_000, Event::Crash(5));
        }
        if has(Fault::Freeze) {
            self.schedule(35_000_000, Event::Freeze(1, 45_000_000));
        }
        if has(Fault::OwnerDies) {
            self.schedule(45_000_000, Event::OwnerDies);
        }
    }

    fn push_job(&mut self, job: Job) {
        self.schedule(job.arrived, Event::Arrive(self.jobs.len()));
        self.jobs.push((job, 0));
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next, event)));
    }

    fn millis(&self) -> Millis {
        Millis(self.now / 1_000)
    }

    fn handle(&mut self, event: Event) {
        let now = self.millis();
        match event {
            Event::Arrive(job) => self.acquire(job, Vec::new()),
            Event::IterationEnd(engine, generation) if generation == self.generation[engine] => {
                self.end_iteration(engine);
            }
            Event::IterationEnd(..) => {}
            Event::Announce(engine) => {
                self.schedule(self.now + ANNOUNCE_INTERVAL_US, Event::Announce(engine));
                let state = &self.engines[engine];
                if self.now < self.down_until[engine].max(state.frozen_until) {
                    return;
                }
                let announcement =
                    announcement(engine, state.incarnation, state.speed, self.reports[engine]);
                let (running, waiting) = state.load();
                self.reports[engine] = Load { running, waiting, kv_used: 0.0 };
                let commands = self.policy.announce(now, announcement);
                self.execute(commands);
            }
            Event::Tick => {
                self.schedule(self.now + TICK_INTERVAL_US, Event::Tick);
                self.check_progress();
                let commands = self.policy.tick(now);
                self.execute(commands);
            }
            Event::Crash(engine) => self.crash(engine),
            Event::Freeze(engine, until) => self.engines[engine].frozen_until = until,
            Event::OwnerDies => self.policy.fail_over(now),
        }
    }

    fn acquire(&mut self, job: usize, avoid: Vec<id::Endpoint>) {
        self.next += 1;
        let ticket = self.next;
        let (source, _) = &self.jobs[job];
        let mut request = source.request.clone();
        let waited = Millis((self.now - source.arrived) / 1_000);
        request.attempt = id::Attempt(ticket.into());
        request.remaining = request.remaining - waited;
        request.waited = waited;
        request.avoid = avoid;
        self.tickets.insert(ticket, (job, request.clone()));
        let commands = self.policy.acquire(self.millis(), ticket, request);
        self.execute(commands);
    }

    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Start { ticket, engine, bounds } => self.start(ticket, engine, bounds),
                Command::Refuse { ticket } => {
                    if let Some((job, _)) = self.tickets.remove(&ticket) {
                        self.finish(job, Outcome::Refused);
                    }
                }
                Command::Preempt { attempt } => {
                    let Some(active) = self.active.get(&attempt.0) else { continue };
                    if active.first.is_none() {
                        let job = active.job;
                        self.score.preempted += 1;
                        self.end(attempt.0, End::Abandoned);
                        self.acquire(job, Vec::new());
                    }
                }
            }
        }
    }

    fn start(&mut self, ticket: u64, engine: usize, bounds: (Millis, Millis)) {
        let Some((job, request)) = self.tickets.remove(&ticket) else { return };
        self.jobs[job].1 += 1;
        let attempt = request.attempt.0;
        let sequence = Sequence::new(
            attempt,
            request.prompt_tokens,
            self.jobs[job].0.output,
            request.prefix.clone(),
        );
        let (sent, last) = (self.now, self.now);
        let active =
            ActiveAttempt { job, engine, request, sent, first: None, last, tokens: 0, bounds };
        self.active.insert(attempt, active);
        if self.now < self.down_until[engine] {
            return self.fail(attempt, End::Unreachable);
        }
        self.engines[engine].admit(sequence);
        if self.pending[engine].is_none() {
            self.iterate(engine);
        }
    }

    fn iterate(&mut self, engine: usize) {
        self.pending[engine] = None;
        if self.engines[engine].is_idle() {
            return;
        }
        let (length, produced) = self.engines[engine].iterate();
        self.pending[engine] = Some(produced);
        self.schedule(self.now + length, Event::IterationEnd(engine, self.generation[engine]));
    }

    fn end_iteration(&mut self, engine: usize) {
        if self.now < self.engines[engine].frozen_until {
            let until = self.engines[engine].frozen_until;
            return self.schedule(until, Event::IterationEnd(engine, self.generation[engine]));
        }
        // The empty placeholder keeps requests that start in this function from beginning a second,
        // concurrent iteration.
        let Some(produced) = self.pending[engine].replace(Produced::default()) else { return };
        let mut poisoned = false;
        for attempt in produced.tokens {
            let Some(active) = self.active.get_mut(&attempt) else { continue };
            poisoned |= self.jobs[active.job].0.poison;
            active.first = active.first.or(Some(self.now));
            active.last = self.now;
            active.tokens += 1;
        }
        if poisoned {
            return self.crash(engine);
        }
        for sequence in produced.done {
            if self.active.contains_key(&sequence.attempt) {
                self.complete(sequence.attempt);
            } else {
                self.score.wasted_prefill_tokens += u64::from(sequence.prefilled);
            }
        }
        self.iterate(engine);
    }

    fn complete(&mut self, attempt: u128) {
        let active = &self.active[&attempt];
        let (job, request) = (active.job, &active.request);
        let first = active.first.unwrap_or(self.now) - self.jobs[job].0.arrived;
        let pace =
            (self.now - active.first.unwrap_or(self.now)) / u64::from(active.tokens.max(2) - 1);
        let is_good =
            first / 1_000 <= request.first_token.0 && pace / 1_000 <= request.between_tokens.0;
        self.score.answered_prompt_tokens += u64::from(request.prompt_tokens);
        self.end(attempt, End::Finished);
        self.finish(job, if is_good { Outcome::Good } else { Outcome::Late });
    }

    /// Removes an attempt from its engine and reports its end to the policy.
    fn end(&mut self, attempt: u128, end: End) {
        let Some(active) = self.active.remove(&attempt) else { return };
        if let Some(sequence) = self.engines[active.engine].cancel(attempt) {
            self.score.wasted_prefill_tokens += u64::from(sequence.prefilled);
        }
        let report = Report {
            end,
            first_token: active.first.map(|first| Millis((first - active.sent) / 1_000)),
            stream: Millis(active.first.map_or(0, |first| (active.last - first) / 1_000)),
            output_tokens: active.tokens,
            prompt_tokens: active.request.prompt_tokens,
        };
        let commands = self.policy.release(self.millis(), &active.request, report);
        self.execute(commands);
    }

    /// Ends a failed attempt and retries the request if the policy allows it.
    fn fail(&mut self, attempt: u128, end: End) {
        let Some(active) = self.active.get(&attempt) else { return };
        let (job, tokens) = (active.job, active.tokens);
        let request = active.request.clone();
        let name = name(active.engine);
        self.end(attempt, end);
        if self.policy.should_retry(&request, self.jobs[job].1, end, tokens) {
            let mut avoid = request.avoid;
            avoid.push(name.as_str().into());
            self.acquire(job, avoid);
        } else {
            self.finish(job, Outcome::Failed);
        }
    }

    fn crash(&mut self, engine: usize) {
        self.score.crashes += 1;
        self.generation[engine] += 1;
        self.pending[engine] = None;
        self.down_until[engine] = self.now + RESTART_US;
        for sequence in self.engines[engine].crash() {
            self.score.wasted_prefill_tokens += u64::from(sequence.prefilled);
        }
        let lost = self.active.iter().filter(|(_, active)| active.engine == engine);
        let lost: Vec<_> = lost.map(|(attempt, _)| *attempt).collect();
        for attempt in lost {
            self.fail(attempt, End::Broken);
        }
    }

    fn check_progress(&mut self) {
        let now = self.now;
        let mut expired = Vec::new();
        for (attempt, active) in &self.active {
            let arrived = self.jobs[active.job].0.arrived;
            let deadline = arrived + self.jobs[active.job].0.request.remaining.0 * 1_000;
            let (first, between) = active.bounds;
            let bound = if active.first.is_none() { first } else { between };
            if deadline <= now {
                expired.push((*attempt, End::Abandoned));
            } else if bound.0 * 1_000 < now - active.last {
                expired.push((*attempt, End::Silent));
            }
        }
        for (attempt, end) in expired {
            if end == End::Silent {
                self.fail(attempt, end);
            } else if let Some(active) = self.active.get(&attempt) {
                let job = active.job;
                self.end(attempt, end);
                self.finish(job, Outcome::Failed);
            }
        }
    }

    fn finish(&mut self, job: usize, outcome: Outcome) {
        let (job, attempts) = &mut self.jobs[job];
        if *attempts == u32::MAX {
            return;
        }
        *attempts = u32::MAX;
        if MEASURED_ARRIVALS_US.contains(&job.arrived) && !job.poison {
            self.score.end(job.request.tier.index(), outcome);
        }
    }
}
