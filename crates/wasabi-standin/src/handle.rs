//! The routes of a stand-in.

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
    stream::{Cut, Plan, Tokens, token},
};

/// Largest request body, in bytes.
const BODY_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Tokens sent when the caller names no number.
const DEFAULT_TOKENS: u32 = 16;

/// Bytes of prompt text counted as one token.
const BYTES_PER_TOKEN: usize = 4;

#[derive(Deserialize)]
struct Chat {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    messages: serde_json::Value,
}

#[derive(Deserialize)]
struct Order {
    fence: u64,
}

pub(crate) async fn request(
    shared: Arc<Shared>,
    mut request: Request,
) -> Result<Response<BoxBody>, Infallible> {
    let body = match read(&mut request).await {
        Ok(body) => body,
        Err(status) => return Ok(plain(status, "unreadable body")),
    };
    let path = request.path().to_owned();
    let response = match (request.method(), path.as_str()) {
        (&Method::GET, "/standin/counts") => json(&shared.ledger.snapshot()),
        (&Method::POST, "/standin/faults") => match serde_json::from_slice::<Faults>(&body) {
            Ok(faults) => {
                shared.set_faults(faults);
                plain(StatusCode::NO_CONTENT, "")
            }
            Err(error) => plain(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        (&Method::POST, "/v1/orders") => order(&shared, &body),
        _ => run(&shared, &request, body).await,
    };
    Ok(response)
}

async fn read(request: &mut Request) -> Result<Bytes, StatusCode> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| StatusCode::BAD_REQUEST)?;
        if BODY_BYTES_MAX < body.len() + chunk.len() {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn order(shared: &Shared, body: &[u8]) -> Response<BoxBody> {
    let Ok(order) = serde_json::from_slice::<Order>(body) else {
        return plain(StatusCode::BAD_REQUEST, "an order needs a fence");
    };
    let checks = shared.settings.abilities.checks_fence;
    let mut is_old = false;
    shared.ledger.record(|counts| {
        is_old = checks && order.fence < counts.fence;
        if is_old {
            counts.orders_refused += 1;
        } else {
            counts.orders += 1;
            counts.fence = counts.fence.max(order.fence);
        }
    });
    if is_old {
        return plain(StatusCode::CONFLICT, "the fencing token is old");
    }
    plain(StatusCode::NO_CONTENT, "")
}

/// Runs a model or service request.
async fn run(shared: &Arc<Shared>, request: &Request, body: Bytes) -> Response<BoxBody> {
    let number = shared.received.fetch_add(1, Ordering::Relaxed);
    let faults = shared.next_faults();
    let attempt = text(request, "x-wasabi-attempt").unwrap_or_default();
    let key = text(request, "idempotency-key")
        .unwrap_or_else(|| format!("{:032x}", fingerprint::content(&body)));
    shared.ledger.record(|counts| {
        counts.requests += 1;
        *counts.runs.entry(key).or_default() += 1;
        *counts.attempts.entry(attempt.clone()).or_default() += 1;
    });
    let crashes = faults.crash_on.as_ref().is_some_and(|needle| {
        body.windows(needle.len().max(1)).any(|window| window == needle.as_bytes())
    });
    if u64::from(faults.fail_permille) > fastrand::u64(0..1000) {
        shared.ledger.record(|counts| counts.finished += 1);
        return with_attempt(
            plain(StatusCode::INTERNAL_SERVER_ERROR, "failing by setting"),
            &attempt,
            &faults,
        );
    }
    match shared.settings.kind {
        Kind::Model => chat(shared, request, &body, attempt, faults, crashes, number).await,
        Kind::Service => service(shared, &body, &attempt, &faults, crashes, number).await,
    }
}

async fn service(
    shared: &Arc<Shared>,
    body: &Bytes,
    attempt: &str,
    faults: &Faults,
    crashes: bool,
    number: u64,
) -> Response<BoxBody> {
    if crashes {
        (shared.crash)();
        std::future::pending::<()>().await;
    }
    if faults.frozen || faults.silent_after.is_some() {
        std::future::pending::<()>().await;
    }
    let time = shared.settings.first_token_ms + slow(faults, number);
    if Millis::ZERO < time {
        tokio::time::sleep(time.duration()).await;
    }
    shared.ledger.record(|counts| counts.finished += 1);
    if faults.cut_after.is_some() {
        let response = Response::build(StatusCode::OK)
            .content_type("application/json")
            .message_body(Cut::after(b"{\"service\":"));
        let response = response.map_or_else(
            |_| plain(StatusCode::INTERNAL_SERVER_ERROR, "no response"),
            Response::map_into_boxed_body,
        );
        return with_attempt(response, attempt, faults);
    }
    let answer = serde_json::json!({
        "service": shared.settings.backend,
        "endpoint": shared.settings.name,
        "echo": String::from_utf8_lossy(body),
    });
    let response = Response::build(StatusCode::OK)
        .content_type("application/json")
        .body(answer.to_string())
        .map_into_boxed_body();
    with_attempt(response, attempt, faults)
}

async fn chat(
    shared: &Arc<Shared>,
    request: &Request,
    body: &Bytes,
    attempt: String,
    faults: Faults,
    crashes: bool,
    number: u64,
) -> Response<BoxBody> {
    let chat = match serde_json::from_slice::<Chat>(body) {
        Ok(chat) => chat,
        Err(error) => {
            shared.ledger.record(|counts| counts.finished += 1);
            return with_attempt(
                plain(StatusCode::BAD_REQUEST, &error.to_string()),
                &attempt,
                &faults,
            );
        }
    };
    let resume = text(request, "x-wasabi-resume-from").and_then(|text| text.parse().ok());
    if resume.is_some() {
        shared.ledger.record(|counts| counts.resumed += 1);
    }
    let prompt = chat.messages.to_string();
    let settings = &shared.settings;
    let prefill = match settings.prefill_tokens_per_s {
        0 => Millis::ZERO,
        rate => Millis((prompt.len() / BYTES_PER_TOKEN) as u64 * 1_000 / u64::from(rate)),
    };
    let slow = slow(&faults, number);
    let total = chat.max_tokens.unwrap_or(DEFAULT_TOKENS);
    let plan = Plan {
        attempt: if faults.wrong_attempt { "0".repeat(32) } else { attempt.clone() },
        model: chat.model.replace(['"', '\\'], ""),
        from: resume.filter(|_| settings.abilities.resume).unwrap_or(0).min(total),
        total,
        seed: seed(&prompt),
        first: (settings.first_token_ms + prefill + slow).duration(),
        between: (settings.between_tokens_ms + slow).duration(),
        faults: faults.clone(),
        crashes,
    };
    if !chat.stream {
        return with_attempt(whole(shared, plan).await, &attempt, &faults);
    }
    let tokens = Tokens::new(plan, Arc::clone(&shared.ledger), Arc::clone(&shared.crash));
    let response = Response::build(StatusCode::OK)
        .content_type("text/event-stream")
        .body(tokens)
        .map_into_boxed_body();
    with_attempt(response, &attempt, &faults)
}

/// Answers without a stream.
async fn whole(shared: &Arc<Shared>, plan: Plan) -> Response<BoxBody> {
    let mut tokens =
        Tokens::new(plan.clone(), Arc::clone(&shared.ledger), Arc::clone(&shared.crash));
    loop {
        let chunk = std::future::poll_fn(|cx| std::pin::Pin::new(&mut tokens).poll_next(cx)).await;
        match chunk {
            Some(Ok(_)) => {}
            Some(Err(error)) => {
                return plain(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string());
            }
            None => break,
        }
    }
    let content: String = (0..plan.total).map(|number| token(&plan.seed, number)).collect();
    let answer = serde_json::json!({
        "object": "chat.completion",
        "model": plan.model,
        "choices": [{"index": 0, "message": {"role": "assistant", "content": content}, "finish_reason": "stop"}],
        "usage": {"completion_tokens": plan.total},
    });
    Response::build(StatusCode::OK)
        .content_type("application/json")
        .body(answer.to_string())
        .map_into_boxed_body()
}

/// Returns the text that the tokens of an answer to this prompt start with.
fn seed(prompt: &str) -> String {
    format!("{:08x}", fingerprint::content(prompt.as_bytes()) as u32)
}

fn slow(faults: &Faults, number: u64) -> Millis {
    if number < faults.straggle_from { Millis::ZERO } else { faults.slow_ms }
}

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

fn text(request: &Request, name: &str) -> Option<String> {
    Some(request.headers().get(name)?.to_str().ok()?.to_owned())
}

fn json(value: &impl serde::Serialize) -> Response<BoxBody> {
    match serde_json::to_string(value) {
        Ok(text) => Response::build(StatusCode::OK)
            .content_type("application/json")
            .body(text)
            .map_into_boxed_body(),
        Err(error) => plain(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn plain(status: StatusCode, text: &str) -> Response<BoxBody> {
    Response::build(status).content_type("text/plain").body(text.to_owned()).map_into_boxed_body()
}
