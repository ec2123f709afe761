//! One run in virtual time: requests, engines, faults, and a policy that decides.

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

/// The requests that arrive in this span are counted, in microseconds.
const COUNTED: std::ops::Range<u64> = 10_000_000..80_000_000;
const ARRIVALS_END: u64 = 130_000_000;
const END: u64 = 290_000_000;
const TICK: u64 = 50_000;
const ANNOUNCE: u64 = 1_000_000;
const RESTART: u64 = 5_000_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Iterated(usize, u64),
    Announce(usize),
    Tick,
    Crash(usize),
    Freeze(usize, u64),
    OwnerDies,
}

struct Live {
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
    live: BTreeMap<u128, Live>,
    tickets: BTreeMap<u64, (usize, Request)>,
    next: u64,
    heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    now: u64,
    score: Score,
}

/// Runs a policy under a load in requests per second and returns its score.
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
        live: BTreeMap::new(),
        tickets: BTreeMap::new(),
        next: 0,
        heap: BinaryHeap::new(),
        now: 0,
        score: Score::default(),
    };
    run.prepare(user, rate, faults, seed);
    while let Some(Reverse((at, _, event))) = run.heap.pop()
        && at < END
    {
        run.now = at;
        run.handle(event);
    }
    for job in 0..run.jobs.len() {
        run.finish(job, Outcome::Failed);
    }
    run.score.read = run.engines.iter().map(|engine| engine.read_tokens).sum();
    run.score
}

