//! The way of a request: read, admit, acquire, record, send, answer; and the retries.

use std::rc::Rc;

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use tokio::sync::oneshot;
use wasabi_protocol::{
    fault::{Fault, Kind, Ran},
    id,
    request::End,
};

use crate::{
    callers::{
        call::Call,
        response,
        server::{self, Worker},
    },
    dispatch::{
        grant::GrantGuard,
        open::{self, Opening, Stream},
        relay::{Relay, Started},
        whole::Whole,
    },
    gate::{self, Entered, Record},
    opened::Failure,
    shared::{Open, new_attempt},
};

/// Attempts of one request. The owner's retry budget ends most requests earlier.
const ATTEMPTS_MAX: usize = 5;

/// Serves a caller's request from its head to the start of its answer.
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
    if let Err(fault) = shared.check_time_left(&call.route.name, call.deadline) {
        return server::refuse(&shared, &fault);
    }
    let name = call.id.to_string();
    let mut response = if call.route.repeat.is_idempotent() {
        run(worker, call, open).await
    } else {
        // The call goes on when its caller leaves, so that its outcome is known to a resend.
        actix_rt::spawn(run(worker, call, open)).await.unwrap_or_else(|error| {
            let fault = Fault::new(Kind::Internal, format!("the call ended early: {error}"));
            response::from_fault(&fault)
        })
    };
    server::name(&mut response, &name);
    response
}

/// What is known of the attempts that came before.
#[derive(Default)]
struct Before {
    avoid: Vec<id::Endpoint>,
    attempts: usize,
    /// The last failure after which the request may have run. A later refusal must not say
    /// "not run" any more.
    sent: Option<Fault>,
    /// The endpoint's own error answer, passed on when no other attempt gives a better one.
    answer: Option<Response<BoxBody>>,
}

/// An attempt that holds a grant.
struct Going {
    attempt: id::Attempt,
    held: GrantGuard,
    preempted: oneshot::Receiver<()>,
}

/// How one attempt went.
enum Attempted {
    /// The answer is whole or its stream has started.
    Answered(Response<BoxBody>),
    /// It failed; another attempt may follow.
    Failed { endpoint: id::Endpoint, failure: Failure, answer: Option<Response<BoxBody>> },
    /// It must not be sent, and neither must another one.
    Refused(Fault),
    /// The owner took the grant back before the first token.
    Preempted,
    /// Another attempt with the same key has no outcome yet.
    Pending,
}

/// Runs attempts until one is answered or no other is allowed.
async fn run(worker: Rc<Worker>, call: Rc<Call>, open: Open) -> Response<BoxBody> {
    let mut before = Before::default();
    let mut open = Some(open);
    loop {
        let going = match acquire(&worker, &call, &before).await {
            Ok(going) => going,
            Err(refusal) => return refuse_queued(&worker, &call, before, refusal).await,
        };
        if 0 < before.attempts {
            worker.shared.metrics.retries.inc();
        }
        before.attempts += 1;
        match one(&worker, &call, going, &mut open).await {
            Attempted::Answered(response) => return response,
            Attempted::Refused(fault) => return refuse(&worker, &call, before, fault),
            Attempted::Failed { endpoint, failure, answer } => {
                let ran = failure.fault.kind.answer().ran;
                if ran != Ran::NotRun {
                    before.sent = Some(failure.fault.clone());
                    before.answer = answer;
                }
                let is_repeatable = call.route.repeat.is_idempotent() || ran == Ran::NotRun;
                // A late dispatch and a passed deadline end the request, not only the attempt.
                let may_repeat = is_repeatable
                    && failure.end != End::Abandoned
                    && before.attempts < ATTEMPTS_MAX
                    && worker.shared.clock.now() < call.deadline;
                if !may_repeat {
                    return refuse(&worker, &call, before, failure.fault);
                }
                before.avoid.push(endpoint);
            }
            Attempted::Preempted => {
                let message = "the request was taken back for a more urgent one";
                before.sent = Some(Fault::new(Kind::EndpointFailed, message));
            }
            Attempted::Pending => match gate::await_outcome(&worker, &call).await {
                Some(Ok(kept)) => return response::from_kept(&kept),
                Some(Err(fault)) => return refuse(&worker, &call, before, fault),
                None => {}
            },
        }
    }
}

/// Waits for a grant of the pool's owner.
async fn acquire(worker: &Rc<Worker>, call: &Rc<Call>, before: &Before) -> Result<Going, Fault> {
    let shared = &worker.shared;
    let mut span = call.span.child("acquire");
    let attempt = new_attempt();
    let request = call.request(shared.clock.now(), attempt, &before.avoid);
    let granted = worker.handle.acquire(request.clone()).await?;
    span.set_outcome(granted.grant.endpoint.as_str());
    let held = GrantGuard::new(worker.handle.clone(), shared.clock, granted.grant, &request);
    let waited = shared.clock.now().since(call.arrived);
    shared.metrics.queue_time.get_or_create(&call.route.tier.into()).observe(waited.seconds());
    // The process may have been frozen since the request was admitted.
    shared.check_serving()?;
    Ok(Going { attempt, held, preempted: granted.preempted })
}

