//! The way of a request that is passed on: read, acquire, send, answer; and the retries.

use std::rc::Rc;

use actix_http::{
    HttpMessage as _, Request, Response, StatusCode,
    body::{BodyStream, BoxBody},
};
use bytes::Bytes;
use tokio::sync::oneshot;
use wasabi_protocol::{
    clock::Millis,
    fault::{Fault, Kind, Ran},
    id,
    request::End,
};

use crate::{
    callers::server::Worker,
    dispatch::grant::GrantGuard,
    forward::{
        call::{Call, request_id},
        dialect::Dialect,
        relay::{self, Relay},
        response, send,
    },
    opened::{Failure, Opened},
    shared::new_attempt,
};

/// Attempts beyond the route's own bound that may end without a run.
const REFUSED_MAX: u32 = 2;

/// Serves a request from its head to the start of its answer.
pub(crate) async fn serve(
    worker: Rc<Worker>,
    dialect: Rc<Dialect>,
    mut request: Request,
) -> Response<BoxBody> {
    let shared = &worker.shared;
    let open = shared.open();
    if let Err(fault) = shared.check_serving() {
        return refuse_unread(&worker, request_id(request.headers(), &dialect), &fault);
    }
    let call = match Call::read(shared, &dialect, &mut request).await {
        Ok(call) => Rc::new(call),
        Err(fault) => {
            return refuse_unread(&worker, request_id(request.headers(), &dialect), &fault);
        }
    };
    if let Err(fault) = shared.check_time_left(&call.route.name, call.deadline) {
        return refuse(&worker, &call, &fault);
    }
    let mut attempts = Attempts::new(Rc::clone(&worker), dialect, call);
    match attempts.run().await {
        Outcome::Stream(begun) => {
            let (opened, held) = *begun;
            let (status, headers) = (opened.status, opened.headers.clone());
            let relay = Relay::new(attempts, opened, held, open);
            response::from_endpoint(
                status,
                &headers,
                BodyStream::new(Box::pin(relay::stream(relay))),
            )
        }
        Outcome::Whole(status, headers, body) => response::from_endpoint(status, &headers, body),
        Outcome::Refused(fault) => refuse(&worker, &attempts.call, &fault),
    }
}

/// How a request was answered.
pub(crate) enum Outcome {
    /// A stream of events has begun.
    Stream(Box<(Opened, GrantGuard)>),
    /// The answer is whole.
    Whole(StatusCode, actix_http::header::HeaderMap, Bytes),
    /// There is no answer of an endpoint.
    Refused(Fault),
}

/// The attempts of one request.
pub(crate) struct Attempts {
    pub(crate) worker: Rc<Worker>,
    pub(crate) dialect: Rc<Dialect>,
    pub(crate) call: Rc<Call>,
    avoid: Vec<id::Endpoint>,
    /// Attempts that ran or may have run.
    ran: u32,
    /// Attempts that did not run.
    refused: u32,
    /// The last failure after which the request may have run. A later refusal must not say
    /// "not run" any more.
    failure: Option<Fault>,
    /// An endpoint's own error, passed on when no other attempt gives a better answer.
    error: Option<(StatusCode, actix_http::header::HeaderMap, Bytes)>,
}

/// How one attempt went.
enum Attempted {
    Done(Outcome),
    Failed(Failure),
    /// The owner took the grant back before the first token.
    Preempted,
}

impl Attempts {
    fn new(worker: Rc<Worker>, dialect: Rc<Dialect>, call: Rc<Call>) -> Self {
        Self {
            worker,
            dialect,
            call,
            avoid: Vec::new(),
            ran: 0,
            refused: 0,
            failure: None,
            error: None,
        }
    }

