//! The guard of a grant: it tells the owner how the attempt ended, in every case.

use wasabi_protocol::{
    clock::{Clock, Millis},
    id,
    request::{End, Report, Request},
    rpc::{Grant, Release},
};

use crate::message::{Handle, Message};

/// A grant in use. Dropping it releases it; without a stated end it counts as abandoned.
#[derive(Debug)]
pub(crate) struct GrantGuard {
    handle: Handle,
    clock: Clock,
    grant: Grant,
    attempt: id::Attempt,
    route: id::Route,
    started: Millis,
    last: Millis,
    report: Report,
}

impl GrantGuard {
    /// Returns the guard of a grant that the request with this attempt got.
    pub(crate) fn new(handle: Handle, clock: Clock, grant: Grant, request: &Request) -> Self {
        let started = clock.now();
        Self {
            handle,
            clock,
            grant,
            attempt: request.attempt,
            route: request.route.clone(),
            started,
            last: started,
            report: Report {
                end: End::Abandoned,
                first_token: None,
                stream: Millis::ZERO,
                output_tokens: 0,
                prompt_tokens: request.prompt_tokens,
            },
        }
    }

    /// Returns the grant.
    pub(crate) fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Notes that the request is sent now.
    pub(crate) fn sent(&mut self) {
        self.started = self.clock.now();
    }

    /// Notes that the answer made progress and has this many tokens.
    pub(crate) fn progress(&mut self, tokens: u32) {
        self.last = self.clock.now();
        self.report.first_token.get_or_insert(self.last.since(self.started));
        self.report.output_tokens = tokens;
    }

    /// Returns the time to the first token, once it came.
    pub(crate) fn first_token(&self) -> Option<Millis> {
        self.report.first_token
    }

    /// Releases the grant with the attempt's end.
    pub(crate) fn end(mut self, end: End) {
        self.report.end = end;
    }
}

impl Drop for GrantGuard {
    fn drop(&mut self) {
        if let Some(first) = self.report.first_token {
            self.report.stream = self.last.since(self.started + first);
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
