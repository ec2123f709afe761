//! Reads a call and determines its contract, route, idempotency key, deadline and body.

use std::num::NonZeroU32;

use actix_http::{
    HttpMessage as _, Method, Request,
    header::{self, HeaderMap},
};
use bytes::Bytes;
use percent_encoding::percent_decode_str;
use wasabi_border::ChatRequest;
use wasabi_protocol::{
    clock::{Millis, unix_now},
    command::KEY_CLOCK_SKEW_MAX,
    contract::{Contract, Repeat, Route, Target},
    fault::{Fault, Kind},
    fingerprint, id, request,
};
use wasabi_telemetry::trace::{Context, HEADER, Span};

use crate::{callers::body, shared::Shared};

/// Estimated bytes of text per token, for the size of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// Output tokens assumed when the caller states no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// Maximum length of an idempotency key, in bytes.
const KEY_BYTES_MAX: usize = 256;

/// A caller's request that was read completely and checked against its contract.
pub(crate) struct Call {
    pub(crate) id: id::Attempt,
    pub(crate) organisation: id::Organisation,
    pub(crate) share: u32,
    pub(crate) route: Route,
    pub(crate) work: Work,
    pub(crate) method: Method,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) key: Option<id::Key>,
    pub(crate) key_created: Option<Millis>,
    pub(crate) fingerprint: fingerprint::Body,
    /// The parts of the prompt that other requests may share.
    pub(crate) parts: Vec<fingerprint::Part>,
    /// Arrival time, on the process's clock.
    pub(crate) arrived: Millis,
    /// The earlier of the caller's and the route's deadline, on the process's clock.
    pub(crate) deadline: Millis,
    pub(crate) span: Span,
}

/// What the endpoint is asked to do.
#[derive(Debug)]
pub(crate) enum Work {
    /// A chat completion.
    Chat(ChatRequest),
    /// A call to a service other than a model, with its path and query.
    Service { path: String },
}

impl Call {
    /// Reads a call.
    ///
    /// # Errors
    ///
    /// Returns why the call is refused.
    pub(crate) async fn read(shared: &Shared, request: &mut Request) -> Result<Self, Fault> {
        let arrived = shared.clock.now();
        let in_force = shared.in_force();
        let contract = authenticate(request.headers(), &in_force)?;
        let limits = &shared.settings.callers;
        let body =
            body::read(request, *limits.body_bytes, *limits.body_time, &shared.bodies).await?;
        let work = work(request, &body)?;
        let route = route(contract, request, &work)?.clone();
        let parts = shared_parts(&work);
        let headers = request.headers();
        let deadline = match header_number(headers, "x-wasabi-deadline-ms")? {
            Some(left) => route.deadline_ms.min(Millis(left)),
            None => route.deadline_ms,
        };
        let (key, key_created) = key(headers, &route)?;
        let caller = header_text(headers, HEADER).and_then(Context::parse);
        Ok(Self {
            id: crate::shared::new_attempt(),
            organisation: contract.organisation.clone(),
            share: contract.share,
            route,
            work,
            method: request.method().clone(),
            headers: headers.clone(),
            parts,
            fingerprint: fingerprint::Body::of(&contract.organisation, &body),
            body,
            key,
            key_created,
            arrived,
            deadline: arrived + deadline,
            span: Span::start("request", caller),
        })
    }

    /// Returns the request for a grant that is sent to the pool's owner.
    pub(crate) fn request(
        &self,
        now: Millis,
        attempt: id::Attempt,
        avoid: &[id::Endpoint],
    ) -> request::Request {
        let (prompt_tokens, output_tokens, prefix) = match &self.work {
            Work::Chat(chat) => {
                let output = chat.max_completion_tokens.or(chat.max_tokens);
                let prompt = u32::try_from(self.body.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
                let prefix = fingerprint::prefix_blocks(&self.body);
                (prompt, output.map_or(DEFAULT_OUTPUT_TOKENS, NonZeroU32::get), prefix)
            }
            Work::Service { .. } => (1, 1, Vec::new()),
        };
        request::Request {
            attempt,
            organisation: self.organisation.clone(),
            route: self.route.name.clone(),
            backend: self.route.target.backend().clone(),
            tier: self.route.tier,
            share: self.share,
            idempotent: self.route.repeat.is_idempotent(),
            prompt_tokens,
            output_tokens,
            prefix,
            fingerprint: self.fingerprint,
            parts: self.parts.clone(),
            waited: now.since(self.arrived),
            remaining: self.deadline.since(now),
            first_token: self.route.first_token_ms,
            between_tokens: self.route.between_tokens_ms,
            leaves_after: Millis::ZERO,
            avoid: avoid.to_vec(),
            closed: Vec::new(),
            patience: Default::default(),
        }
    }

    /// Returns the path and query that are sent to the endpoint.
    pub(crate) fn path(&self) -> &str {
        match &self.work {
            Work::Chat(_) => "/v1/chat/completions",
            Work::Service { path } => path,
        }
    }
}

/// Returns the contract that the caller's bearer token belongs to.
///
/// # Errors
///
/// Returns an error when the token is missing or unknown.
pub(crate) fn authenticate<'a>(
    headers: &HeaderMap,
    in_force: &'a crate::shared::InForce,
) -> Result<&'a Contract, Fault> {
    header_text(headers, header::AUTHORIZATION.as_str())
        .and_then(|value| value.strip_prefix("Bearer "))
        .and_then(|token| in_force.contract(token.trim()))
        .ok_or_else(|| {
            let message =
                "the header `Authorization: Bearer <token>` must carry a token of a contract";
            Fault::new(Kind::Unauthorized, message)
        })
}