    /// Runs attempts until one is answered or no other is allowed.
    async fn run(&mut self) -> Outcome {
        loop {
            let (held, preempted) = match self.acquire(self.call.arrived).await {
                Ok(granted) => granted,
                Err(refusal) => return self.give_up(refusal),
            };
            let endpoint = held.grant().endpoint.clone();
            match self.one(held, preempted).await {
                Attempted::Done(outcome) => return outcome,
                Attempted::Preempted => {
                    let message = "the request was taken back for a more urgent one";
                    self.failure = Some(Fault::new(Kind::EndpointFailed, message));
                }
                Attempted::Failed(failure) => {
                    if !self.may_repeat(&failure) {
                        return self.give_up(failure.fault);
                    }
                    self.avoid.push(endpoint);
                }
            }
        }
    }

    /// Acquires a grant to go on after the last event that the caller has. Without an event of this
    /// answer, that is the one that the caller named itself.
    ///
    /// # Errors
    ///
    /// Returns why the stream is not resumed.
    pub(crate) async fn resume(
        &mut self,
        endpoint: id::Endpoint,
        failure: Failure,
        last_event: Option<&str>,
    ) -> Result<(Opened, GrantGuard), Fault> {
        let mut failure = failure;
        let mut endpoint = endpoint;
        loop {
            if !self.call.is_resumable() || !self.may_repeat(&failure) {
                return Err(failure.fault);
            }
            self.avoid.push(endpoint);
            // The caller has just had an event, so its patience begins anew.
            let silent_since = self.worker.shared.clock.now();
            let (mut held, _preempted) = self.acquire(silent_since).await?;
            self.worker.shared.metrics.resumes.inc();
            held.mark_sent();
            let bound = held.grant().first_token_bound;
            let grant = held.grant().clone();
            let sent =
                send::send(&self.worker, &self.dialect, &self.call, &grant, last_event, bound);
            match sent.await {
                Ok(opened) if opened.is_stream() => return Ok((opened, held)),
                Ok(opened) => {
                    held.end(End::Failed);
                    let message = format!("the endpoint did not resume: {}", opened.status);
                    failure = Failure::new(End::Failed, Kind::StreamBroken, message);
                }
                Err(other) => {
                    held.end(other.end);
                    failure = other;
                }
            }
            endpoint = grant.endpoint;
        }
    }

    /// Waits for a grant of the pool's owner; the caller has had nothing since `silent_since`.
    async fn acquire(
        &self,
        silent_since: Millis,
    ) -> Result<(GrantGuard, oneshot::Receiver<()>), Fault> {
        let (shared, call) = (&self.worker.shared, &self.call);
        let now = shared.clock.now();
        let mut request = call.request(now, new_attempt(), &self.avoid);
        if request.leaves_after != Millis::ZERO {
            request.leaves_after = request.leaves_after + silent_since.since(call.arrived);
        }
        let left = call.deadline.since(now).duration();
        let acquired = self.worker.handle.acquire(request.clone());
        let Ok(granted) = tokio::time::timeout(left, acquired).await else {
            let message = "the deadline passed while the request waited; nothing ran";
            return Err(Fault::new(Kind::DeadlineInQueue, message));
        };
        let granted = granted?;
        let held =
            GrantGuard::new(self.worker.handle.clone(), shared.clock, granted.grant, &request);
        let waited = shared.clock.now().since(now);
        shared.metrics.queue_time.get_or_create(&call.tier.into()).observe(waited.seconds());
        let grant = held.grant();
        tracing::info!(
            request = call.id, endpoint = %grant.endpoint, owner = %grant.owner, tier = call.tier.0,
            organisation = %call.organisation, queued_ms = waited.0, tries = self.avoid.len(),
            "granted"
        );
        // The process may have been frozen since the request was admitted.
        shared.check_serving()?;
        Ok((held, granted.preempted))
    }

