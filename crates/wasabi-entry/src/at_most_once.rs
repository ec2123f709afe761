//! At-most-once dispatch: an attempt is recorded at control before it is sent.
//!
//! The order of steps is: record at control, check the dispatch window, send. A record that is dropped
//! without an outcome is released when no byte was sent, and finished as "may have run" otherwise.

use std::{rc::Rc, time::Duration};

use actix_http::StatusCode;
use wasabi_protocol::{
    clock::Millis,
    command::{Command, KEPT_BODY_BYTES_MAX, Kept, Key, Outcome},
    fault::{Fault, Kind, Ran},
    fingerprint, id,
    rpc::Proposed,
};

use crate::{
    callers::{call::Call, response, server::Worker},
    dispatch::client::DispatchWindow,
    message::Handle,
    shared::Mode,
};

/// Dispatch window: time, counted from before the record was requested, after which a recorded attempt
/// must no longer be sent.
pub(crate) const WINDOW: Millis = Millis::from_secs(2);

/// First delay between two polls for the outcome of another attempt.
const POLL_DELAY_MIN: Duration = Duration::from_millis(50);

/// Longest delay between two polls for the outcome of another attempt.
const POLL_DELAY_MAX: Duration = Duration::from_secs(1);

/// Delay before a command with an unknown or missing answer is proposed again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Number of times that an outcome or a release is proposed.
const SETTLE_ATTEMPTS: u32 = 50;

/// Number of times that a release is proposed while the caller waits for its answer.
const RELEASE_ATTEMPTS: u32 = 10;

/// The result of recording an attempt.
pub(crate) enum RecordResult {
    /// It may be sent within the dispatch window.
    Written(Record),
    /// Another attempt with this key has no outcome yet.
    Pending,
    /// The key has an outcome.
    Known(Kept),
    /// It must not be sent.
    Refused(Fault),
}

/// A written record of an attempt that has no outcome yet.
pub(crate) struct Record {
    handle: Handle,
    key: Key,
    attempt: id::Attempt,
    window: Rc<DispatchWindow>,
    is_settled: bool,
}

impl Record {
    /// Returns the dispatch window of the attempt, which also tells whether a byte was sent.
    pub(crate) fn window(&self) -> &Rc<DispatchWindow> {
        &self.window
    }

    /// Releases the record because no byte was sent, and returns whether control confirmed it.
    pub(crate) async fn release(mut self) -> bool {
        self.is_settled = true;
        let command = Command::ReleaseDispatch { key: self.key.clone(), attempt: self.attempt };
        if settle(&self.handle, &command, RELEASE_ATTEMPTS).await {
            return true;
        }
        // The record still blocks its key, so dropping it retries the release in the background.
        self.is_settled = false;
        false
    }

    /// Records the outcome, in the background.
    pub(crate) fn finish(mut self, kept: Kept) {
        self.is_settled = true;
        self.propose_finish(kept);
    }

    fn propose_finish(&self, kept: Kept) {
        let (key, attempt) = (self.key.clone(), self.attempt);
        self.propose(Command::FinishDispatch { key, attempt, kept });
    }

    fn propose(&self, command: Command) {
        let handle = self.handle.clone();
        let attempt = self.attempt;
        actix_rt::spawn(async move {
            if !settle(&handle, &command, SETTLE_ATTEMPTS).await {
                tracing::warn!(%attempt, "outcome of an at-most-once call could not be recorded");
            }
        });
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        if self.window.is_sent() {
            self.propose_finish(unknown());
        } else {
            let (key, attempt) = (self.key.clone(), self.attempt);
            self.propose(Command::ReleaseDispatch { key, attempt });
        }
    }
}

/// Returns the outcome of an attempt that was sent but whose result is unknown.
pub(crate) fn unknown() -> Kept {
    Kept { ran: Ran::MayHaveRun, status: None, content_type: String::new(), body: None }
}

/// Returns the outcome of an answered attempt, with the answer's body when it is short text.
pub(crate) fn answered(status: StatusCode, content_type: &str, body: &[u8]) -> Kept {
    let text = (body.len() <= KEPT_BODY_BYTES_MAX)
        .then(|| std::str::from_utf8(body).ok())
        .flatten()
        .map(str::to_owned);
    let content_type = content_type.to_owned();
    Kept {
        ran: response::ran_for_status(status),
        status: Some(status.as_u16()),
        content_type,
        body: text,
    }
}

