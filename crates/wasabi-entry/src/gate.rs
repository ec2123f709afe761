//! The at-most-once gate: record, window, release and finish.
//!
//! The order of steps is: record at control, check the window, send. A record that is dropped
//! without an outcome is released when no byte left, and finished as "may have run" otherwise.

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

/// Time after which a recorded attempt must not be sent any more, from before the record was
/// requested.
pub(crate) const WINDOW: Millis = Millis::from_secs(2);

/// First pause between two questions for the outcome of another attempt.
const ASK_FIRST: Duration = Duration::from_millis(50);

/// Longest pause between two questions for the outcome of another attempt.
const ASK_MAX: Duration = Duration::from_secs(1);

/// Pause before a command with an unknown or missing answer is proposed again.
const AGAIN_AFTER: Duration = Duration::from_millis(200);

/// Times that an outcome or a release is proposed before it is given up.
const SETTLE_TRIES: u32 = 50;

/// Times that a release is proposed while the caller waits for the answer.
const RELEASE_TRIES: u32 = 10;

/// What the gate says of an attempt.
pub(crate) enum Entered {
    /// It may be sent within the window.
    Open(Record),
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
    /// Returns what is known of the attempt's bytes.
    pub(crate) fn window(&self) -> &Rc<DispatchWindow> {
        &self.window
    }

    /// States that no byte left, and returns whether control confirmed it.
    pub(crate) async fn release(mut self) -> bool {
        self.is_settled = true;
        let command = Command::ReleaseDispatch { key: self.key.clone(), attempt: self.attempt };
        if settle(&self.handle, &command, RELEASE_TRIES).await {
            return true;
        }
        // The record still blocks its key, so the release is tried on in the background.
        self.is_settled = false;
        false
    }

    /// States the outcome, in the background.
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
            if !settle(&handle, &command, SETTLE_TRIES).await {
                tracing::warn!(%attempt, "the outcome of an at-most-once call is not recorded");
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

/// Returns the outcome of an attempt of which only the sending is known.
pub(crate) fn unknown() -> Kept {
    Kept { ran: Ran::MayHaveRun, status: None, content_type: String::new(), body: None }
}

/// Returns the outcome of an attempt with its answer, which is kept when it is short text.
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

/// Records an attempt.
pub(crate) async fn enter(worker: &Worker, call: &Call, attempt: id::Attempt) -> Entered {
    if worker.shared.mode == Mode::StandAlone {
        let message = "this entry runs without control and keeps no records; \
                       calls that must not run twice are refused";
        return Entered::Refused(Fault::new(Kind::RecordUnavailable, message));
    }
    let clock = worker.shared.clock;
    let opened = clock.now();
    let until = (opened + WINDOW).min(call.deadline);
    let key = key_of(call);
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
            Some(Proposed::Committed(outcome)) => return entered(record, outcome),
            Some(Proposed::Unknown) if clock.now() < until => {
                may_be_written = true;
                tokio::time::sleep(AGAIN_AFTER).await;
            }
            // An earlier proposal may have written the record; dropping it here releases it.
            result if may_be_written || result == Some(Proposed::Unknown) => {
                let message = "it is not known whether the record was written; nothing ran";
                return Entered::Refused(Fault::new(Kind::RecordUnknown, message));
            }
            _ => {
                settle_nothing(record);
                let message = "control has no leader now, so no record could be written";
                return Entered::Refused(Fault::new(Kind::RecordUnavailable, message));
            }
        }
    }
}

/// Waits for the outcome of another attempt with the same key.
///
/// Returns none when the key became free, so that the call may be tried again.
pub(crate) async fn await_outcome(worker: &Worker, call: &Call) -> Option<Result<Kept, Fault>> {
    let mut pause = ASK_FIRST;
    loop {
        let left = call.deadline.since(worker.shared.clock.now());
        if left == Millis::ZERO {
            let message = "the first request with this key has no known outcome yet";
            return Some(Err(Fault::new(Kind::KeyPending, message)));
        }
        tokio::time::sleep(pause.min(left.duration())).await;
        pause = (pause * 2).min(ASK_MAX);
        match enter(worker, call, crate::shared::new_attempt()).await {
            Entered::Open(record) => {
                record.release().await;
                return None;
            }
            Entered::Known(kept) => return Some(Ok(kept)),
            Entered::Pending => {}
            // The first attempt may have run, so nothing milder may be said from here on.
            Entered::Refused(fault) if fault.kind == Kind::KeyReused => return Some(Err(fault)),
            Entered::Refused(_) => {}
        }
    }
}

/// Returns what is known of earlier sends of a key, before a refusal of this one is passed on.
///
/// A caller that reads "not run" may order anew under another key, so a refusal must not hide an
/// earlier send of the same key that ran.
pub(crate) async fn look_up(worker: &Worker, call: &Call, refusal: Fault) -> Result<Kept, Fault> {
    if call.key.is_none() || worker.shared.mode == Mode::StandAlone {
        return Err(refusal);
    }
    match enter(worker, call, crate::shared::new_attempt()).await {
        Entered::Open(record) => {
            record.release().await;
            Err(refusal)
        }
        Entered::Known(kept) => Ok(kept),
        Entered::Pending => {
            let message = "the first request with this key has no known outcome yet";
            Err(Fault::new(Kind::KeyPending, message))
        }
        Entered::Refused(fault) => Err(fault),
    }
}

/// Returns the digest of everything that makes a call the same one: method, path and body.
fn digest(call: &Call) -> u128 {
    let head = format!("{} {}\n", call.method, call.path());
    fingerprint::content(&[head.as_bytes(), &call.body].concat())
}

fn key_of(call: &Call) -> Key {
    // A call without a key gets one that nobody else can name, so it is sent at most once.
    let key = call.key.clone().unwrap_or_else(|| format!("entry:{}", call.id).into());
    Key { organisation: call.organisation.clone(), key }
}

fn entered(record: Record, outcome: Outcome) -> Entered {
    if let Outcome::Recorded = outcome {
        return Entered::Open(record);
    }
    settle_nothing(record);
    match outcome {
        Outcome::Pending { .. } => Entered::Pending,
        Outcome::Finished(kept) => Entered::Known(kept),
        Outcome::KeyReused => {
            let message = "the key was used with another body; use a new key";
            Entered::Refused(Fault::new(Kind::KeyReused, message))
        }
        Outcome::KeyExpired => {
            let message = "the key is older than the retention time; this send was not run, \
                           and what earlier sends did is no longer known";
            Entered::Refused(Fault::new(Kind::KeyExpired, message))
        }
        other => {
            tracing::error!(?other, "control answered a record with an unexpected outcome");
            let message = "control did not accept the record; nothing ran";
            Entered::Refused(Fault::new(Kind::RecordUnavailable, message))
        }
    }
}

/// Drops a record that was never written.
fn settle_nothing(mut record: Record) {
    record.is_settled = true;
}

/// Proposes a command until control confirms it.
async fn settle(handle: &Handle, command: &Command, tries: u32) -> bool {
    for _ in 0..tries {
        if let Some(Proposed::Committed(_)) = handle.propose(command.clone()).await {
            return true;
        }
        tokio::time::sleep(AGAIN_AFTER).await;
    }
    false
}
