//! HTTP handlers of a stand-in.

use std::{convert::Infallible, sync::Arc, sync::atomic::Ordering};

use actix_http::{
    HttpMessage as _, Method, Request, Response, StatusCode,
    body::{BoxBody, MessageBody as _},
    header,
};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use serde::Deserialize;
use wasabi_protocol::{clock::Millis, endpoint::Kind, fingerprint};

use crate::{
    server::Shared,
    settings::Faults,
    stream::{ResponsePlan, TokenStream, TruncatedBody, token},
};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Number of tokens in a completion for requests without `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Bytes of prompt text per token, for the simulated prefill time.
const BYTES_PER_TOKEN: usize = 4;

/// The body of a chat completion request.
#[derive(Deserialize)]
struct Chat {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    messages: serde_json::Value,
}

/// The body of an order.
#[derive(Deserialize)]
struct Order {
    fence: u64,
}

/// Handles a request: the control routes of the stand-in, orders, and requests to run.
pub(crate) async fn handle(
    shared: Arc<Shared>,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let body = match read_body(&mut request).await {
        Ok(body) => body,
        Err(status) => return Ok(text_response(status, "unreadable body")),
    };
    let path = request.path().to_owned();
    let response = match (request.method(), path.as_str()) {
        (&Method::GET, "/standin/counts") => json_response(&shared.counters.snapshot()),
        (&Method::POST, "/standin/faults") => match serde_json::from_slice::<Faults>(&body) {
            Ok(faults) => {
                shared.set_faults(faults);
                text_response(StatusCode::NO_CONTENT, "")
            }
            Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        (&Method::POST, "/v1/orders") => handle_order(&shared, &body),
        _ => run(&shared, &request, body).await,
    };
    Ok(response)
}

async fn read_body(request: &mut Request) -> Result<Bytes, StatusCode> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| StatusCode::BAD_REQUEST)?;
        if MAX_BODY_BYTES < body.len() + chunk.len() {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn handle_order(shared: &Shared, body: &[u8]) -> Response<BoxBody> {
    let Ok(order) = serde_json::from_slice::<Order>(body) else {
        return text_response(StatusCode::BAD_REQUEST, "an order needs a fence");
    };
    let checks_fence = shared.settings.abilities.checks_fence;
    let mut is_outdated = false;
    shared.counters.record(|counts| {
        is_outdated = checks_fence && order.fence < counts.fence;
        if is_outdated {
            counts.orders_refused += 1;
        } else {
            counts.orders += 1;
            counts.fence = counts.fence.max(order.fence);
        }
    });
    if is_outdated {
        return text_response(StatusCode::CONFLICT, "the fencing token is old");
    }
    text_response(StatusCode::NO_CONTENT, "")
}

/// Runs a model or service request and records the run.
async fn run(shared: &Arc<Shared>, request: &Request, body: Bytes) -> Response<BoxBody> {
    let number = shared.received.fetch_add(1, Ordering::Relaxed);
    let faults = shared.next_faults();
    let attempt = header_text(request, "x-wasabi-attempt").unwrap_or_default();
    let key = header_text(request, "idempotency-key")
        .unwrap_or_else(|| format!("{:032x}", fingerprint::content(&body)));
    shared.counters.record(|counts| {
        counts.requests += 1;
        *counts.runs.entry(key).or_default() += 1;
        *counts.attempts.entry(attempt.clone()).or_default() += 1;
    });
    let is_crashing = faults.crash_on.as_ref().is_some_and(|text| {
        body.windows(text.len().max(1)).any(|window| window == text.as_bytes())
    });
    if u64::from(faults.fail_permille) > fastrand::u64(0..1000) {
        shared.counters.record(|counts| counts.finished += 1);
        return with_attempt(
            text_response(StatusCode::INTERNAL_SERVER_ERROR, "failing by setting"),
            &attempt,
            &faults,
        );
    }
    match shared.settings.kind {
        Kind::Model => run_chat(shared, request, &body, attempt, faults, is_crashing, number).await,
        Kind::Service => run_service(shared, &body, &attempt, &faults, is_crashing, number).await,
    }
}

async fn run_service(
    shared: &Arc<Shared>,
    body: &Bytes,
    attempt: &str,
    faults: &Faults,
    is_crashing: bool,
    number: u64,
) -> Response<BoxBody> {
    if is_crashing {
        (shared.crash)();
        std::future::pending::<()>().await;
    }
    if faults.frozen || faults.silent_after.is_some() {
        std::future::pending::<()>().await;
    }
    let delay = shared.settings.first_token_ms + extra_delay(faults, number);
    if Millis::ZERO < delay {
        tokio::time::sleep(delay.duration()).await;
    }
    shared.counters.record(|counts| counts.finished += 1);
    if faults.cut_after.is_some() {
        let response = Response::build(StatusCode::OK)
            .content_type("application/json")
            .message_body(TruncatedBody::new(b"{\"service\":"));
        let response = response.map_or_else(
            |_| text_response(StatusCode::INTERNAL_SERVER_ERROR, "no response"),
            Response::map_into_boxed_body,
        );
        return with_attempt(response, attempt, faults);
    }
    let content = serde_json::json!({
        "service": shared.settings.backend,
        "endpoint": shared.settings.name,
        "echo": String::from_utf8_lossy(body),
    });
    let response = Response::build(StatusCode::OK)
        .content_type("application/json")
        .body(content.to_string())
        .map_into_boxed_body();
    with_attempt(response, attempt, faults)
}

async fn run_chat(
    shared: &Arc<Shared>,
    request: &Request,
    body: &Bytes,
    attempt: String,
    faults: Faults,
    is_crashing: bool,
    number: u64,
) -> Response<BoxBody> {
    let chat = match serde_json::from_slice::<Chat>(body) {
        Ok(chat) => chat,
        Err(error) => {
            shared.counters.record(|counts| counts.finished += 1);
            return with_attempt(
                text_response(StatusCode::BAD_REQUEST, &error.to_string()),
                &attempt,
                &faults,
            );
        }
    };
    let resume_from =
        header_text(request, "x-wasabi-resume-from").and_then(|text| text.parse().ok());
    if resume_from.is_some() {
        shared.counters.record(|counts| counts.resumed += 1);
    }
    let prompt = chat.messages.to_string();
    let settings = &shared.settings;
    let prefill_time = match settings.prefill_tokens_per_s {
        0 => Millis::ZERO,
        rate => Millis((prompt.len() / BYTES_PER_TOKEN) as u64 * 1_000 / u64::from(rate)),
    };
    let extra_delay = extra_delay(&faults, number);
    let total = chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let plan = ResponsePlan {
        attempt: if faults.wrong_attempt { "0".repeat(32) } else { attempt.clone() },
        model: chat.model.replace(['"', '\\'], ""),
        first_token: resume_from.filter(|_| settings.abilities.resume).unwrap_or(0).min(total),
        total,
        token_prefix: token_prefix(&prompt),
        first_token_delay: (settings.first_token_ms + prefill_time + extra_delay).duration(),
        token_interval: (settings.between_tokens_ms + extra_delay).duration(),
        faults: faults.clone(),
        is_crashing,
    };
    if !chat.stream {
        return with_attempt(complete_response(shared, plan).await, &attempt, &faults);
    }
    let tokens = TokenStream::new(plan, Arc::clone(&shared.counters), Arc::clone(&shared.crash));
    let response = Response::build(StatusCode::OK)
        .content_type("text/event-stream")
        .body(tokens)
        .map_into_boxed_body();
    with_attempt(response, &attempt, &faults)
}

/// Returns a response that is not streamed, after the time that its stream would take.
async fn complete_response(shared: &Arc<Shared>, plan: ResponsePlan) -> Response<BoxBody> {
    let mut tokens =
        TokenStream::new(plan.clone(), Arc::clone(&shared.counters), Arc::clone(&shared.crash));
    loop {
        let chunk = std::future::poll_fn(|cx| std::pin::Pin::new(&mut tokens).poll_next(cx)).await;
        match chunk {
            Some(Ok(_)) => {}
            Some(Err(error)) => {
                return text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string());
            }
            None => break,
        }
    }
    let content: String = (0..plan.total).map(|number| token(&plan.token_prefix, number)).collect();
    let completion = serde_json::json!({
        "object": "chat.completion",
        "model": plan.model,
        "choices": [{"index": 0, "message": {"role": "assistant", "content": content}, "finish_reason": "stop"}],
        "usage": {"completion_tokens": plan.total},
    });
    Response::build(StatusCode::OK)
        .content_type("application/json")
        .body(completion.to_string())
        .map_into_boxed_body()
}

/// Returns the prefix of the tokens in a response to this prompt.
fn token_prefix(prompt: &str) -> String {
    format!("{:08x}", fingerprint::content(prompt.as_bytes()) as u32)
}

/// Returns the delay that the fault modes add for the request with this number.
fn extra_delay(faults: &Faults, number: u64) -> Millis {
    if number < faults.straggle_from { Millis::ZERO } else { faults.slow_ms }
}

/// Adds the attempt id to a response, as far as the fault modes permit.
fn with_attempt(
    mut response: Response<BoxBody>,
    attempt: &str,
    faults: &Faults,
) -> Response<BoxBody> {
    if faults.no_attempt {
        return response;
    }
    let attempt = if faults.wrong_attempt { "0".repeat(32) } else { attempt.to_owned() };
    if let Ok(value) = header::HeaderValue::from_str(&attempt) {
        response.headers_mut().insert(header::HeaderName::from_static("x-wasabi-attempt"), value);
    }
    response
}

/// Returns the value of a header.
fn header_text(request: &Request, name: &str) -> Option<String> {
    Some(request.headers().get(name)?.to_str().ok()?.to_owned())
}

fn json_response(value: &impl serde::Serialize) -> Response<BoxBody> {
    match serde_json::to_string(value) {
        Ok(text) => Response::build(StatusCode::OK)
            .content_type("application/json")
            .body(text)
            .map_into_boxed_body(),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn text_response(status: StatusCode, text: &str) -> Response<BoxBody> {
    Response::build(status).content_type("text/plain").body(text.to_owned()).map_into_boxed_body()
}