/// Records an attempt at control.
pub(crate) async fn write_record(
    worker: &Worker,
    call: &Call,
    attempt: id::Attempt,
) -> RecordResult {
    if worker.shared.mode == Mode::StandAlone {
        let message = "this entry runs without control and keeps no records; \
                       at-most-once calls are refused";
        return RecordResult::Refused(Fault::new(Kind::RecordUnavailable, message));
    }
    let clock = worker.shared.clock;
    let opened = clock.now();
    let until = (opened + WINDOW).min(call.deadline);
    let key = record_key(call);
    let command = Command::RecordDispatch {
        key: key.clone(),
        created: call.key_created,
        body: digest(call),
        attempt,
        entry: worker.shared.entry.name.clone(),
    };
    let record = Record {
        handle: worker.handle.clone(),
        key,
        attempt,
        window: DispatchWindow::new(clock, until),
        is_settled: false,
    };
    let mut may_be_written = false;
    loop {
        match worker.handle.propose(command.clone()).await {
            Some(Proposed::Committed(outcome)) => return to_record_result(record, outcome),
            Some(Proposed::Unknown) if clock.now() < until => {
                may_be_written = true;
                tokio::time::sleep(RETRY_DELAY).await;
            }
            // An earlier proposal may have written the record; dropping it here releases it.
            result if may_be_written || result == Some(Proposed::Unknown) => {
                let message =
                    "it is unknown whether the record was written; the request did not run";
                return RecordResult::Refused(Fault::new(Kind::RecordUnknown, message));
            }
            _ => {
                discard(record);
                let message = "no control leader is reachable, so no record could be written";
                return RecordResult::Refused(Fault::new(Kind::RecordUnavailable, message));
            }
        }
    }
}

/// Waits for the outcome of another attempt with the same key.
///
/// Returns none when the key became free, so that the call may be retried.
pub(crate) async fn await_outcome(worker: &Worker, call: &Call) -> Option<Result<Kept, Fault>> {
    let mut delay = POLL_DELAY_MIN;
    loop {
        let left = call.deadline.since(worker.shared.clock.now());
        if left == Millis::ZERO {
            let message = "the first request with this key has no known outcome yet";
            return Some(Err(Fault::new(Kind::KeyPending, message)));
        }
        tokio::time::sleep(delay.min(left.duration())).await;
        delay = (delay * 2).min(POLL_DELAY_MAX);
        match write_record(worker, call, crate::shared::new_attempt()).await {
            RecordResult::Written(record) => {
                record.release().await;
                return None;
            }
            RecordResult::Known(kept) => return Some(Ok(kept)),
            RecordResult::Pending => {}
            // The first attempt may have run, so a refusal that denies this must not be returned.
            RecordResult::Refused(fault) if fault.kind == Kind::KeyReused => {
                return Some(Err(fault));
            }
            RecordResult::Refused(_) => {}
        }
    }
}

/// Returns the outcome of earlier attempts with the call's key, or else `refusal`.
///
/// A caller that is told that its call did not run may repeat it under another key, so a refusal must
/// not hide an earlier attempt with the same key that ran.
pub(crate) async fn look_up(worker: &Worker, call: &Call, refusal: Fault) -> Result<Kept, Fault> {
    if call.key.is_none() || worker.shared.mode == Mode::StandAlone {
        return Err(refusal);
    }
    match write_record(worker, call, crate::shared::new_attempt()).await {
        RecordResult::Written(record) => {
            record.release().await;
            Err(refusal)
        }
        RecordResult::Known(kept) => Ok(kept),
        RecordResult::Pending => {
            let message = "the first request with this key has no known outcome yet";
            Err(Fault::new(Kind::KeyPending, message))
        }
        RecordResult::Refused(fault) => Err(fault),
    }
}

/// Returns the digest of what identifies a call: method, path and body.
fn digest(call: &Call) -> u128 {
    let head = format!("{} {}\n", call.method, call.path());
    fingerprint::content(&[head.as_bytes(), &call.body].concat())
}

fn record_key(call: &Call) -> Key {
    // A call without a key gets a unique one, so that it is sent at most once.
    let key = call.key.clone().unwrap_or_else(|| format!("entry:{}", call.id).into());
    Key { organisation: call.organisation.clone(), key }
}

fn to_record_result(record: Record, outcome: Outcome) -> RecordResult {
    if let Outcome::Recorded = outcome {
        return RecordResult::Written(record);
    }
    discard(record);
    match outcome {
        Outcome::Pending { .. } => RecordResult::Pending,
        Outcome::Finished(kept) => RecordResult::Known(kept),
        Outcome::KeyReused => {
            let message = "the key was used with another body; use a new key";
            RecordResult::Refused(Fault::new(Kind::KeyReused, message))
        }
        Outcome::KeyExpired => {
            let message = "the key is older than the retention time; this attempt did not run, \
                           and the outcome of earlier attempts is no longer known";
            RecordResult::Refused(Fault::new(Kind::KeyExpired, message))
        }
        other => {
            tracing::error!(?other, "unexpected outcome of a dispatch record");
            let message = "control did not accept the record; the request did not run";
            RecordResult::Refused(Fault::new(Kind::RecordUnavailable, message))
        }
    }
}

/// Drops a record that was never written, without a release.
fn discard(mut record: Record) {
    record.is_settled = true;
}

/// Proposes a command until control commits it; returns whether it did.
async fn settle(handle: &Handle, command: &Command, attempts: u32) -> bool {
    for _ in 0..attempts {
        if let Some(Proposed::Committed(_)) = handle.propose(command.clone()).await {
            return true;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    false
}
