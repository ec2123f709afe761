//! The guard of a grant, which always reports to the owner how the attempt ended.

use wasabi_protocol::{
    clock::{Clock, Millis},
    id,
    request::{End, Report, Request},
    rpc::{Grant, Release},
};

use crate::message::{Handle, Message};

/// A grant in use. Dropping the guard releases the grant; unless [`GrantGuard::end`] was called,
/// the attempt is reported as abandoned.
#[derive(Debug)]
pub(crate) struct GrantGuard {
    handle: Handle,
    clock: Clock,
    grant: Grant,
    attempt: id::Attempt,
    route: id::Route,
    sent_at: Millis,
    last_progress: Millis,
    report: Report,
}

impl GrantGuard {
    /// Returns the guard of a grant for the attempt of `request`.
    pub(crate) fn new(handle: Handle, clock: Clock, grant: Grant, request: &Request) -> Self {
        let sent_at = clock.now();
        Self {
            handle,
            clock,
            grant,
            attempt: request.attempt,
            route: request.route.clone(),
            sent_at,
            last_progress: sent_at,
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

    /// Records that the request is being sent now.
    pub(crate) fn mark_sent(&mut self) {
        self.sent_at = self.clock.now();
    }

    /// Records that the response progressed and has `tokens` tokens so far.
    pub(crate) fn record_progress(&mut self, tokens: u32) {
        self.last_progress = self.clock.now();
        self.report.first_token.get_or_insert(self.last_progress.since(self.sent_at));
        self.report.output_tokens = tokens;
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
        if let Some(first) = self.report.first_token {
            self.report.stream = self.last_progress.since(self.sent_at + first);
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
        })));
    }
}
