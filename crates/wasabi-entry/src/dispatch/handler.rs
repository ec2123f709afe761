//! Handles a request: admit, read, acquire a grant, record, send and respond, with retries.

use std::rc::Rc;

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use tokio::sync::oneshot;
use wasabi_protocol::{
    fault::{Fault, Kind, Ran},
    id,
    request::End,
};

use crate::{
    at_most_once::{self, Record, RecordResult},
    callers::{
        call::Call,
        response,
        server::{self, Worker},
    },
    dispatch::{
        complete::CompleteResponse,
        grant::{self, GrantGuard},
        open::{self, ResponseStart, Stream},
        relay::{Relay, StartedStream},
    },
    endpoint_response::Failure,
    shared::{AtCut, OpenRequest, new_attempt},
};

/// Most attempts per request. The retry budget of the pool's owner usually stops retries earlier.
const ATTEMPTS_MAX: usize = 5;

/// Serves a caller's request up to the start of the response.
pub(crate) async fn serve(worker: Rc<Worker>, mut request: Request) -> Response<BoxBody> {
    let shared = Rc::clone(&worker).shared.clone();
    let open = shared.open();
    if let Err(fault) = shared.admit() {
        return server::refuse(&shared, &fault);
    }
    let call = match Call::read(&shared, &mut request).await {
        Ok(call) => Rc::new(call),
        Err(fault) => return server::refuse(&shared, &fault),
    };
    let is_idempotent = call.route.repeat.is_idempotent();
    let at_cut = if is_idempotent { AtCut::Repeatable } else { AtCut::Lost };
    if let Err(fault) = shared.check_time_left(&call.route.name, call.deadline, at_cut) {
        return server::refuse(&shared, &fault);
    }
    let request_id = call.id.to_string();
    let running = async {
        if is_idempotent {
            return run(worker, call, open).await;
        }
        // The call continues when its caller disconnects, so that its outcome is known when the
        // caller sends the request again.
        actix_rt::spawn(run(worker, call, open)).await.unwrap_or_else(|error| {
            let fault = Fault::new(Kind::Internal, format!("the task of the call failed: {error}"));
            response::from_fault(&fault)
        })
    };
    let mut response = tokio::select! {
        biased;
        response = running => response,
        () = shared.until_final_responses() => {
            let kind = if is_idempotent { Kind::EndpointFailed } else { Kind::KeyPending };
            let message = "this entry stopped before the request ended, so it may have run";
            server::refuse(&shared, &Fault::new(kind, message))
        }
    };
    server::set_request_id(&mut response, &request_id);
    response
}

/// The result of the previous attempts.
#[derive(Default)]
struct PreviousAttempts {
    /// The endpoints of failed attempts, which the next attempt avoids.
    avoid: Vec<id::Endpoint>,
    count: usize,
    /// The last failure after which the request may have run. A later refusal must then not report
    /// "not run".
    may_have_run: Option<Fault>,
    /// An endpoint's own error response, returned when no other attempt gives a better one.
    error_response: Option<Response<BoxBody>>,
}

/// An attempt that holds a grant.
struct GrantedAttempt {
    attempt: id::Attempt,
    guard: GrantGuard,
    preempted: oneshot::Receiver<()>,
}

/// The result of one attempt.
enum AttemptResult {
    /// The response is complete or its stream has started.
    Responded(Response<BoxBody>),
    /// The attempt failed; another one may follow.
    Failed { endpoint: id::Endpoint, failure: Failure, error_response: Option<Response<BoxBody>> },
    /// The request must not be sent, neither now nor in another attempt.
    Refused(Fault),
    /// The owner took the grant back before the first token.
    Preempted,
    /// Another attempt with the same key has no outcome yet.
    Pending,
}