    /// Runs one attempt with its grant.
    async fn one(&mut self, mut held: GrantGuard, preempted: oneshot::Receiver<()>) -> Attempted {
        let metrics = &self.worker.shared.metrics;
        metrics.dispatches.get_or_create(&self.call.tier.into()).inc();
        held.mark_sent();
        let grant = held.grant().clone();
        // What must not run twice gains nothing from an early end.
        let bound = if self.call.is_resumable() {
            grant.first_token_bound.max(self.call.route.first_event)
        } else {
            self.call.deadline.since(self.call.arrived)
        };
        let sent = send::send(&self.worker, &self.dialect, &self.call, &grant, None, bound);
        let is_preemptible = self.call.is_repeatable();
        let sent = tokio::select! {
            biased;
            sent = sent => Some(sent),
            () = taken_back(preempted), if is_preemptible => None,
        };
        let Some(sent) = sent else { return Attempted::Preempted };
        let mut opened = match sent {
            Ok(opened) => opened,
            Err(failure) => return self.failed(held, failure),
        };
        if opened.is_stream() {
            return Attempted::Done(Outcome::Stream(Box::new((opened, held))));
        }
        held.record_progress(0);
        let deadline = send::deadline(&self.worker, &self.call);
        let bound = self.call.deadline.since(self.call.arrived).duration();
        let body = match opened.collect(deadline, bound, || ()).await {
            Ok(body) => body,
            Err(failure) => return self.failed(held, failure),
        };
        let Opened { status, headers, .. } = opened;
        if !status.is_server_error() {
            held.end(End::Finished);
            let call = &self.call;
            self.worker.shared.finished(call.tier, &call.route.name, call.arrived);
            return Attempted::Done(Outcome::Whole(status, headers, body));
        }
        let message = format!("the endpoint answered with {status}");
        self.error = Some((status, headers, body));
        self.failed(held, Failure::new(End::Failed, Kind::EndpointFailed, message))
    }

    fn failed(&mut self, held: GrantGuard, failure: Failure) -> Attempted {
        tracing::info!(
            request = self.call.id, endpoint = %held.grant().endpoint, end = ?failure.end,
            fault = %failure.fault, "attempt failed"
        );
        held.end(failure.end);
        Attempted::Failed(failure)
    }

    /// Counts a failed attempt and returns whether another one is allowed.
    fn may_repeat(&mut self, failure: &Failure) -> bool {
        let is_unrun = failure.fault.kind.answer().ran == Ran::NotRun;
        if is_unrun {
            self.refused += 1;
        } else {
            self.ran += 1;
            self.failure = Some(failure.fault.clone());
        }
        (is_unrun || self.call.is_repeatable())
            && self.ran < self.call.route.attempts_max.max(1)
            && self.refused <= REFUSED_MAX
            && failure.fault.kind != Kind::DeadlineRunning
            && self.worker.shared.clock.now() < self.call.deadline
    }

    /// Returns the final answer: an endpoint's own error, an earlier failure after which the
    /// request may have run, or the refusal.
    fn give_up(&mut self, refusal: Fault) -> Outcome {
        if let Some((status, headers, body)) = self.error.take() {
            return Outcome::Whole(status, headers, body);
        }
        Outcome::Refused(self.failure.take().unwrap_or(refusal))
    }
}

/// Resolves when the owner takes the grant back; a dropped sender only means that it will not.
async fn taken_back(preempted: oneshot::Receiver<()>) {
    if preempted.await.is_err() {
        std::future::pending().await
    }
}

/// Refuses a request that was read, with what decided it in the log.
fn refuse(worker: &Worker, call: &Call, fault: &Fault) -> Response<BoxBody> {
    let (request, organisation, tier) = (&call.id, &call.organisation, call.tier.0);
    let (kind, reason) = (fault.kind, &fault.message);
    let age_ms = worker.shared.clock.now().since(call.arrived).0;
    let retry_after_ms = response::retry_after(fault).map(|pause| pause.0);
    tracing::info!(request, %kind, %reason, %organisation, tier, age_ms, retry_after_ms, "refused");
    worker.shared.metrics.refused(fault.kind, None);
    response::from_fault(fault)
}

/// Refuses a request of which no more than the head was read.
fn refuse_unread(worker: &Worker, request: &str, fault: &Fault) -> Response<BoxBody> {
    tracing::info!(request, kind = %fault.kind, reason = %fault.message, "refused");
    worker.shared.metrics.refused(fault.kind, None);
    response::from_fault(fault)
}
