//! Calls to control: the search for the leader, and resending with the same command id.

use std::{
    collections::VecDeque,
    thread,
    time::{Duration, Instant},
};

use jsonrpsee::{
    core::{
        client::{ClientT as _, Error},
        params::ArrayParams,
    },
    http_client::{HttpClient, HttpClientBuilder},
    rpc_params,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{sync::oneshot, time::timeout};
use wasabi_protocol::{
    clock::Millis,
    command::{Command, Order, Outcome},
    id,
    rpc::{Force, Inquire, Inquired, Operate, Operated, Source, Status, method},
};

use crate::exit::Failure;

/// Longest time until a member answers one call, in milliseconds. It covers the longest wait that
/// is asked of the member at a time.
const ANSWER_BOUND: Duration = Duration::from_millis(2_500);

/// Time that a member waits at a time for a change to be in force, in milliseconds.
const FORCE_WAIT: Millis = Millis(1_000);

/// Pause after no member could take a call.
const PAUSE: Duration = Duration::from_millis(200);

/// Most times that a change without a stated base is made anew after a change by control itself.
const REBASE_MAX: u32 = 5;

/// Control as the operator reaches it.
#[derive(Debug)]
pub(crate) struct Control {
    pub(crate) addresses: Vec<String>,
    pub(crate) credential: String,
    pub(crate) operator: String,
    /// Longest time for one command.
    pub(crate) timeout: Duration,
}

/// How an operator's change is to be made.
#[derive(Debug, Default)]
pub(crate) struct Terms {
    /// The revision that the operator looked at; none means the one in force.
    pub(crate) base: Option<u64>,
    /// The command id of an earlier call with an unknown outcome.
    pub(crate) command: Option<String>,
}

/// What a member made of a call.
pub(crate) enum Step<A> {
    /// The call has its answer.
    Done(A),
    /// Another member must be asked.
    NotLeader(Option<String>),
    /// The call may have had an effect; it must be repeated.
    Unknown,
}

impl Control {
    /// Calls the members in turn until one gives an answer.
    ///
    /// # Errors
    ///
    /// Returns a failure when the answer is one, or when no member answered in time.
    pub(crate) async fn call<A: DeserializeOwned + Send + 'static, B>(
        &self,
        name: &str,
        question: &impl Serialize,
        until: Instant,
        mut read: impl FnMut(A) -> Result<Step<B>, Failure>,
    ) -> Result<B, Lost> {
        let mut queue: VecDeque<String> = self.addresses.iter().cloned().collect();
        let mut is_sent = false;
        let mut last = "no address answered".to_owned();
        loop {
            let Some(address) = queue.pop_front() else {
                if until <= Instant::now() {
                    return Err(Lost { is_sent, failure: Failure::Unavailable(last) });
                }
                actix_rt::time::sleep(PAUSE).await;
                queue.extend(self.addresses.iter().cloned());
                continue;
            };
            let answer = match ask::<A>(&address, name, question).await {
                Ok(answer) => answer,
                Err(error) => {
                    // A refused connection carried nothing; any other failure may come after the
                    // member took the call.
                    is_sent |= !is_refused(&error);
                    last = format!("{address}: {error}");
                    continue;
                }
            };
            match read(answer).map_err(|failure| Lost { is_sent: false, failure })? {
                Step::Done(answer) => return Ok(answer),
                Step::NotLeader(leader) => {
                    last = match &leader {
                        Some(leader) => format!("{address} names {leader} as the leader"),
                        None => format!("{address} knows no leader; is there a quorum?"),
                    };
                    if let Some(leader) = leader.filter(|leader| *leader != address) {
                        queue.retain(|other| *other != leader);
                        queue.push_front(leader);
                        // Two members that name each other must not be asked without pause.
                        actix_rt::time::sleep(Duration::from_millis(20)).await;
                    }
                    if until <= Instant::now() {
                        return Err(Lost { is_sent, failure: Failure::Unavailable(last) });
                    }
                }
                Step::Unknown => is_sent = true,
            }
        }
    }

    /// Returns the status as the leader knows it.
    ///
    /// # Errors
    ///
    /// Returns a failure when no leader answers in time.
    pub(crate) async fn status(&self) -> Result<Status, Failure> {
        let until = Instant::now() + self.timeout;
        self.call(method::STATUS, &self.inquire(Source::Leader), until, read_status)
            .await
            .map_err(|lost| lost.failure)
    }

    /// Returns the status as a member knows it, which may be old.
    ///
    /// # Errors
    ///
    /// Returns a failure when no member answers.
    pub(crate) async fn status_of(&self, addresses: &[String]) -> Result<Status, Failure> {
        let mut last = "no address given".to_owned();
        for address in addresses {
            match ask::<Inquired>(address, method::STATUS, &self.inquire(Source::Member)).await {
                Ok(answer) => {
                    if let Step::Done(status) = read_status(answer)? {
                        return Ok(status);
                    }
                }
                Err(error) => last = format!("{address}: {error}"),
            }
        }
        Err(Failure::Unavailable(last))
    }

    /// Makes a change and waits until it is in force. Returns the revision.
    ///
    /// # Errors
    ///
    /// Returns a failure for every other end.
    pub(crate) async fn change(
        &self,
        terms: &Terms,
        command: impl Fn(Order) -> Command,
    ) -> Result<(id::Revision, Force), Failure> {
        for attempt in 0.. {
            let base = match terms.base {
                Some(base) => id::Revision(base),
                None => self.status().await?.config.revision,
            };
            let name = terms
                .command
                .clone()
                .unwrap_or_else(|| format!("{}-{:016x}", self.operator, fastrand::u64(..)));
            let order = Order { command: name.into(), operator: self.operator.clone(), base };
            let outcome = self.operate(&order.command.clone(), command(order)).await;
            match outcome {
                // The operator stated no base, so a change by control itself in between, such as
                // of the entry view, is no reason to decide anew.
                Err(Failure::Conflict { operator, .. })
                    if operator == "control"
                        && terms.base.is_none()
                        && terms.command.is_none()
                        && attempt < REBASE_MAX => {}
                outcome => return outcome,
            }
        }
        Err(Failure::Internal("no attempt was made".to_owned()))
    }

    async fn operate(
        &self,
        name: &id::Command,
        command: Command,
    ) -> Result<(id::Revision, Force), Failure> {
        let until = Instant::now() + self.timeout;
        let operate = Operate { credential: self.credential.clone(), command, wait: FORCE_WAIT };
        let mut accepted = None;
        loop {
            let answer = self.call(method::OPERATE, &operate, until, read_operated).await;
            let (outcome, force) = match (answer, &accepted) {
                (Ok(answer), _) => answer,
                (Err(Lost { is_sent: true, .. }), None) => {
                    return Err(Failure::Unknown(name.clone()));
                }
                (Err(lost), None) => return Err(lost.failure),
                (Err(_), Some(behind)) => return Err(Failure::NotInForce(Vec::clone(behind))),
            };
            match outcome {
                Outcome::Accepted { revision } if force.behind.is_empty() => {
                    return Ok((revision, force));
                }
                Outcome::Accepted { revision } => {
                    let names: Vec<_> = force.behind.iter().map(id::Entry::as_str).collect();
                    eprintln!("revision {revision} accepted; waiting for {}", names.join(", "));
                    if until <= Instant::now() {
                        return Err(Failure::NotInForce(force.behind));
                    }
                    accepted = Some(force.behind);
                }
                Outcome::Conflict { revision, operator, change } => {
                    return Err(Failure::Conflict { revision, operator, change });
                }
                Outcome::Refused { problems } => return Err(Failure::Refused(problems)),
                other => return Err(Failure::Internal(format!("unexpected outcome {other:?}"))),
            }
        }
    }

    fn inquire(&self, source: Source) -> Inquire {
        Inquire { credential: self.credential.clone(), source }
    }
}