/// Runs attempts until one gives a response or no other is allowed.
async fn run(worker: Rc<Worker>, call: Rc<Call>, open: OpenRequest) -> Response<BoxBody> {
    let mut previous = PreviousAttempts::default();
    let mut open = Some(open);
    loop {
        let granted_attempt = match acquire(&worker, &call, &previous).await {
            Ok(granted_attempt) => granted_attempt,
            Err(refusal) => return refuse_queued(&worker, &call, previous, refusal).await,
        };
        if 0 < previous.count {
            worker.shared.metrics.retries.inc();
        }
        previous.count += 1;
        match run_attempt(&worker, &call, granted_attempt, &mut open).await {
            AttemptResult::Responded(response) => return response,
            AttemptResult::Refused(fault) => return refuse(&worker, &call, previous, fault),
            AttemptResult::Failed { endpoint, failure, error_response } => {
                let ran = failure.fault.kind.answer().ran;
                if ran != Ran::NotRun {
                    previous.may_have_run = Some(failure.fault.clone());
                    previous.error_response = error_response;
                }
                let is_repeatable = call.route.repeat.is_idempotent() || ran == Ran::NotRun;
                // An expired dispatch window or deadline ends the request, not only the attempt.
                let may_repeat = is_repeatable
                    && failure.end != End::Abandoned
                    && previous.count < ATTEMPTS_MAX
                    && worker.shared.clock.now() < call.deadline;
                if !may_repeat {
                    return refuse(&worker, &call, previous, failure.fault);
                }
                previous.avoid.push(endpoint);
            }
            AttemptResult::Preempted => {
                let message = "the grant was preempted by a more urgent request";
                previous.may_have_run = Some(Fault::new(Kind::EndpointFailed, message));
            }
            AttemptResult::Pending => match at_most_once::await_outcome(&worker, &call).await {
                Some(Ok(kept)) => return response::from_kept(&kept),
                Some(Err(fault)) => return refuse(&worker, &call, previous, fault),
                None => {}
            },
        }
    }
}

/// Waits for a grant from the pool's owner.
async fn acquire(
    worker: &Rc<Worker>,
    call: &Rc<Call>,
    previous: &PreviousAttempts,
) -> Result<GrantedAttempt, Fault> {
    let shared = &worker.shared;
    let mut span = call.span.child("acquire");
    let request = call.request(shared.clock.now(), new_attempt(), &previous.avoid);
    let grant::Acquisition { guard, preempted } = grant::acquire(worker, request).await?;
    span.set_outcome(guard.grant().endpoint.as_str());
    let waited = shared.clock.now().since(call.arrived);
    shared.metrics.queue_time.get_or_create(&call.route.tier.into()).observe(waited.seconds());
    Ok(GrantedAttempt { attempt: guard.attempt(), guard, preempted })
}

/// Runs one attempt under its grant.
async fn run_attempt(
    worker: &Rc<Worker>,
    call: &Rc<Call>,
    granted_attempt: GrantedAttempt,
    open: &mut Option<OpenRequest>,
) -> AttemptResult {
    let GrantedAttempt { attempt, mut guard, preempted } = granted_attempt;
    let mut record = None;
    if !call.route.repeat.is_idempotent() {
        let _span = call.span.child("record");
        match at_most_once::write_record(worker, call, attempt).await {
            RecordResult::Written(entered) => record = Some(entered),
            RecordResult::Pending => return AttemptResult::Pending,
            RecordResult::Known(kept) => {
                return AttemptResult::Responded(response::from_kept(&kept));
            }
            RecordResult::Refused(fault) => return AttemptResult::Refused(fault),
        }
    }
    worker.shared.metrics.dispatches.get_or_create(&call.route.tier.into()).inc();
    let window = record.as_ref().map(Record::window).cloned();
    let opening = tokio::select! {
        biased;
        opening = open::open(worker, call, &mut guard, attempt, window.as_ref()) => Some(opening),
        () = preemption(preempted), if record.is_none() => None,
    };
    let Some(opening) = opening else { return AttemptResult::Preempted };
    match opening {
        Ok(ResponseStart::Stream(stream)) => {
            AttemptResult::Responded(stream_response(worker, call, guard, record, stream, open))
        }
        Ok(ResponseStart::Complete(complete)) => {
            complete_response(worker, call, guard, record, complete)
        }
        Err(failure) => failed(worker, call, guard, record, failure).await,
    }
}

