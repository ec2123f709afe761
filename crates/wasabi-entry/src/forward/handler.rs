//! Handles a request to the gateway: read, acquire a grant, send and respond, with retries.

use std::{convert::Infallible, rc::Rc, time::Duration};

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
    dispatch::grant::{self, GrantGuard},
    endpoint_response::{EndpointResponse, Failure},
    forward::{
        call::{Call, request_id},
        dialect::Dialect,
        relay::{self, Relay},
        response, send,
    },
    shared::{AtCut, Shared, new_attempt},
};

/// Most attempts per request that are repeated because they did not run. They do not count towards
/// the route's own limit.
const NOT_RUN_ATTEMPTS_MAX: u32 = 2;

/// Serves a request up to the start of the response.
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
    if let Err(fault) = check_time_left(shared, &call) {
        return refuse(&worker, &call, &fault);
    }
    let mut attempts = Attempts::new(Rc::clone(&worker), dialect, call);
    let outcome = tokio::select! {
        biased;
        outcome = attempts.run() => Some(outcome),
        () = shared.until_final_responses() => None,
    };
    match outcome.unwrap_or_else(|| attempts.stop()) {
        Outcome::Stream(started) => {
            let (opened, guard) = *started;
            let (status, headers) = (opened.status, opened.headers.clone());
            let relay = Relay::new(attempts, opened, guard, open);
            response::from_endpoint(
                status,
                &headers,
                BodyStream::new(Box::pin(relay::stream(relay))),
            )
        }
        Outcome::Complete(status, headers, body) => response::from_endpoint(status, &headers, body),
        Outcome::Refused(fault) => refuse(&worker, &attempts.call, &fault),
    }
}

/// The result of a request.
pub(crate) enum Outcome {
    /// A stream of events has started.
    Stream(Box<(EndpointResponse, GrantGuard)>),
    /// The response was received completely.
    Complete(StatusCode, actix_http::header::HeaderMap, Bytes),
    /// There is no response from an endpoint.
    Refused(Fault),
}

/// The attempts of one request.
pub(crate) struct Attempts {
    pub(crate) worker: Rc<Worker>,
    pub(crate) dialect: Rc<Dialect>,
    pub(crate) call: Rc<Call>,
    avoid: Vec<id::Endpoint>,
    /// Number of attempts that ran or may have run.
    ran_count: u32,
    /// Number of attempts that did not run.
    not_run_count: u32,
    /// The last failure after which the request may have run. A later refusal must then not report
    /// "not run".
    failure: Option<Fault>,
    /// Whether an attempt was sent and has not failed yet.
    is_sent: bool,
    /// An endpoint's own error response, returned when no other attempt gives a better one.
    error: Option<(StatusCode, actix_http::header::HeaderMap, Bytes)>,
}

/// A grant of an attempt, with the signal that its owner takes it back.
pub(crate) type Granted = (GrantGuard, oneshot::Receiver<()>);