/// Runs one attempt with its grant.
async fn one(
    worker: &Rc<Worker>,
    call: &Rc<Call>,
    going: Going,
    open: &mut Option<Open>,
) -> Attempted {
    let Going { attempt, mut held, preempted } = going;
    let mut record = None;
    if !call.route.repeat.is_idempotent() {
        let _span = call.span.child("record");
        match gate::enter(worker, call, attempt).await {
            Entered::Open(entered) => record = Some(entered),
            Entered::Pending => return Attempted::Pending,
            Entered::Known(kept) => return Attempted::Answered(response::from_kept(&kept)),
            Entered::Refused(fault) => return Attempted::Refused(fault),
        }
    }
    worker.shared.metrics.dispatches.get_or_create(&call.route.tier.into()).inc();
    let window = record.as_ref().map(Record::window).cloned();
    let opening = tokio::select! {
        biased;
        opening = open::open(worker, call, &mut held, attempt, window.as_ref()) => Some(opening),
        () = taken_back(preempted), if record.is_none() => None,
    };
    let Some(opening) = opening else { return Attempted::Preempted };
    match opening {
        Ok(Opening::Stream(stream)) => {
            Attempted::Answered(stream_answer(worker, call, held, record, stream, open))
        }
        Ok(Opening::Whole(whole)) => whole_answer(worker, call, held, record, whole),
        Err(failure) => failed(worker, call, held, record, failure).await,
    }
}

/// Resolves when the owner takes the grant back; a dropped sender only means that it will not.
async fn taken_back(preempted: oneshot::Receiver<()>) {
    if preempted.await.is_err() {
        std::future::pending().await
    }
}

fn stream_answer(
    worker: &Rc<Worker>,
    call: &Rc<Call>,
    held: GrantGuard,
    record: Option<Record>,
    stream: Stream,
    open: &mut Option<Open>,
) -> Response<BoxBody> {
    let Stream { opened, reader, first, is_whole } = stream;
    let headers = opened.headers.clone();
    let open = open.take().unwrap_or_else(|| worker.shared.open());
    let (worker, call) = (Rc::clone(worker), Rc::clone(call));
    let relay =
        Relay::new(Started { worker, call, held, record, opened, reader, first, is_whole, open });
    response::from_endpoint(StatusCode::OK, &headers, relay)
}

fn whole_answer(
    worker: &Rc<Worker>,
    call: &Rc<Call>,
    held: GrantGuard,
    record: Option<Record>,
    whole: Whole,
) -> Attempted {
    if let Some(record) = record {
        record.finish(whole.kept);
    } else if whole.is_server_error {
        let endpoint = held.grant().endpoint.clone();
        held.end(End::Failed);
        let message = "the endpoint answered with a server error";
        let failure = Failure::new(End::Failed, Kind::EndpointFailed, message);
        return Attempted::Failed { endpoint, failure, answer: Some(whole.response) };
    }
    if whole.is_server_error {
        held.end(End::Failed);
        return Attempted::Answered(whole.response);
    }
    worker.shared.finished(call.route.tier, &call.route.name, call.arrived);
    if worker.shared.clock.now() <= call.deadline {
        worker.shared.metrics.goodput.get_or_create(&call.route.tier.into()).inc();
    }
    held.end(End::Finished);
    Attempted::Answered(whole.response)
}

/// Settles an attempt without an answer: its record first, then its grant.
async fn failed(
    worker: &Rc<Worker>,
    call: &Rc<Call>,
    held: GrantGuard,
    record: Option<Record>,
    mut failure: Failure,
) -> Attempted {
    let endpoint = held.grant().endpoint.clone();
    tracing::info!(%endpoint, request = %call.id, fault = %failure.fault, "attempt failed");
    if failure.fault.kind.answer().ran != Ran::NotRun {
        let prompt = call.request(worker.shared.clock.now(), call.id, &[]).prompt_tokens;
        worker.shared.metrics.wasted_prefill.inc_by(u64::from(prompt));
    }
    held.end(failure.end);
    if let Some(record) = record {
        if record.window().is_sent() {
            record.finish(gate::unknown());
        } else if !record.release().await {
            let message = "nothing was sent, but the record could not be released";
            failure = Failure::new(End::Abandoned, Kind::RecordUnknown, message);
        }
    }
    Attempted::Failed { endpoint, failure, answer: None }
}

/// Answers with a refusal of the queue.
async fn refuse_queued(
    worker: &Rc<Worker>,
    call: &Rc<Call>,
    before: Before,
    refusal: Fault,
) -> Response<BoxBody> {
    if call.route.repeat.is_idempotent() || before.sent.is_some() {
        return refuse(worker, call, before, refusal);
    }
    match gate::look_up(worker, call, refusal).await {
        Ok(kept) => response::from_kept(&kept),
        Err(fault) => refuse(worker, call, before, fault),
    }
}

/// Answers with a refusal, or with an earlier failure after which the request may have run.
fn refuse(worker: &Worker, call: &Call, before: Before, refusal: Fault) -> Response<BoxBody> {
    if let Some(answer) = before.answer {
        return answer;
    }
    let fault = before.sent.unwrap_or(refusal);
    worker.shared.metrics.refused(fault.kind, Some(call.route.tier));
    response::from_fault(&fault)
}
