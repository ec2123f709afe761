//! Simulation of one move in one fleet in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
};

use fastrand::Rng;
use wasabi_protocol::{
    clock::Millis,
    command::{Move, Plan, Stage},
    contract::Tier,
    endpoint::Kind,
    fingerprint::Body,
    id,
    request::{End, Report},
};
use wasabi_rollout::{
    credit::{self, Placement, Side},
    decision::{self, EndpointCounts},
    evidence::Observation,
    stop::Monitor,
};
use wasabi_routing::quarantine::{Permit, Table};

use crate::fleet::{Fault, Fleet, MOVE, WATCH};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rule {
    /// The policy of this crate.
    Policy,
    /// A fixed 10% canary with an error threshold.
    Baseline,
}

#[derive(Debug, Default, Clone)]
pub(crate) struct Outcome {
    pub(crate) stage: Option<Stage>,
    pub(crate) moved: Option<Millis>,
    pub(crate) ended: Millis,
    pub(crate) first_fault: Option<Millis>,
    /// Requests that started on the new version.
    pub(crate) served: u64,
    /// Requests on the new version that failed or were slowed down.
    pub(crate) affected: u64,
    pub(crate) total: u64,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    route: usize,
    prompt: f64,
    output: f64,
    fingerprint: Body,
}

struct Job {
    request: Request,
    endpoint: usize,
    load: f64,
    cached: u32,
    report: Report,
    crashes: bool,
    slowed: bool,
}

struct Endpoint {
    id: id::Endpoint,
    side: Side,
    fast: bool,
    dead_until: Millis,
    jobs: Vec<u64>,
}

pub(crate) struct Sim<'a> {
    fleet: &'a Fleet,
    fault: Fault,
    rule: Rule,
    rng: Rng,
    now: Millis,
    endpoints: Vec<Endpoint>,
    jobs: HashMap<u64, Job>,
    ends: BinaryHeap<Reverse<(u64, u64)>>,
    queue: VecDeque<Request>,
    issued: u64,
    routes: Vec<id::Route>,
    order: Move,
    monitor: Monitor,
    credits: credit::RouteCredits,
    evidence: decision::RolloutEvidence,
    quarantine: Table,
    /// Requests and errors on the new version, for [`Rule::Baseline`].
    canary: (u64, u64),
    outcome: Outcome,
}

impl<'a> Sim<'a> {
    pub(crate) fn new(fleet: &'a Fleet, fault: Fault, rule: Rule, seed: u64) -> Self {
        let endpoint = |index: usize| {
            let side = if index < fleet.replicas { Side::Old } else { Side::New };
            Endpoint {
                id: format!("e{index}").as_str().into(),
                side,
                fast: index.is_multiple_of(2),
                dead_until: Millis::ZERO,
                jobs: Vec::new(),
            }
        };
        let plan = Plan {
            name: "move".into(),
            kind: Kind::Model,
            backend: "model".into(),
            from: "v1".into(),
            to: "v2".into(),
            finish_by: MOVE,
            start_permille: 10,
            watch: WATCH,
        };
        let stage = Stage::Share(if rule == Rule::Policy { 10 } else { 100 });
        let routes = fleet.routes.len();
        Self {
            fleet,
            fault,
            rule,
            rng: Rng::with_seed(seed),
            now: Millis::ZERO,
            endpoints: (0..2 * fleet.replicas).map(endpoint).collect(),
            jobs: HashMap::new(),
            ends: BinaryHeap::new(),
            queue: VecDeque::new(),
            issued: 0,
            routes: fleet.routes.iter().map(|route| route.0.into()).collect(),
            order: Move {
                plan,
                stage,
                reason: String::new(),
                started: Millis::ZERO,
                changed: Millis::ZERO,
            },
            monitor: Monitor::new(routes),
            credits: credit::RouteCredits::new(stage, fleet.concurrency as u32),
            evidence: decision::RolloutEvidence::new(routes),
            quarantine: Table::default(),
            canary: (0, 0),
            outcome: Outcome::default(),
        }
    }

    pub(crate) fn run(mut self) -> Outcome {
        let (mut arrival, mut tick, mut poison) = (0, 0, 60_000);
        while !self.order.stage.is_final() && self.now.0 < 2 * (MOVE.0 + WATCH.0) {
            let end = self.ends.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
            self.now = Millis(arrival.min(end).min(tick));
            if end <= self.now.0 {
                let Some(Reverse((_, job))) = self.ends.pop() else { continue };
                self.end(job);
            } else if tick <= self.now.0 {
                tick += 500;
                self.tick();
                if self.fault == Fault::Deaths {
                    // Each endpoint dies once in two hours on average.
                    for endpoint in 0..self.endpoints.len() {
                        if self.rng.f64() < 0.5 / 7_200.0 {
                            self.crash(endpoint, None);
                        }
                    }
                }
                if self.fault == Fault::Poison && poison <= self.now.0 {
                    poison += 15_000;
                    let request = self.request();
                    self.arrive(Request { fingerprint: Body(0), ..request });
                }
            } else {
                let burst = if self.now.0 % 60_000 < 10_000 { 1.6 } else { 0.9 };
                let gap = -(1.0 - self.rng.f64()).ln() * 1_000.0 / (self.fleet.per_s * burst);
                arrival += gap.ceil() as u64;
                let request = self.request();
                self.arrive(request);
            }
        }
        self.outcome.stage = Some(self.order.stage);
        self.outcome.ended = self.now;
        self.outcome
    }

