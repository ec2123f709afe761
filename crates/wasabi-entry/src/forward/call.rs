//! Reads a request and determines its route, organisation, size, deadline and body.

use std::sync::Arc;

use actix_http::{
    HttpMessage as _, Method, Request,
    header::{self, HeaderMap, HeaderName},
};
use bytes::Bytes;
use wasabi_protocol::{
    clock::Millis,
    contract::{TIERS, Tier},
    fault::{Fault, Kind},
    fingerprint, id, request,
    site::{Backend, Repeat, Route},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    callers::body,
    forward::dialect::{Dialect, Size},
    shared::Shared,
};

/// Tokens per block of a prompt, at four bytes per token.
const TOKENS_PER_BLOCK: u32 = fingerprint::PREFIX_BLOCK_BYTES as u32 / 4;

/// Smallest share. Callers without an organisation or without a token limit have this one.
const MIN_SHARE: u32 = 1;

/// Token rate of an organisation per unit of its share, in tokens per second.
const TOKENS_PER_S_PER_SHARE: u32 = 1_000;

/// A request that was read completely and matched to a route.
pub(crate) struct Call {
    /// The request id that the caller chose.
    pub(crate) id: String,
    pub(crate) organisation: id::Organisation,
    pub(crate) share: u32,
    pub(crate) tier: Tier,
    pub(crate) route: Arc<Route>,
    pub(crate) backend: Backend,
    pub(crate) method: Method,
    /// The path and query, unchanged.
    pub(crate) target: String,
    /// The headers that are forwarded to the endpoint.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) size: Size,
    pub(crate) fingerprint: fingerprint::Body,
    /// The parts of the prompt that other requests may share.
    pub(crate) parts: Vec<fingerprint::Part>,
    /// Arrival time, on the process's clock.
    pub(crate) arrived: Millis,
    /// The earlier of the caller's deadline and the route's timeout, on the process's clock.
    pub(crate) deadline: Millis,
}

impl Call {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused before it was sent to any endpoint.
    pub(crate) async fn read(
        shared: &Shared,
        dialect: &Dialect,
        request: &mut Request,
    ) -> Result<Self, Fault> {
        let arrived = shared.clock.now();
        let in_force = shared.in_force();
        let Some(site) = &in_force.site else {
            let message = "this entry has no configuration yet; use another entry";
            return Err(Fault::new(Kind::EntryIsolated, message));
        };
        let headers = request.headers();
        let host =
            header_text(headers, &header::HOST).or_else(|| request.uri().host()).unwrap_or("");
        let Some(route) = site.route(host, request.path()).cloned() else {
            let message = format!("no route matches {host}{}", request.path());
            return Err(Fault::new(Kind::UnknownRoute, message));
        };
        let organisation =
            header_text(headers, &dialect.key).and_then(|key| site.organisation(key));
        if site.has_keys && !route.is_open && organisation.is_none() {
            let message = format!("the header `{}` must carry a valid key", dialect.key);
            return Err(Fault::new(Kind::Unauthorized, message));
        }
        let target = route.target(fastrand::f64()).map(|target| target.backend.clone());
        let backend = target.and_then(|name| site.backend(name.as_str()).cloned());
        let Some(backend) = backend else {
            return Err(Fault::new(Kind::NoEndpoint, "the route has no back end"));
        };
        let remaining =
            header_text(headers, &dialect.deadline).and_then(|value| value.trim().parse().ok());
        let remaining =
            remaining.map_or(route.timeout, |remaining| Millis(remaining).min(route.timeout));
        let size = (dialect.size)(headers);
        let size = size.unwrap_or_else(|| Size {
            prompt_tokens: organisation.map_or(1, |organisation| organisation.plain_tokens.max(1)),
            ..Size::default()
        });
        let share = organisation.map_or(MIN_SHARE, |organisation| {
            (organisation.tokens_per_s / TOKENS_PER_S_PER_SHARE).max(MIN_SHARE)
        });
        let tier = tier(organisation.and_then(|organisation| organisation.tier), route.tier);
        let name = organisation.map_or_else(|| "".into(), |organisation| organisation.name.clone());
        let headers_to_forward = forwarded_headers(headers, dialect);
        let (body_bytes, method) = (site.body_bytes, request.method().clone());
        let id = request_id(headers, dialect).to_owned();
        let path = request.uri().path_and_query().map_or("/", |target| target.as_str()).to_owned();
        let body = body::read(request, body_bytes, remaining, &shared.bodies).await?;
        Ok(Self {
            id,
            fingerprint: fingerprint::Body::of_parts(&name, &[path.as_bytes(), &body]),
            parts: shared_parts(&size),
            organisation: name,
            share,
            tier,
            route,
            backend,
            method,
            target: path,
            headers: headers_to_forward,
            body,
            size,
            arrived,
            deadline: arrived + remaining,
        })
    }

