//! What a request asks for: its route, organisation, size, deadline and body.

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

/// Tokens that one block of a prompt stands for, at four bytes a token.
const BLOCK_TOKENS: u32 = fingerprint::PREFIX_BLOCK_BYTES as u32 / 4;

/// Weight of an organisation whose requests have no limit.
const SHARE_UNLIMITED: u32 = 1;

/// Tokens a second that one unit of an organisation's share stands for.
const TOKENS_PER_SHARE: u32 = 1_000;

/// A request that was read whole and found its route.
pub(crate) struct Call {
    /// The caller's id of the request.
    pub(crate) id: String,
    pub(crate) organisation: id::Organisation,
    pub(crate) share: u32,
    pub(crate) tier: Tier,
    pub(crate) route: Arc<Route>,
    pub(crate) backend: Backend,
    pub(crate) method: Method,
    /// The path and query, unchanged.
    pub(crate) target: String,
    /// The headers that are passed on.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) size: Size,
    pub(crate) fingerprint: fingerprint::Body,
    /// When it arrived, on the process's clock.
    pub(crate) arrived: Millis,
    /// When its caller or its route gives up, on the process's clock.
    pub(crate) deadline: Millis,
}

impl Call {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal; nothing ran.
    pub(crate) async fn read(
        shared: &Shared,
        dialect: &Dialect,
        request: &mut Request,
    ) -> Result<Self, Fault> {
        let arrived = shared.clock.now();
        let in_force = shared.in_force();
        let Some(site) = &in_force.site else {
            let message = "no configuration is known here yet; use another entry";
            return Err(Fault::new(Kind::EntryIsolated, message));
        };
        let headers = request.headers();
        let host = text(headers, &header::HOST).or_else(|| request.uri().host()).unwrap_or("");
        let Some(route) = site.route(host, request.path()).cloned() else {
            let message = format!("no route leads from {host}{}", request.path());
            return Err(Fault::new(Kind::UnknownRoute, message));
        };
        let organisation = text(headers, &dialect.key).and_then(|key| site.organisation(key));
        if site.has_keys && !route.is_open && organisation.is_none() {
            let message = format!("send `{}` with a key that is in force", dialect.key);
            return Err(Fault::new(Kind::Unauthorized, message));
        }
        let target = route.target(fastrand::f64()).map(|target| target.backend.clone());
        let backend = target.and_then(|name| site.backend(name.as_str()).cloned());
        let Some(backend) = backend else {
            return Err(Fault::new(Kind::NoEndpoint, "the route leads to no back end"));
        };
        let left = text(headers, &dialect.deadline).and_then(|value| value.trim().parse().ok());
        let left = left.map_or(route.timeout, |left| Millis(left).min(route.timeout));
        let size = (dialect.size)(headers);
        let size = size.unwrap_or_else(|| Size {
            prompt_tokens: organisation.map_or(1, |organisation| organisation.plain_tokens.max(1)),
            ..Size::default()
        });
        let share = organisation.map_or(SHARE_UNLIMITED, |organisation| {
            (organisation.tokens_per_s / TOKENS_PER_SHARE).max(SHARE_UNLIMITED)
        });
        let tier = tier(organisation.and_then(|organisation| organisation.tier), route.tier);
        let name = organisation.map_or_else(|| "".into(), |one| one.name.clone());
        let passed = passed(headers, dialect);
        let (body_bytes, method) = (site.body_bytes, request.method().clone());
        let id = request_id(headers, dialect).to_owned();
        let path = request.uri().path_and_query().map_or("/", |target| target.as_str()).to_owned();
        let body = body::read(request, body_bytes, left).await?;
        let mut identity = path.clone().into_bytes();
        identity.extend_from_slice(&body);
        Ok(Self {
            id,
            fingerprint: fingerprint::Body::of(&name, &identity),
            organisation: name,
            share,
            tier,
            route,
            backend,
            method,
            target: path,
            headers: passed,
            body,
            size,
            arrived,
            deadline: arrived + left,
        })
    }

    /// Returns whether the request may be sent again after bytes of it left.
    pub(crate) fn is_repeatable(&self) -> bool {
        self.route.repeat.is_repeatable()
    }

    /// Returns whether another endpoint may go on with a broken answer.
    pub(crate) fn is_resumable(&self) -> bool {
        self.route.repeat == Repeat::Resumable
    }

    /// Returns what the pool owner needs to know for an attempt.
    pub(crate) fn request(
        &self,
        now: Millis,
        attempt: id::Attempt,
        avoid: &[id::Endpoint],
    ) -> request::Request {
        let per_event = u64::from(self.backend.tokens_per_event.max(1));
        let between = match self.route.between_events {
            Millis::ZERO => self.route.first_event,
            between => Millis(between.0.div_ceil(per_event)),
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
            prefix: blocks(&self.size),
            fingerprint: self.fingerprint,
            waited: now.since(self.arrived),
            remaining: self.deadline.since(now),
            first_token: self.route.first_event,
            between_tokens: between,
            leaves_after: self.route.leaves_after,
            avoid: avoid.to_vec(),
        }
    }
}

/// Returns the caller's id of a request, or nothing when it names none.
pub(crate) fn request_id<'a>(headers: &'a HeaderMap, dialect: &Dialect) -> &'a str {
    text(headers, &dialect.request).unwrap_or_default()
}

/// Returns the tier of a request: that of its organisation goes first, that of its route orders the
/// requests of organisations with the same one.
fn tier(organisation: Option<Tier>, route: Tier) -> Tier {
    const LAST: u8 = TIERS as u8 - 1;
    match organisation {
        None => route,
        // Two tiers for the organisations that go before all others, three for the rest.
        Some(Tier::TOP) => Tier(route.0 / 2).min(Tier(1)),
        Some(_) => Tier(route.0.saturating_add(2).min(LAST)),
    }
}

/// Returns the chained hashes of a prompt's blocks, longest prefix last. Two prompts share the
/// hashes of the parts that they share.
fn blocks(size: &Size) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut previous = 0;
    for part in &size.parts {
        let count = part.tokens.div_ceil(BLOCK_TOKENS);
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

/// Returns the headers that are passed on to an endpoint.
fn passed(headers: &HeaderMap, dialect: &Dialect) -> HeaderMap {
    let named: Vec<&str> = text(headers, &header::CONNECTION)
        .map(|value| value.split(',').map(str::trim).collect())
        .unwrap_or_default();
    let mut passed = HeaderMap::new();
    for (name, value) in headers {
        let is_own = *name == dialect.key
            || *name == dialect.organisation
            || *name == dialect.endpoint
            || *name == dialect.deadline
            || dialect.reserved.contains(name);
        let is_named = named.iter().any(|other| other.eq_ignore_ascii_case(name.as_str()));
        if !is_own && !is_named && !is_of_hop(name) {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

/// Returns whether a header concerns one connection only.
pub(crate) fn is_of_hop(name: &HeaderName) -> bool {
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

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