    fn request(&mut self) -> Request {
        let mut remaining = self.rng.f64();
        let picked = self.fleet.routes.iter().position(|route| {
            remaining -= route.2;
            remaining < 0.0
        });
        let route = picked.unwrap_or(0);
        let (_, _, _, prompt, output) = self.fleet.routes[route];
        Request {
            route,
            prompt: prompt * 100_f64.powf(self.rng.f64()),
            output: output * 100_f64.powf(self.rng.f64()),
            fingerprint: Body(self.rng.u64(1..)),
        }
    }

    fn arrive(&mut self, request: Request) {
        match self.quarantine.permit(self.now, request.fingerprint) {
            Permit::Refused { .. } => {}
            Permit::Free if !self.dispatch(request) => self.queue.push_back(request),
            Permit::Free => {}
            Permit::Alone | Permit::Wait => {
                let idle = self.endpoints.iter().position(|endpoint| {
                    endpoint.side == Side::Old
                        && endpoint.jobs.is_empty()
                        && endpoint.dead_until <= self.now
                });
                if let Some(endpoint) = idle {
                    self.start(request, endpoint);
                } else {
                    self.dispatch(request);
                }
            }
        }
    }

    fn dispatch(&mut self, request: Request) -> bool {
        let tier = Tier(self.fleet.routes[request.route].1);
        let name = &self.routes[request.route];
        let side = match (self.rule, self.order.stage) {
            (Rule::Policy, _) if self.monitor.stop_reason().is_some() => Side::Old,
            (Rule::Policy, _) => self.credits.choose_side(name, tier, self.monitor.verdict(name)),
            (Rule::Baseline, Stage::Share(permille)) if permille <= self.rng.u32(..1_000) => {
                Side::Old
            }
            (Rule::Baseline, _) => Side::New,
        };
        let other = if side == Side::Old { Side::New } else { Side::Old };
        let endpoint = self.pick(side, tier).or_else(|| {
            if side == Side::New {
                self.credits.refund(&self.routes[request.route]);
            }
            // An unproven version does not take load for which the old one has no capacity.
            (other == Side::Old).then(|| self.pick(other, tier)).flatten()
        });
        endpoint.map(|endpoint| self.start(request, endpoint)).is_some()
    }

    fn pick(&mut self, side: Side, tier: Tier) -> Option<usize> {
        let fleet = self.fleet;
        let active = match self.rule {
            Rule::Policy => {
                credit::replica_limit(self.order.stage, fleet.replicas).min(fleet.replicas)
            }
            Rule::Baseline => fleet.replicas,
        };
        let packs =
            self.rule == Rule::Policy && self.credits.placement(side, tier) == Placement::Pack;
        let range = if side == Side::Old {
            0..fleet.replicas
        } else {
            fleet.replicas..fleet.replicas + active
        };
        range
            .filter(|&index| {
                let endpoint = &self.endpoints[index];
                endpoint.jobs.len() < fleet.concurrency && endpoint.dead_until <= self.now
            })
            .min_by_key(|&index| {
                let jobs = self.endpoints[index].jobs.len();
                (if packs { fleet.concurrency - jobs } else { jobs }, self.rng.u32(..))
            })
    }

    fn start(&mut self, request: Request, endpoint: usize) {
        let routes = self.fleet.routes.len();
        let chosen = &mut self.endpoints[endpoint];
        let load = chosen.jobs.len() as f64 / self.fleet.concurrency as f64;
        let (fails, slowdown) =
            self.fault.effect(chosen.side, request.route, routes, load, self.now);
        let noise = (0.15 * (self.rng.f64() + self.rng.f64() + self.rng.f64() - 1.5)).exp();
        let factor = noise * slowdown * (1.0 + 0.8 * load) * if chosen.fast { 1.0 } else { 1.5 };
        let is_warm = self.fault == Fault::ColdCache && chosen.side == Side::Old;
        let cached = if is_warm { 0.8 * request.prompt } else { 0.0 };
        let first = 15.0 + factor * (request.prompt - cached) / 4.0;
        let stream = factor * 14.0 * request.output;
        let crashes = request.fingerprint == Body(0)
            || (self.fault == Fault::Crashes && chosen.side == Side::New && self.rng.f64() < 0.02);
        let failed = self.rng.f64() < fails;
        let cut = if failed || crashes { self.rng.f64() } else { 1.0 };
        let report = Report {
            end: if failed { End::Failed } else { End::Finished },
            first_token: Some(Millis(first as u64)),
            stream: Millis((stream * cut) as u64),
            output_tokens: request.output as u32,
            prompt_tokens: request.prompt as u32,
        };
        let slowed = 1.0 < slowdown;
        self.issued += 1;
        self.ends.push(Reverse((self.now.0 + (first + stream * cut) as u64, self.issued)));
        chosen.jobs.push(self.issued);
        if chosen.side == Side::New {
            self.outcome.served += 1;
        }
        self.outcome.total += 1;
        let cached = cached as u32;
        self.jobs
            .insert(self.issued, Job { request, endpoint, load, cached, report, crashes, slowed });
    }