    /// Returns whether the request may be sent again after part of it was sent.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.repeat.is_repeatable()
    }

    /// Returns whether another endpoint may resume a stream that broke.
    pub(crate) fn is_resumable(&self) -> bool {
        self.route.repeat == Repeat::Resumable
    }

    /// Returns the request for a grant that is sent to the pool's owner.
    pub(crate) fn request(
        &self,
        now: Millis,
        attempt: id::Attempt,
        avoid: &[id::Endpoint],
    ) -> request::Request {
        let per_event = u64::from(self.backend.tokens_per_event.max(1));
        let between_tokens = match self.route.between_events {
            Millis::ZERO => self.route.first_event,
            between_tokens => Millis(between_tokens.0.div_ceil(per_event)),
        };
        request::Request {
            attempt,
            organisation: self.organisation.clone(),
            route: self.route.name.clone(),
            backend: self.backend.name.clone(),
            tier: self.tier,
            share: self.share,
            idempotent: self.is_repeatable(),
            prompt_tokens: self.size.prompt_tokens,
            output_tokens: self.size.output_tokens,
            prefix: prefix_hashes(&self.size),
            fingerprint: self.fingerprint,
            parts: self.parts.clone(),
            waited: now.since(self.arrived),
            remaining: self.deadline.since(now),
            first_token: self.route.first_event,
            between_tokens,
            leaves_after: self.route.leaves_after,
            avoid: avoid.to_vec(),
            closed: Vec::new(),
            patience: Default::default(),
        }
    }
}

/// Returns the request id that the caller chose, or an empty string when there is none.
pub(crate) fn request_id<'a>(headers: &'a HeaderMap, dialect: &Dialect) -> &'a str {
    header_text(headers, &dialect.request).unwrap_or_default()
}

/// Returns the tier of a request. The organisation's tier takes precedence, and the route's tier
/// orders the requests of organisations with the same tier.
fn tier(organisation: Option<Tier>, route: Tier) -> Tier {
    const LAST: u8 = TIERS as u8 - 1;
    match organisation {
        None => route,
        // Tiers 0 and 1 are for organisations of the top tier, the other three for the rest.
        Some(Tier::TOP) => Tier(route.0 / 2).min(Tier(1)),
        Some(_) => Tier(route.0.saturating_add(2).min(LAST)),
    }
}

/// Returns the parts of a prompt that other requests may share, without duplicates. The last part
/// belongs to the request itself.
fn shared_parts(size: &Size) -> Vec<fingerprint::Part> {
    let shared = size.parts.len().saturating_sub(1);
    fingerprint::distinct_parts(size.parts[..shared].iter().map(|part| fingerprint::Part(part.id)))
}

/// Returns a chained hash for each block of a prompt, so that two prompts have equal hashes as far
/// as their prefixes are equal.
fn prefix_hashes(size: &Size) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut previous = 0;
    for part in &size.parts {
        let count = part.tokens.div_ceil(TOKENS_PER_BLOCK);
        for block in 0..count {
            let name = [part.id, u64::from(block)].map(u64::to_le_bytes).concat();
            previous = xxh3_64_with_seed(&name, previous);
            if hashes.len() == fingerprint::PREFIX_BLOCKS_MAX {
                return hashes;
            }
            hashes.push(previous);
        }
    }
    hashes
}

/// Returns the headers that are forwarded to an endpoint.
fn forwarded_headers(headers: &HeaderMap, dialect: &Dialect) -> HeaderMap {
    let connection_headers: Vec<&str> = header_text(headers, &header::CONNECTION)
        .map(|value| value.split(',').map(str::trim).collect())
        .unwrap_or_default();
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        let is_entry_header = *name == dialect.key
            || *name == dialect.organisation
            || *name == dialect.endpoint
            || *name == dialect.deadline
            || dialect.reserved.contains(name);
        let is_connection_header =
            connection_headers.iter().any(|other| other.eq_ignore_ascii_case(name.as_str()));
        if !is_entry_header && !is_connection_header && !is_hop_by_hop(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Returns whether a header is hop-by-hop, and so is not forwarded.
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "expect"
    )
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
