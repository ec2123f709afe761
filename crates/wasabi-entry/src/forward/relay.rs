//! Forwards a stream of events to the caller, and resumes it at another endpoint when it breaks.

use std::{io, time::Duration};

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use wasabi_protocol::{clock::Millis, fault::Kind, request::End};

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
    /// When the last event was sent to the caller, on the process's clock.
    last_event_at: Millis,
    _open: OpenRequest,
}

impl Drop for Relay {
    /// Logs a stream that is cut when the drain period of this entry ends.
    fn drop(&mut self) {
        let Attempts { worker, call, .. } = &self.attempts;
        let Some(cuts_at) = worker.shared.cuts_at().filter(|_| self.guard.is_some()) else {
            return;
        };
        let now = worker.shared.clock.now();
        if cuts_at <= now {
            let (request, age_ms) = (&call.id, now.since(call.arrived).0);
            tracing::warn!(
                request,
                age_ms,
                sent = self.reader.count(),
                "stream cut at the end of the drain period"
            );
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
        let last_event_at = attempts.worker.shared.clock.now();
        let reader = Reader::default();
        Self { attempts, opened, guard: Some(guard), reader, last_event_at, _open: open }
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
            self.recover(failure).await?;
        }
    }

    async fn read(&mut self) -> Result<Option<Bytes>, Failure> {
        let Attempts { worker, call, .. } = &self.attempts;
        let elapsed = worker.shared.clock.now().since(self.last_event_at).duration();
        let bound = self.silence_timeout().saturating_sub(elapsed);
        let deadline = send::deadline(worker, call);
        let Some(chunk) = self.opened.next(deadline, bound).await? else {
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
            self.last_event_at = self.attempts.worker.shared.clock.now();
            if let Some(guard) = &mut self.guard {
                guard.record_progress(tokens);
            }
        }
        Ok(Some(events))
    }

    /// Returns the longest time without an event before the stream counts as silent. Ending a
    /// stream early helps only if another endpoint can resume it; any other stream has until its
    /// deadline.
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

    /// Resumes the stream at another endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error, which aborts the caller's connection, when the stream cannot be resumed.
    async fn recover(&mut self, failure: Failure) -> io::Result<()> {
        let Some(guard) = self.guard.take() else {
            return Err(io::Error::other("the stream has already ended"));
        };
        let endpoint = guard.grant().endpoint.clone();
        let (request, sent) = (&self.attempts.call.id, self.reader.count());
        tracing::info!(
            request, %endpoint, sent, end = ?failure.end, fault = %failure.fault, "stream failed"
        );
        // The first endpoint must stop before a second one works on the same stream.
        self.opened.body.close();
        guard.end(failure.end);
        self.reader.drop_partial();
        let last_id = self.reader.last_id().map(str::to_owned);
        let resumed = self.attempts.resume(endpoint, failure, last_id.as_deref()).await;
        let (opened, guard) = resumed.map_err(|fault| {
            tracing::info!(request = self.attempts.call.id, %fault, "stream not resumed");
            io::Error::other(fault.message)
        })?;
        self.opened = opened;
        self.guard = Some(guard);
        self.last_event_at = self.attempts.worker.shared.clock.now();
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