/// The result of one attempt.
enum AttemptResult {
    Done(Outcome),
    Failed(Failure),
    /// The endpoint was silent, and this grant replaces its own.
    Replaced(Box<Granted>),
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
            ran_count: 0,
            not_run_count: 0,
            failure: None,
            is_sent: false,
            error: None,
        }
    }

    /// Runs attempts until one gives a response or no other is allowed.
    async fn run(&mut self) -> Outcome {
        let mut replacement = None;
        loop {
            let granted = match replacement.take() {
                Some(granted) => Ok(granted),
                None => self.acquire(self.call.arrived, &self.avoid).await,
            };
            let (guard, preempted) = match granted {
                Ok(granted) => granted,
                Err(refusal) => return self.give_up(refusal),
            };
            let endpoint = guard.grant().endpoint.clone();
            match self.run_attempt(guard, preempted).await {
                AttemptResult::Done(outcome) => return outcome,
                AttemptResult::Replaced(granted) => {
                    self.count(&silent_before_the_answer());
                    self.avoid.push(endpoint);
                    replacement = Some(*granted);
                }
                AttemptResult::Preempted => {
                    self.is_sent = false;
                    let message = "the grant was preempted by a more urgent request";
                    self.failure = Some(Fault::new(Kind::EndpointFailed, message));
                }
                AttemptResult::Failed(failure) => {
                    if !self.may_repeat(&failure) {
                        return self.give_up(failure.fault);
                    }
                    self.avoid.push(endpoint);
                }
            }
        }
    }

    /// Resumes a broken stream at another endpoint after the last event that the caller received.
    /// If this response sent no event yet, that is the event named in the caller's own request.
    ///
    /// # Errors
    ///
    /// Returns why the stream is not resumed.
    pub(crate) async fn resume(
        &mut self,
        endpoint: id::Endpoint,
        failure: Failure,
        last_event: Option<&str>,
    ) -> Result<(EndpointResponse, GrantGuard), Fault> {
        if !self.call.is_resumable() || !self.may_repeat(&failure) {
            return Err(failure.fault);
        }
        self.avoid.push(endpoint);
        // The caller has just received an event, so its waiting time starts anew.
        let silent_since = self.worker.shared.clock.now();
        let (guard, _preempted) = self.acquire(silent_since, &self.avoid).await?;
        self.resume_with(guard, last_event).await
    }

    /// Resumes a stream with a grant that replaces that of a silent endpoint, as in [`Self::resume`].
    ///
    /// # Errors
    ///
    /// Returns why the stream is not resumed.
    pub(crate) async fn resume_replaced(
        &mut self,
        endpoint: id::Endpoint,
        failure: &Failure,
        guard: GrantGuard,
        last_event: Option<&str>,
    ) -> Result<(EndpointResponse, GrantGuard), Fault> {
        self.count(failure);
        self.avoid.push(endpoint);
        self.resume_with(guard, last_event).await
    }

    async fn resume_with(
        &mut self,
        guard: GrantGuard,
        last_event: Option<&str>,
    ) -> Result<(EndpointResponse, GrantGuard), Fault> {
        self.worker.shared.metrics.resumes.inc();
        let mut guard = guard;
        guard.mark_sent();
        let grant = guard.grant().clone();
        let silent_after = grant.first_token_bound.duration();
        // Ending an attempt early only helps if another one may follow.
        let bound = if self.may_replace() {
            grant.first_token_bound
        } else {
            self.call.deadline.since(self.call.arrived)
        };
        let sent = send::send(&self.worker, &self.dialect, &self.call, &grant, last_event, bound);
        let sent = tokio::select! {
            biased;
            sent = sent => sent,
            never = mark_silent_after(silent_after, &guard) => match never {},
        };
        let failure = match sent {
            Ok(opened) if opened.is_stream() => return Ok((opened, guard)),
            Ok(opened) => {
                let message = format!(
                    "the endpoint responded to the resume with {} instead of an event stream",
                    opened.status
                );
                Failure::new(End::Failed, Kind::StreamBroken, message)
            }
            Err(failure) => failure,
        };
        guard.end(failure.end);
        Box::pin(self.resume(grant.endpoint, failure, last_event)).await
    }

    /// Returns whether a silent endpoint may be replaced by another one.
    pub(crate) fn may_replace(&self) -> bool {
        self.call.is_resumable()
            && self.ran_count + 1 < self.call.route.attempts_max.max(1)
            && self.worker.shared.clock.now() < self.call.deadline
    }

    /// Waits for a grant that may replace that of a silent endpoint. The caller has received nothing
    /// since `silent_since`.
    ///
    /// # Errors
    ///
    /// Returns why no other endpoint can be used now.
    pub(crate) async fn acquire_replacement(
        &self,
        silent: &id::Endpoint,
        silent_since: Millis,
    ) -> Result<Granted, Fault> {
        let mut avoid = self.avoid.clone();
        avoid.push(silent.clone());
        let granted = self.acquire(silent_since, &avoid).await;
        if let Err(fault) = &granted {
            let request = &self.call.id;
            tracing::info!(request, endpoint = %silent, %fault, "staying with a silent endpoint");
        }
        granted
    }

    /// Waits for a grant from the pool's owner. The caller has received nothing since
    /// `silent_since`.
    async fn acquire(
        &self,
        silent_since: Millis,
        avoid: &[id::Endpoint],
    ) -> Result<Granted, Fault> {
        let (shared, call) = (&self.worker.shared, &self.call);
        let now = shared.clock.now();
        let mut request = call.request(now, new_attempt(), avoid);
        if request.leaves_after != Millis::ZERO {
            request.leaves_after = request.leaves_after + silent_since.since(call.arrived);
        }
        let left = call.deadline.since(now).duration();
        let acquired = grant::acquire(&self.worker, request);
        let Ok(acquisition) = tokio::time::timeout(left, acquired).await else {
            let message = "the deadline passed while the request was queued; it did not run";
            return Err(Fault::new(Kind::DeadlineInQueue, message));
        };
        let grant::Acquisition { guard, preempted } = acquisition?;
        let waited = shared.clock.now().since(now);
        shared.metrics.queue_time.get_or_create(&call.tier.into()).observe(waited.seconds());
        let grant = guard.grant();
        // The drain of this entry may have started, or gone on, while the request was queued.
        check_time_left(shared, call)?;
        tracing::info!(
            request = call.id, endpoint = %grant.endpoint, owner = %grant.owner, tier = call.tier.0,
            organisation = %call.organisation, queued_ms = waited.0, tries = avoid.len(),
            "granted"
        );
        Ok((guard, preempted))
    }

    /// Runs one attempt under its grant.
    async fn run_attempt(
        &mut self,
        mut guard: GrantGuard,
        preempted: oneshot::Receiver<()>,
    ) -> AttemptResult {
        let metrics = &self.worker.shared.metrics;
        metrics.dispatches.get_or_create(&self.call.tier.into()).inc();
        guard.mark_sent();
        self.is_sent = true;
        let grant = guard.grant().clone();
        let bound = self.call.deadline.since(self.call.arrived);
        let sent = send::send(&self.worker, &self.dialect, &self.call, &grant, None, bound);
        let is_preemptible = self.call.is_repeatable();
        let opening = tokio::select! {
            biased;
            sent = sent => Opening::Answered(sent),
            () = preemption(preempted), if is_preemptible => Opening::Preempted,
            granted = self.replacement(&guard) => Opening::Replaced(granted),
        };
        let mut opened = match opening {
            Opening::Answered(Ok(opened)) => opened,
            Opening::Answered(Err(failure)) => return self.failed(guard, failure),
            Opening::Preempted => return AttemptResult::Preempted,
            Opening::Replaced(granted) => {
                let failure = silent_before_the_answer();
                self.log_failed(&guard, &failure);
                guard.end(failure.end);
                return AttemptResult::Replaced(Box::new(granted));
            }
        };
        if opened.is_stream() {
            return AttemptResult::Done(Outcome::Stream(Box::new((opened, guard))));
        }
        guard.record_progress(0);
        let deadline = send::deadline(&self.worker, &self.call);
        let bound = self.call.deadline.since(self.call.arrived).duration();
        let body = match opened.collect(&self.worker.shared.buffers, deadline, bound, || ()).await {
            Ok(body) => body,
            Err(failure) => return self.failed(guard, failure),
        };
        let EndpointResponse { status, headers, .. } = opened;
        if !status.is_server_error() {
            guard.end(End::Finished);
            let call = &self.call;
            self.worker.shared.finished(call.tier, &call.route.name, call.arrived);
            return AttemptResult::Done(Outcome::Complete(status, headers, body));
        }
        let message = format!("the endpoint responded with {status}");
        self.error = Some((status, headers, body));
        self.failed(guard, Failure::new(End::Failed, Kind::EndpointFailed, message))
    }

    /// Resolves with a grant that replaces the one in use once its endpoint has been silent for too long
    /// and another endpoint has room. Never resolves when no other endpoint may be used.
    async fn replacement(&self, guard: &GrantGuard) -> Granted {
        if !self.call.is_resumable() {
            std::future::pending::<()>().await;
        }
        let grant = guard.grant();
        let bound = grant.first_token_bound.max(self.call.route.first_event);
        loop {
            tokio::time::sleep(bound.duration()).await;
            guard.mark_silent();
            if !self.may_replace() {
                std::future::pending::<()>().await;
            }
            let granted = self.acquire_replacement(&grant.endpoint, self.call.arrived).await;
            if let Ok(granted) = granted {
                return granted;
            }
        }
    }

    fn log_failed(&self, guard: &GrantGuard, failure: &Failure) {
        tracing::info!(
            request = self.call.id, endpoint = %guard.grant().endpoint, end = ?failure.end,
            fault = %failure.fault, "attempt failed"
        );
    }

    fn failed(&mut self, guard: GrantGuard, failure: Failure) -> AttemptResult {
        self.log_failed(&guard, &failure);
        guard.end(failure.end);
        self.is_sent = false;
        AttemptResult::Failed(failure)
    }

    /// Returns the final result of a request that has no response when this entry stops.
    fn stop(&mut self) -> Outcome {
        let message = "this entry stopped before the endpoint responded";
        if self.is_sent {
            self.failure = Some(Fault::new(Kind::EndpointFailed, message));
        }
        self.give_up(Fault::new(Kind::EntryDraining, "this entry is stopping; use another entry"))
    }

    /// Records a failed attempt and returns whether it did not run.
    fn count(&mut self, failure: &Failure) -> bool {
        let did_not_run = failure.fault.kind.answer().ran == Ran::NotRun;
        if did_not_run {
            self.not_run_count += 1;
        } else {
            self.ran_count += 1;
            self.failure = Some(failure.fault.clone());
        }
        did_not_run
    }

    /// Records a failed attempt and returns whether another one is allowed.
    fn may_repeat(&mut self, failure: &Failure) -> bool {
        let did_not_run = self.count(failure);
        (did_not_run || self.call.is_repeatable())
            && self.ran_count < self.call.route.attempts_max.max(1)
            && self.not_run_count <= NOT_RUN_ATTEMPTS_MAX
            && failure.fault.kind != Kind::DeadlineRunning
            && self.worker.shared.clock.now() < self.call.deadline
    }

    /// Returns the final result: an endpoint's own error response, an earlier failure after which
    /// the request may have run, or the refusal.
    fn give_up(&mut self, refusal: Fault) -> Outcome {
        if let Some((status, headers, body)) = self.error.take() {
            return Outcome::Complete(status, headers, body);
        }
        Outcome::Refused(self.failure.take().unwrap_or(refusal))
    }
}