impl<P: Policy> Run<'_, P> {
    fn prepare(&mut self, user: User, rate: f64, faults: &[Fault], seed: u64) {
        let mut rng = Rng::with_seed(seed);
        let has = |fault| faults.contains(&fault);
        let mut at = 0.0;
        while (at as u64) < ARRIVALS_END {
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
            self.schedule(rng.u64(..ANNOUNCE), Event::Announce(index));
            if has(Fault::Straggle) && index % 10 == 3 {
                self.engines[index].slow = 4.0;
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
        self.heap.push(Reverse((at, self.next, event)));
    }

    fn millis(&self) -> Millis {
        Millis(self.now / 1_000)
    }

    fn handle(&mut self, event: Event) {
        let now = self.millis();
        match event {
            Event::Arrive(job) => self.acquire(job, Vec::new()),
            Event::Iterated(engine, generation) if generation == self.generation[engine] => {
                self.iterated(engine);
            }
            Event::Iterated(..) => {}
            Event::Announce(engine) => {
                self.schedule(self.now + ANNOUNCE, Event::Announce(engine));
                let state = &self.engines[engine];
                if self.now < self.down_until[engine].max(state.frozen_until) {
                    return;
                }
                let announcement =
                    announcement(engine, state.incarnation, state.speed, self.reports[engine]);
                let (running, waiting) = state.load();
                self.reports[engine] = Load { running, waiting, kv_used: 0.0 };
                let commands = self.policy.announce(now, announcement);
                self.obey(commands);
            }
            Event::Tick => {
                self.schedule(self.now + TICK, Event::Tick);
                self.check_progress();
                let commands = self.policy.tick(now);
                self.obey(commands);
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
        self.obey(commands);
    }

    fn obey(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Start { ticket, engine, bounds } => self.start(ticket, engine, bounds),
                Command::Refuse { ticket } => {
                    if let Some((job, _)) = self.tickets.remove(&ticket) {
                        self.finish(job, Outcome::Refused);
                    }
                }
                Command::Preempt { attempt } => {
                    let Some(live) = self.live.get(&attempt.0) else { continue };
                    if live.first.is_none() {
                        let job = live.job;
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
        let live = Live { job, engine, request, sent, first: None, last, tokens: 0, bounds };
        self.live.insert(attempt, live);
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
        self.schedule(self.now + length, Event::Iterated(engine, self.generation[engine]));
    }

    fn iterated(&mut self, engine: usize) {
        if self.now < self.engines[engine].frozen_until {
            let until = self.engines[engine].frozen_until;
            return self.schedule(until, Event::Iterated(engine, self.generation[engine]));
        }
        // Requests that start meanwhile must not begin a second iteration beside the next one.
        let Some(produced) = self.pending[engine].replace(Produced::default()) else { return };
        let mut poisoned = false;
        for attempt in produced.tokens {
            let Some(live) = self.live.get_mut(&attempt) else { continue };
            poisoned |= self.jobs[live.job].0.poison;
            live.first = live.first.or(Some(self.now));
            live.last = self.now;
            live.tokens += 1;
        }
        if poisoned {
            return self.crash(engine);
        }
        for sequence in produced.done {
            if self.live.contains_key(&sequence.attempt) {
                self.complete(sequence.attempt);
            } else {
                self.score.wasted += u64::from(sequence.read);
            }
        }
        self.iterate(engine);
    }

    fn complete(&mut self, attempt: u128) {
        let live = &self.live[&attempt];
        let (job, request) = (live.job, &live.request);
        let first = live.first.unwrap_or(self.now) - self.jobs[job].0.arrived;
        let pace = (self.now - live.first.unwrap_or(self.now)) / u64::from(live.tokens.max(2) - 1);
        let is_good =
            first / 1_000 <= request.first_token.0 && pace / 1_000 <= request.between_tokens.0;
        self.score.sent += u64::from(request.prompt_tokens);
        self.end(attempt, End::Finished);
        self.finish(job, if is_good { Outcome::Good } else { Outcome::Late });
    }

    /// Takes an attempt off its engine and reports it.
    fn end(&mut self, attempt: u128, end: End) {
        let Some(live) = self.live.remove(&attempt) else { return };
        if let Some(sequence) = self.engines[live.engine].cancel(attempt) {
            self.score.wasted += u64::from(sequence.read);
        }
        let report = Report {
            end,
            first_token: live.first.map(|first| Millis((first - live.sent) / 1_000)),
            stream: Millis(live.first.map_or(0, |first| (live.last - first) / 1_000)),
            output_tokens: live.tokens,
            prompt_tokens: live.request.prompt_tokens,
        };
        let commands = self.policy.release(self.millis(), &live.request, report);
        self.obey(commands);
    }

    /// Ends an attempt that failed, and sends the request again when the policy says so.
    fn fail(&mut self, attempt: u128, end: End) {
        let Some(live) = self.live.get(&attempt) else { return };
        let (job, tokens) = (live.job, live.tokens);
        let request = live.request.clone();
        let name = name(live.engine);
        self.end(attempt, end);
        if self.policy.retries(&request, self.jobs[job].1, end, tokens) {
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
        self.down_until[engine] = self.now + RESTART;
        for sequence in self.engines[engine].crash() {
            self.score.wasted += u64::from(sequence.read);
        }
        let lost = self.live.iter().filter(|(_, live)| live.engine == engine);
        let lost: Vec<_> = lost.map(|(attempt, _)| *attempt).collect();
        for attempt in lost {
            self.fail(attempt, End::Broken);
        }
    }

    fn check_progress(&mut self) {
        let now = self.now;
        let mut late = Vec::new();
        for (attempt, live) in &self.live {
            let arrived = self.jobs[live.job].0.arrived;
            let deadline = arrived + self.jobs[live.job].0.request.remaining.0 * 1_000;
            let (first, between) = live.bounds;
            let bound = if live.first.is_none() { first } else { between };
            if deadline <= now {
                late.push((*attempt, End::Abandoned));
            } else if bound.0 * 1_000 < now - live.last {
                late.push((*attempt, End::Silent));
            }
        }
        for (attempt, end) in late {
            if end == End::Silent {
                self.fail(attempt, end);
            } else if let Some(live) = self.live.get(&attempt) {
                let job = live.job;
                self.end(attempt, end);
                self.finish(job, Outcome::Failed);
            }
        }
    }

    fn finish(&mut self, job: usize, outcome: Outcome) {
        let (job, tries) = &mut self.jobs[job];
        if *tries == u32::MAX {
            return;
        }
        *tries = u32::MAX;
        if COUNTED.contains(&job.arrived) && !job.poison {
            self.score.end(job.request.tier.index(), outcome);
        }
    }
}
