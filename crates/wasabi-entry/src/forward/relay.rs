//! Forwards a stream of events to the caller, and resumes it at another endpoint when it breaks.

use std::{io, time::Duration};

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use wasabi_protocol::{
    clock::Millis,
    fault::{Fault, Kind},
    request::End,
};

use crate::{
    dispatch::grant::GrantGuard,
    endpoint_response::{EndpointResponse, Failure},
    forward::{events::Reader, handler::Attempts, send},
    shared::OpenRequest,
};

/// A stream that is being forwarded to its caller.
pub(crate) struct Relay {
    attempts: Attempts,
    opened: EndpointResponse,
    guard: Option<GrantGuard>,
    reader: Reader,
    /// When the last event was sent to the caller, or another endpoint was sought in vain, on the
    /// process's clock.
    silent_since: Millis,
    _open: OpenRequest,
}

impl Drop for Relay {
    /// Logs why a stream ends before its end: the drain period of this entry has, or the caller's
    /// connection was closed. Streams that ended or failed have no grant any more.
    fn drop(&mut self) {
        if self.guard.is_none() {
            return;
        }
        let Attempts { worker, call, .. } = &self.attempts;
        let now = worker.shared.clock.now();
        let (request, age_ms) = (&call.id, now.since(call.arrived).0);
        let (sent, silent_ms) = (self.reader.count(), now.since(self.silent_since).0);
        if worker.shared.cuts_at().is_some_and(|cuts_at| cuts_at <= now) {
            tracing::warn!(
                request,
                age_ms,
                sent,
                silent_ms,
                "stream cut at the end of the drain period"
            );
        } else {
            tracing::info!(request, age_ms, sent, silent_ms, "stream closed by its caller");
        }
    }
}

/// Returns the events of a relay. The stream ends without an error only if the response is
/// complete.
pub(crate) fn stream(relay: Relay) -> impl Stream<Item = io::Result<Bytes>> {
    stream::unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(events)) => Some((Ok(events), Some(relay))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    })
}

impl Relay {
    /// Returns the relay for a response that has started.
    pub(crate) fn new(
        attempts: Attempts,
        opened: EndpointResponse,
        guard: GrantGuard,
        open: OpenRequest,
    ) -> Self {
        let silent_since = attempts.worker.shared.clock.now();
        let reader = Reader::default();
        Self { attempts, opened, guard: Some(guard), reader, silent_since, _open: open }
    }

