//! Passes a stream of events on as it comes, and goes on elsewhere when it breaks.

use std::{io, time::Duration};

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use wasabi_protocol::{clock::Millis, fault::Kind, request::End};

use crate::{
    dispatch::grant::GrantGuard,
    forward::{events::Reader, handler::Attempts, send},
    opened::{Failure, Opened},
    shared::Open,
};

/// A stream on its way to its caller.
pub(crate) struct Relay {
    attempts: Attempts,
    opened: Opened,
    held: Option<GrantGuard>,
    reader: Reader,
    /// When the caller had its last event, on the process's clock.
    progressed: Millis,
    _open: Open,
}

impl Drop for Relay {
    /// Names a stream that the end of a draining entry cuts.
    fn drop(&mut self) {
        let Attempts { worker, call, .. } = &self.attempts;
        let Some(cuts_at) = worker.shared.cuts_at().filter(|_| self.held.is_some()) else { return };
        let now = worker.shared.clock.now();
        if cuts_at <= now {
            let (request, age_ms) = (&call.id, now.since(call.arrived).0);
            tracing::warn!(request, age_ms, sent = self.reader.count(), "stream cut by the stop");
        }
    }
}

/// Returns the events of a relay. It ends without an error only when the answer is whole.
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
    /// Returns the relay of an answer that has begun.
    pub(crate) fn new(attempts: Attempts, opened: Opened, held: GrantGuard, open: Open) -> Self {
        let progressed = attempts.worker.shared.clock.now();
        let reader = Reader::default();
        Self { attempts, opened, held: Some(held), reader, progressed, _open: open }
    }

    /// Returns the next events, or none when the answer is whole.
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
        let silent = worker.shared.clock.now().since(self.progressed).duration();
        let bound = self.bound().saturating_sub(silent);
        let deadline = send::deadline(worker, call);
        let Some(chunk) = self.opened.next(deadline, bound).await? else {
            if self.reader.has_partial() {
                let message = "the stream ended within an event";
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
            self.progressed = self.attempts.worker.shared.clock.now();
            if let Some(held) = &mut self.held {
                held.record_progress(tokens);
            }
        }
        Ok(Some(events))
    }

    /// Returns the longest silence that is borne. Only a stream that can go on elsewhere gains
    /// from an early end.
    fn bound(&self) -> Duration {
        let call = &self.attempts.call;
        let grant = self.held.as_ref().map(GrantGuard::grant);
        let Some(grant) = grant.filter(|_| call.is_resumable()) else {
            return call.deadline.since(call.arrived).duration();
        };
        let per_event = u64::from(call.backend.tokens_per_event.max(1));
        let between = grant.between_tokens_bound.0.saturating_mul(per_event);
        Duration::from_millis(between.max(grant.first_token_bound.0))
    }

    /// Goes on at another endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error, which breaks the caller's connection, when that is not possible.
    async fn recover(&mut self, failure: Failure) -> io::Result<()> {
        let Some(held) = self.held.take() else {
            return Err(io::Error::other("the stream has ended"));
        };
        let endpoint = held.grant().endpoint.clone();
        let (request, sent) = (&self.attempts.call.id, self.reader.count());
        tracing::info!(
            request, %endpoint, sent, end = ?failure.end, fault = %failure.fault, "stream broke"
        );
        // No second endpoint may work on the stream while the first one still does.
        self.opened.body.close();
        held.end(failure.end);
        self.reader.drop_partial();
        let last = self.reader.last().map(str::to_owned);
        let resumed = self.attempts.resume(endpoint, failure, last.as_deref()).await;
        let (opened, held) = resumed.map_err(|fault| {
            tracing::info!(request = self.attempts.call.id, %fault, "stream is not resumed");
            io::Error::other(fault.message)
        })?;
        self.opened = opened;
        self.held = Some(held);
        self.progressed = self.attempts.worker.shared.clock.now();
        Ok(())
    }

    fn finish(&mut self) {
        if let Some(held) = self.held.take() {
            held.end(End::Finished);
        }
        let Attempts { worker, call, .. } = &self.attempts;
        worker.shared.finished(call.tier, &call.route.name, call.arrived);
    }
}
