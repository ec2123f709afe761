//! Acquiring a grant that may be used, and its guard, which always reports to the owner how the
//! attempt ended.

use std::{cell::Cell, sync::Arc};

use tokio::sync::oneshot;
use wasabi_protocol::{
    clock::Millis,
    endpoint::Closed,
    fault::{Fault, Kind},
    fingerprint::Part,
    id,
    request::{End, Report, Request},
    rpc::{Grant, Release},
};
use wasabi_routing::{
    notice::{self, Verdict},
    rate,
};

use crate::{
    callers::server::Worker,
    dispatch::notices,
    message::{Handle, Message},
    shared::{Shared, new_attempt},
};

/// Most grants of one request that are returned because their endpoints accept no requests of this
/// entry. The owner knows them from then on.
const RETURNED_GRANTS_MAX: usize = 3;

/// A grant that may be used now.
pub(crate) struct Acquisition {
    pub(crate) guard: GrantGuard,
    /// Resolves when the owner revokes the grant before the first token.
    pub(crate) preempted: oneshot::Receiver<()>,
}

/// Acquires a grant for an endpoint that accepts requests of this entry.
///
/// # Errors
///
/// Returns the refusal of the pool's owner, or why this entry must not send the request now.
pub(crate) async fn acquire(worker: &Worker, mut request: Request) -> Result<Acquisition, Fault> {
    let shared = &worker.shared;
    let mut asked = shared.clock.now();
    let mut left = Vec::new();
    for _ in 0..=RETURNED_GRANTS_MAX {
        request.closed = shared.notices().resting(shared.clock.now());
        request.closed.extend_from_slice(&left);
        let granted = worker.handle.acquire(request.clone()).await?;
        let guard = GrantGuard::new(worker, granted.grant, &request);
        // The process may have been paused since the request was admitted.
        shared.check_serving()?;
        let (now, grant) = (shared.clock.now(), guard.grant());
        let (endpoint, incarnation) = (&grant.endpoint, grant.incarnation);
        let verdict = shared.notices().verdict(now, endpoint, incarnation);
        let rate = shared.rates().judge(now, endpoint, incarnation, grant.rate);
        match verdict {
            Verdict::Open => match rate {
                rate::Verdict::Usable => {
                    return Ok(Acquisition { guard, preempted: granted.preempted });
                }
                rate::Verdict::Unknown(spacing) => {
                    notices::report_rates(worker, grant);
                    let endpoint = endpoint.clone();
                    left.push(Closed { endpoint, incarnation, left: spacing });
                }
            },
            Verdict::Resting(_) => {}
            Verdict::Leaving => {
                notices::report_departure(worker, grant);
                let endpoint = endpoint.clone();
                left.push(Closed { endpoint, incarnation, left: notice::REST_MAX });
            }
        }
        tracing::info!(%endpoint, ?verdict, ?rate, "returning a grant: the endpoint accepts no requests");
        drop(guard);
        let age = now.since(asked);
        request.attempt = new_attempt();
        request.waited = request.waited + age;
        request.remaining = request.remaining - age;
        asked = now;
    }
    let message = "the endpoints accept no requests of this entry now; use another entry";
    Err(Fault::new(Kind::EndpointUnreachable, message))
}

/// A grant in use. Dropping the guard releases the grant; unless [`GrantGuard::end`] was called,
/// the attempt is reported as abandoned.
#[derive(Debug)]
pub(crate) struct GrantGuard {
    handle: Handle,
    shared: Arc<Shared>,
    grant: Grant,
    /// The parts of the prompt that other requests may share.
    parts: Vec<Part>,
    attempt: id::Attempt,
    route: id::Route,
    sent_at: Millis,
    last_progress: Millis,
    /// Whether the endpoint has been silent for longer than its bound since it last progressed.
    is_silent: Cell<bool>,
    report: Report,
}

impl GrantGuard {
    /// Returns the guard of a grant for the attempt of `request`.
    fn new(worker: &Worker, grant: Grant, request: &Request) -> Self {
        let shared = Arc::clone(&worker.shared);
        let sent_at = shared.clock.now();
        Self {
            handle: worker.handle.clone(),
            shared,
            grant,
            parts: request.parts.clone(),
            attempt: request.attempt,
            route: request.route.clone(),
            sent_at,
            last_progress: sent_at,
            is_silent: Cell::new(false),
            report: Report {
                end: End::Abandoned,
                first_token: None,
                stream: Millis::ZERO,
                output_tokens: 0,
                prompt_tokens: request.prompt_tokens,
            },
        }
    }

    pub(crate) fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Returns the id of the attempt that the grant is for.
    pub(crate) fn attempt(&self) -> id::Attempt {
        self.attempt
    }

    /// Records that the request is being sent now.
    pub(crate) fn mark_sent(&mut self) {
        self.sent_at = self.shared.clock.now();
    }

    /// Records that the response progressed and has `tokens` tokens so far.
    pub(crate) fn record_progress(&mut self, tokens: u32) {
        self.last_progress = self.shared.clock.now();
        self.is_silent.set(false);
        if self.report.first_token.is_none() {
            self.report.first_token = Some(self.last_progress.since(self.sent_at));
            self.shared.answers().record(self.last_progress, &self.parts);
        }
        self.report.output_tokens = tokens;
    }

    /// Records that the endpoint has been silent for longer than its bound. The attempt goes on, but
    /// unless it progresses, the owner learns of the silence when it ends, whoever ends it.
    pub(crate) fn mark_silent(&self) {
        self.is_silent.set(true);
    }

    /// Returns the time to the first token, once it has arrived.
    pub(crate) fn first_token(&self) -> Option<Millis> {
        self.report.first_token
    }

    /// Releases the grant and reports how the attempt ended.
    pub(crate) fn end(mut self, end: End) {
        self.report.end = end;
    }
}

impl Drop for GrantGuard {
    fn drop(&mut self) {
        if self.is_silent.get() && self.report.end == End::Abandoned {
            self.report.end = End::Silent;
            tracing::info!(
                endpoint = %self.grant.endpoint, attempt = %self.attempt,
                "the endpoint was silent until its attempt ended"
            );
        }
        if let Some(first) = self.report.first_token {
            self.report.stream = self.last_progress.since(self.sent_at + first);
        }
        let is_suspect = self.report.end == End::Broken && self.report.first_token.is_none();
        let mut answered = Vec::new();
        if is_suspect {
            answered = self.shared.answers().of(self.shared.clock.now(), &self.parts);
        }
        self.handle.send(Message::Release(Box::new(Release {
            pool: self.grant.pool.clone(),
            owner: self.grant.owner.clone(),
            grant: self.grant.grant,
            attempt: self.attempt,
            endpoint: self.grant.endpoint.clone(),
            route: self.route.clone(),
            version: self.grant.version.clone(),
            report: self.report.clone(),
            answered,
        })));
    }
}