/// Resolves when the owner takes the grant back, and never when the sender is dropped, which only
/// means that the grant will not be taken back.
async fn preemption(preempted: oneshot::Receiver<()>) {
    if preempted.await.is_err() {
        std::future::pending().await
    }
}

fn stream_response(
    worker: &Rc<Worker>,
    call: &Rc<Call>,
    guard: GrantGuard,
    record: Option<Record>,
    stream: Stream,
    open: &mut Option<OpenRequest>,
) -> Response<BoxBody> {
    let Stream { opened, reader, first_events, is_complete } = stream;
    let headers = opened.headers.clone();
    let open = open.take().unwrap_or_else(|| worker.shared.open());
    let (worker, call) = (Rc::clone(worker), Rc::clone(call));
    let relay = Relay::new(StartedStream {
        worker,
        call,
        guard,
        record,
        opened,
        reader,
        first_events,
        is_complete,
        open,
    });
    response::from_endpoint(StatusCode::OK, &headers, relay)
}

fn complete_response(
    worker: &Rc<Worker>,
    call: &Rc<Call>,
    guard: GrantGuard,
    record: Option<Record>,
    complete: CompleteResponse,
) -> AttemptResult {
    if let Some(record) = record {
        record.finish(complete.outcome);
    } else if complete.is_server_error {
        let endpoint = guard.grant().endpoint.clone();
        guard.end(End::Failed);
        let message = "the endpoint responded with a server error";
        let failure = Failure::new(End::Failed, Kind::EndpointFailed, message);
        return AttemptResult::Failed {
            endpoint,
            failure,
            error_response: Some(complete.response),
        };
    }
    if complete.is_server_error {
        guard.end(End::Failed);
        return AttemptResult::Responded(complete.response);
    }
    worker.shared.finished(call.route.tier, &call.route.name, call.arrived);
    if worker.shared.clock.now() <= call.deadline {
        worker.shared.metrics.goodput.get_or_create(&call.route.tier.into()).inc();
    }
    guard.end(End::Finished);
    AttemptResult::Responded(complete.response)
}

/// Ends an attempt without a response: releases its grant, then settles its record.
async fn failed(
    worker: &Rc<Worker>,
    call: &Rc<Call>,
    guard: GrantGuard,
    record: Option<Record>,
    mut failure: Failure,
) -> AttemptResult {
    let endpoint = guard.grant().endpoint.clone();
    tracing::info!(%endpoint, request = %call.id, fault = %failure.fault, "attempt failed");
    if failure.fault.kind.answer().ran != Ran::NotRun {
        let prompt = call.request(worker.shared.clock.now(), call.id, &[]).prompt_tokens;
        worker.shared.metrics.wasted_prefill.inc_by(u64::from(prompt));
    }
    guard.end(failure.end);
    if let Some(record) = record {
        if record.window().is_sent() {
            record.finish(at_most_once::unknown());
        } else if !record.release().await {
            let message = "nothing was sent, but releasing the record failed";
            failure = Failure::new(End::Abandoned, Kind::RecordUnknown, message);
        }
    }
    AttemptResult::Failed { endpoint, failure, error_response: None }
}

/// Responds to a request that got no grant.
async fn refuse_queued(
    worker: &Rc<Worker>,
    call: &Rc<Call>,
    previous: PreviousAttempts,
    refusal: Fault,
) -> Response<BoxBody> {
    if call.route.repeat.is_idempotent() || previous.may_have_run.is_some() {
        return refuse(worker, call, previous, refusal);
    }
    match at_most_once::look_up(worker, call, refusal).await {
        Ok(kept) => response::from_kept(&kept),
        Err(fault) => refuse(worker, call, previous, fault),
    }
}

/// Responds with the refusal, or with the result of an earlier attempt when the request may have
/// run.
fn refuse(
    worker: &Worker,
    call: &Call,
    previous: PreviousAttempts,
    refusal: Fault,
) -> Response<BoxBody> {
    if let Some(response) = previous.error_response {
        return response;
    }
    let fault = previous.may_have_run.unwrap_or(refusal);
    worker.shared.metrics.refused(fault.kind, Some(call.route.tier));
    response::from_fault(&fault)
}