fn work(request: &Request, body: &[u8]) -> Result<Work, Fault> {
    if request.path() == "/v1/chat/completions" {
        if request.method() != Method::POST {
            return Err(Fault::new(Kind::BadRequest, "chat completions require the POST method"));
        }
        let chat = serde_json::from_slice::<ChatRequest>(body).map_err(|error| {
            Fault::new(
                Kind::BadRequest,
                format!("the body is not a valid chat completion request: {error}"),
            )
        })?;
        if chat.messages.is_empty() {
            return Err(Fault::new(Kind::BadRequest, "`messages` must not be empty"));
        }
        return Ok(Work::Chat(chat));
    }
    let Some(rest) = request.path().strip_prefix("/services/") else {
        return Err(Fault::new(Kind::UnknownRoute, "unknown path"));
    };
    let path = rest.find('/').map_or("/", |at| &rest[at..]);
    let path = match request.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    Ok(Work::Service { path })
}

fn route<'a>(contract: &'a Contract, request: &Request, work: &Work) -> Result<&'a Route, Fault> {
    let service = request.path().strip_prefix("/services/").map(|rest| {
        rest.split_once('/').map_or((rest, "/"), |(name, _)| (name, &rest[name.len()..]))
    });
    let matched_route = match (work, service) {
        (Work::Chat(chat), _) => {
            let named = header_text(request.headers(), "x-wasabi-route");
            match named.map(|name| contract.route(name)) {
                Some(route) => route.filter(|route| targets_model(route, &chat.model)),
                None => contract.model_route(&chat.model),
            }
        }
        (Work::Service { .. }, Some((name, path))) => {
            service_route(contract, request.method(), name, path)?
        }
        (Work::Service { .. }, None) => None,
    };
    matched_route.ok_or_else(|| {
        let message = "the contract has no route that matches this call";
        Fault::new(Kind::UnknownRoute, message)
    })
}

/// Returns the messages of a prompt that other requests may share, without duplicates. The last one
/// belongs to the request itself.
fn shared_parts(work: &Work) -> Vec<fingerprint::Part> {
    let Work::Chat(chat) = work else { return Vec::new() };
    let shared = chat.messages.len().saturating_sub(1);
    let encoded = chat.messages[..shared].iter().filter_map(|one| serde_json::to_vec(one).ok());
    fingerprint::distinct_parts(encoded.map(|message| fingerprint::Part::of(&message)))
}

/// Returns the route of a service call.
///
/// Endpoints may decode a path, resolve its dot segments and merge its slashes. A path that would
/// match another route after this normalization is refused, since that route may not allow retries.
///
/// # Errors
///
/// Returns an error when the path has dot segments or matches different routes.
fn service_route<'a>(
    contract: &'a Contract,
    method: &Method,
    service: &str,
    path: &str,
) -> Result<Option<&'a Route>, Fault> {
    let decoded = percent_decode_str(path).decode_utf8_lossy();
    let segments: Vec<_> = decoded.split('/').filter(|segment| !segment.is_empty()).collect();
    if segments.iter().any(|segment| matches!(*segment, "." | "..")) {
        return Err(Fault::new(Kind::BadRequest, "the path must not contain dot segments"));
    }
    let normalized = format!("/{}", segments.join("/"));
    let route = contract.service_route(service, method.as_str(), path);
    let normalized_route = contract.service_route(service, method.as_str(), &normalized);
    if route.map(|route| &route.name) != normalized_route.map(|route| &route.name) {
        let message = "the path matches another route after decoding; send the decoded path";
        return Err(Fault::new(Kind::BadRequest, message));
    }
    Ok(route)
}

fn targets_model(route: &Route, model: &str) -> bool {
    matches!(&route.target, Target::Model { name } if name.as_str() == model)
}

/// Reads the idempotency key and its creation time, and checks that the route's requirements are
/// met.
fn key(headers: &HeaderMap, route: &Route) -> Result<(Option<id::Key>, Option<Millis>), Fault> {
    let key = header_text(headers, "idempotency-key");
    if headers.contains_key("idempotency-key") && key.is_none() {
        return Err(Fault::new(
            Kind::BadRequest,
            "the idempotency key must consist of visible ASCII characters",
        ));
    }
    if key.is_some_and(|key| key.is_empty() || KEY_BYTES_MAX < key.len()) {
        let message = format!("the idempotency key must have 1 to {KEY_BYTES_MAX} bytes");
        return Err(Fault::new(Kind::BadRequest, message));
    }
    let created = header_number(headers, "idempotency-key-created")?.map(Millis);
    if created.is_some_and(|created| unix_now() + KEY_CLOCK_SKEW_MAX < created) {
        return Err(Fault::new(
            Kind::BadRequest,
            "the creation time of the idempotency key is in the future",
        ));
    }
    if let Repeat::AtMostOnce { require_key, require_key_time } = route.repeat {
        if require_key && key.is_none() {
            let message = "this route requires an `Idempotency-Key` header";
            return Err(Fault::new(Kind::KeyRequired, message));
        }
        if require_key_time && key.is_some() && created.is_none() {
            let message =
                "this route requires an `Idempotency-Key-Created` header (Unix time in ms)";
            return Err(Fault::new(Kind::KeyRequired, message));
        }
    }
    Ok((key.map(id::Key::from), created))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Fault> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let number = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    number
        .map(Some)
        .ok_or_else(|| Fault::new(Kind::BadRequest, format!("`{name}` must be a whole number")))
}