/// How the wait for the head of an answer ended.
enum Opening {
    Answered(Result<EndpointResponse, Failure>),
    Preempted,
    Replaced(Granted),
}

/// Marks an endpoint as silent once the bound has passed. Never resolves.
async fn mark_silent_after(bound: Duration, guard: &GrantGuard) -> Infallible {
    tokio::time::sleep(bound).await;
    guard.mark_silent();
    std::future::pending().await
}

/// Returns the failure of an attempt whose endpoint sent nothing in time.
fn silent_before_the_answer() -> Failure {
    let message = "the endpoint sent nothing within its bound, and another one has room";
    Failure::new(End::Silent, Kind::EndpointSilent, message)
}

/// Checks whether a request ends before this entry stops.
fn check_time_left(shared: &Shared, call: &Call) -> Result<(), Fault> {
    // A resumable request is a stream, which a cut breaks off.
    let is_repeatable = call.is_repeatable() && !call.is_resumable();
    let at_cut = if is_repeatable { AtCut::Repeatable } else { AtCut::Lost };
    shared.check_time_left(&call.route.name, call.deadline, at_cut)
}

/// Resolves when the owner takes the grant back, and never when the sender is dropped, which only
/// means that the grant will not be taken back.
async fn preemption(preempted: oneshot::Receiver<()>) {
    if preempted.await.is_err() {
        std::future::pending().await
    }
}

/// Refuses a request that was read, and logs the reason.
fn refuse(worker: &Worker, call: &Call, fault: &Fault) -> Response<BoxBody> {
    let (request, organisation, tier) = (&call.id, &call.organisation, call.tier.0);
    let (kind, reason) = (fault.kind, &fault.message);
    let age_ms = worker.shared.clock.now().since(call.arrived).0;
    let retry_after_ms = response::retry_after(fault).map(|pause| pause.0);
    tracing::info!(request, %kind, %reason, %organisation, tier, age_ms, retry_after_ms, "refused");
    worker.shared.metrics.refused(fault.kind, None);
    response::from_fault(fault)
}

/// Refuses a request that was not read completely, and logs the reason.
fn refuse_unread(worker: &Worker, request: &str, fault: &Fault) -> Response<BoxBody> {
    tracing::info!(request, kind = %fault.kind, reason = %fault.message, "refused");
    worker.shared.metrics.refused(fault.kind, None);
    response::from_fault(fault)
}