    fn end(&mut self, number: u64) {
        let Some(job) = self.jobs.remove(&number) else { return };
        let endpoint = job.endpoint;
        self.endpoints[endpoint].jobs.retain(|other| *other != number);
        if job.crashes {
            self.crash(endpoint, Some(job));
        } else {
            self.quarantine.record_finish(self.now, job.request.fingerprint);
            self.report(&job);
        }
        while let Some(request) = self.queue.pop_front() {
            if !self.dispatch(request) {
                self.queue.push_front(request);
                break;
            }
        }
    }

    /// Ends all requests of an endpoint, including the one that caused the crash, if any.
    fn crash(&mut self, endpoint: usize, cause: Option<Job>) {
        let others = std::mem::take(&mut self.endpoints[endpoint].jobs);
        self.endpoints[endpoint].dead_until = self.now + Millis::from_secs(10);
        let mut lost =
            others.into_iter().filter_map(|other| self.jobs.remove(&other)).collect::<Vec<_>>();
        lost.extend(cause);
        let organisation = id::Organisation::from("o");
        let batch =
            lost.iter().map(|job| (job.request.fingerprint, &organisation)).collect::<Vec<_>>();
        self.quarantine.record_crash(self.now, &batch);
        for mut job in lost {
            job.report.end = End::Broken;
            self.report(&job);
        }
    }

    fn report(&mut self, job: &Job) {
        let endpoint = &self.endpoints[job.endpoint];
        let failed = job.report.end != End::Finished;
        if endpoint.side == Side::New {
            if failed || job.slowed {
                self.outcome.first_fault.get_or_insert(self.now);
                self.outcome.affected += 1;
            }
            self.canary.0 += 1;
            self.canary.1 += u64::from(failed);
        }
        if self.rule == Rule::Policy {
            let observation = Observation {
                route: &self.routes[job.request.route],
                side: endpoint.side,
                endpoint: &endpoint.id,
                hardware: if endpoint.fast { "fast" } else { "slow" },
                fingerprint: job.request.fingerprint,
                load: job.load,
                queued_prompt_tokens: 0,
                report: &job.report,
            };
            self.monitor.observe_cached(self.now, observation, job.cached);
        }
    }

    fn tick(&mut self) {
        let next = match self.rule {
            Rule::Policy => {
                let quarantine = &self.quarantine;
                self.monitor.settle_losses(self.now, |request| {
                    quarantine.is_quarantined(self.now, request)
                });
                let plan = &self.order.plan;
                let evidence = self.monitor.take_evidence(&plan.name, &plan.from, &plan.to);
                self.evidence.add(self.now, plan, &evidence);
                let supply =
                    EndpointCounts { new: self.fleet.replicas, required: self.fleet.replicas };
                decision::decide(self.now, &self.order, &self.evidence, supply)
                    .map(|next| next.stage)
            }
            Rule::Baseline => self.baseline(),
        };
        let Some(stage) = next else { return };
        if matches!(stage, Stage::Watching { .. }) {
            self.outcome.moved = Some(self.now);
        }
        self.order.stage = stage;
        self.order.changed = self.now;
        self.credits.set_stage(stage, self.fleet.concurrency as u32);
    }

    /// Returns the next stage by [`Rule::Baseline`]: a tenth of all requests for half of the time,
    /// then all of them. It rolls back at more than 2% errors in about the last 500 requests, from
    /// 50 requests on.
    fn baseline(&mut self) -> Option<Stage> {
        let (requests, errors) = self.canary;
        if 500 <= requests {
            self.canary = (requests / 2, errors / 2);
        }
        if 50 <= requests && 0.02 < errors as f64 / requests as f64 {
            return Some(Stage::TakenBack);
        }
        match self.order.stage {
            Stage::Share(_) if MOVE.0 / 2 <= self.now.0 => {
                Some(Stage::Watching { until: self.now + WATCH })
            }
            Stage::Watching { until } if until <= self.now => Some(Stage::Done),
            _ => None,
        }
    }
}