/// A call without an answer.
#[derive(Debug)]
pub(crate) struct Lost {
    /// Whether a member may have taken the call.
    pub(crate) is_sent: bool,
    /// Why there is no answer.
    pub(crate) failure: Failure,
}

/// Asks a member.
///
/// The call has a thread of its own: bytes without end keep the thread that reads them from its
/// timers. A call that is given up ends there at its own bound, or with the process.
async fn ask<A: DeserializeOwned + Send + 'static>(
    address: &str,
    name: &str,
    question: &impl Serialize,
) -> Result<A, Error> {
    let (reply, answer) = oneshot::channel();
    let (address, name, question) = (address.to_owned(), name.to_owned(), rpc_params![question]);
    let run = move || {
        let answer = actix_rt::Runtime::new()
            .map_err(|error| Error::Custom(format!("no runtime for the call: {error}")))
            .and_then(|runtime| runtime.block_on(call(&address, &name, question)));
        // The command may have given the call up.
        let _ = reply.send(answer);
    };
    thread::Builder::new()
        .name("call".to_owned())
        .spawn(run)
        .map_err(|error| Error::Custom(format!("no thread for the call: {error}")))?;
    match timeout(ANSWER_BOUND, answer).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) => Err(Error::Custom("the call ended without an answer".to_owned())),
        Err(_) => Err(Error::RequestTimeout),
    }
}

async fn call<A: DeserializeOwned>(
    address: &str,
    name: &str,
    question: ArrayParams,
) -> Result<A, Error> {
    let client: HttpClient = HttpClientBuilder::default()
        .request_timeout(ANSWER_BOUND)
        .build(format!("http://{address}"))?;
    client.request(name, question).await
}

/// Returns whether the connection was refused, so that nothing was sent.
fn is_refused(error: &Error) -> bool {
    let mut cause: Option<&dyn std::error::Error> = Some(error);
    while let Some(current) = cause {
        if let Some(io) = current.downcast_ref::<std::io::Error>() {
            return io.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        cause = current.source();
    }
    false
}

fn read_status(answer: Inquired) -> Result<Step<Status>, Failure> {
    match answer {
        Inquired::Status(status) => Ok(Step::Done(*status)),
        Inquired::NotLeader { leader } => Ok(Step::NotLeader(leader)),
        Inquired::Refused(fault) => Err(Failure::of(fault)),
    }
}

fn read_operated(answer: Operated) -> Result<Step<(Outcome, Force)>, Failure> {
    match answer {
        Operated::Committed { outcome, force } => Ok(Step::Done((outcome, force))),
        Operated::NotLeader { leader } => Ok(Step::NotLeader(leader)),
        Operated::Unknown => Ok(Step::Unknown),
        Operated::Refused(fault) => Err(Failure::of(fault)),
    }
}