    /// Returns the next events, or `None` when the response is complete.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let failure = match self.read().await {
                Ok(Some(events)) if events.is_empty() => continue,
                Ok(Some(events)) => return Ok(Some(events)),
                Ok(None) => {
                    self.finish();
                    return Ok(None);
                }
                Err(failure) => failure,
            };
            if failure.end == End::Silent {
                self.replace_silent(failure).await?;
            } else {
                self.recover(failure).await?;
            }
        }
    }

    /// Reads the next events within the bound on silence.
    async fn read(&mut self) -> Result<Option<Bytes>, Failure> {
        let Attempts { worker, call, .. } = &self.attempts;
        let elapsed = worker.shared.clock.now().since(self.silent_since).duration();
        let bound = self.silence_timeout().saturating_sub(elapsed);
        let deadline = send::deadline(worker, call);
        let chunk = self.opened.next(deadline, bound).await?;
        self.take(chunk)
    }

    /// Returns the whole events that these bytes complete, or `None` at the end of the stream.
    fn take(&mut self, chunk: Option<Bytes>) -> Result<Option<Bytes>, Failure> {
        let Some(chunk) = chunk else {
            if self.reader.has_partial() {
                let message = "the stream ended in the middle of an event";
                return Err(Failure::new(End::Broken, Kind::StreamBroken, message));
            }
            return Ok(None);
        };
        let before = self.reader.count();
        let events = self
            .reader
            .read(&chunk)
            .map_err(|error| Failure::new(End::Failed, Kind::StreamBroken, error.to_string()))?;
        if self.reader.count() != before {
            let tokens = self.reader.count() * self.attempts.call.backend.tokens_per_event.max(1);
            self.silent_since = self.attempts.worker.shared.clock.now();
            if let Some(guard) = &mut self.guard {
                guard.record_progress(tokens);
            }
        }
        Ok(Some(events))
    }

    /// Returns the longest time without an event before the endpoint counts as silent. A stream that
    /// cannot be resumed has until its deadline.
    fn silence_timeout(&self) -> Duration {
        let call = &self.attempts.call;
        let grant = self.guard.as_ref().map(GrantGuard::grant);
        let Some(grant) = grant.filter(|_| call.is_resumable()) else {
            return call.deadline.since(call.arrived).duration();
        };
        let per_event = u64::from(call.backend.tokens_per_event.max(1));
        let between = grant.between_tokens_bound.0.saturating_mul(per_event);
        Duration::from_millis(between.max(grant.first_token_bound.0))
    }

    /// Seeks another endpoint for a silent stream, and goes on reading meanwhile: the silent one may
    /// only pause. It is left once another one is granted, and kept when none is.
    ///
    /// # Errors
    ///
    /// Returns an error, which aborts the caller's connection, when the stream was left and cannot be
    /// resumed.
    async fn replace_silent(&mut self, failure: Failure) -> io::Result<()> {
        let Some(guard) = &self.guard else { return Err(already_ended()) };
        guard.mark_silent();
        let endpoint = guard.grant().endpoint.clone();
        // The caller has received an event, so its waiting time starts anew.
        let since = self.attempts.worker.shared.clock.now();
        if !self.attempts.may_replace() {
            self.silent_since = since;
            return Ok(());
        }
        let search = self.attempts.acquire_replacement(&endpoint, since);
        let granted = tokio::select! {
            biased;
            () = self.opened.body.ready() => return Ok(()),
            granted = search => granted,
        };
        let Ok((other, _preempted)) = granted else {
            // The next search waits for a whole bound.
            self.silent_since = self.attempts.worker.shared.clock.now();
            return Ok(());
        };
        let last_id = self.leave(&failure)?;
        let resuming = self.attempts.resume_replaced(endpoint, &failure, other, last_id.as_deref());
        let resumed = resuming.await;
        self.go_on(resumed)
    }

    /// Resumes the stream at another endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error, which aborts the caller's connection, when the stream cannot be resumed.
    async fn recover(&mut self, failure: Failure) -> io::Result<()> {
        let Some(guard) = &self.guard else { return Err(already_ended()) };
        let endpoint = guard.grant().endpoint.clone();
        let last_id = self.leave(&failure)?;
        let resumed = self.attempts.resume(endpoint, failure, last_id.as_deref()).await;
        self.go_on(resumed)
    }

    /// Leaves an endpoint: it must stop before a second one works on the same stream. Returns the id
    /// of the last event that the caller has.
    fn leave(&mut self, failure: &Failure) -> io::Result<Option<String>> {
        let guard = self.guard.take().ok_or_else(already_ended)?;
        let (request, endpoint) = (&self.attempts.call.id, &guard.grant().endpoint);
        tracing::info!(
            request, %endpoint, sent = self.reader.count(), end = ?failure.end,
            fault = %failure.fault, "stream failed"
        );
        self.opened.body.close();
        guard.end(failure.end);
        self.reader.drop_partial();
        Ok(self.reader.last_id().map(str::to_owned))
    }

    /// Goes on with the stream of another endpoint.
    fn go_on(&mut self, resumed: Result<(EndpointResponse, GrantGuard), Fault>) -> io::Result<()> {
        let (opened, guard) = resumed.map_err(|fault| {
            tracing::info!(request = self.attempts.call.id, %fault, "stream not resumed");
            io::Error::other(fault.message)
        })?;
        self.opened = opened;
        self.guard = Some(guard);
        self.silent_since = self.attempts.worker.shared.clock.now();
        Ok(())
    }

    fn finish(&mut self) {
        if let Some(guard) = self.guard.take() {
            guard.end(End::Finished);
        }
        let Attempts { worker, call, .. } = &self.attempts;
        worker.shared.finished(call.tier, &call.route.name, call.arrived);
    }
}

fn already_ended() -> io::Error {
    io::Error::other("the stream has already ended")
}
