//! Client of the control group: finds the leader and resends commands under the same id.

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
    rpc::{
        CommandReply, CommandRequest, RevisionStatus, Source, Status, StatusReply, StatusRequest,
        method,
    },
};

use crate::exit::Failure;

/// Timeout of one call to a member. It is longer than [`IN_FORCE_WAIT`], for which the member may
/// delay its response.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for which a member waits in one call for a change to be in force.
const IN_FORCE_WAIT: Millis = Millis(1_000);

/// Delay before the next round of calls when no member could process the call.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Delay before following a redirect; it limits the call rate when two members name each other.
const REDIRECT_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of retries of a change without a stated base after conflicts with changes by
/// control itself.
const MAX_REBASES: u32 = 5;

/// Client of the control group, with the operator's credential.
#[derive(Debug)]
pub(crate) struct Control {
    pub(crate) addresses: Vec<String>,
    pub(crate) credential: String,
    pub(crate) operator: String,
    /// Timeout of one command.
    pub(crate) timeout: Duration,
}

/// Options of a change to the configuration.
#[derive(Debug, Default)]
pub(crate) struct ChangeOptions {
    /// The revision that the change is based on; `None` means the one in force.
    pub(crate) base: Option<u64>,
    /// The command id of an earlier call whose outcome is unknown.
    pub(crate) command_id: Option<String>,
}

/// A member's response to a call.
pub(crate) enum Reply<A> {
    /// The call succeeded.
    Done(A),
    /// The member is not the leader; holds the leader's address if the member knows it.
    NotLeader(Option<String>),
    /// The call may have taken effect and must be repeated.
    Unknown,
}

impl Control {
    /// Calls the members in turn until one returns a result.
    ///
    /// # Errors
    ///
    /// Returns an error when the response is a failure, or when no member responds in time.
    pub(crate) async fn call<A: DeserializeOwned + Send + 'static, B>(
        &self,
        method: &str,
        params: &impl Serialize,
        deadline: Instant,
        mut parse: impl FnMut(A) -> Result<Reply<B>, Failure>,
    ) -> Result<B, CallError> {
        let mut queue: VecDeque<String> = self.addresses.iter().cloned().collect();
        let mut is_sent = false;
        let mut last_error = "no address responded".to_owned();
        loop {
            let Some(address) = queue.pop_front() else {
                if deadline <= Instant::now() {
                    return Err(CallError { is_sent, failure: Failure::Unavailable(last_error) });
                }
                actix_rt::time::sleep(RETRY_DELAY).await;
                queue.extend(self.addresses.iter().cloned());
                continue;
            };
            let response = match send_on_thread::<A>(&address, method, params).await {
                Ok(response) => response,
                Err(error) => {
                    // Nothing was sent on a refused connection; any other error may occur after
                    // the member has received the call.
                    is_sent |= !is_refused(&error);
                    last_error = format!("{address}: {error}");
                    continue;
                }
            };
            match parse(response).map_err(|failure| CallError { is_sent: false, failure })? {
                Reply::Done(result) => return Ok(result),
                Reply::NotLeader(leader) => {
                    last_error = match &leader {
                        Some(leader) => format!("{address} reports {leader} as the leader"),
                        None => format!("{address} knows no leader; is there a quorum?"),
                    };
                    if let Some(leader) = leader.filter(|leader| *leader != address) {
                        queue.retain(|other| *other != leader);
                        queue.push_front(leader);
                        actix_rt::time::sleep(REDIRECT_DELAY).await;
                    }
                    if deadline <= Instant::now() {
                        return Err(CallError {
                            is_sent,
                            failure: Failure::Unavailable(last_error),
                        });
                    }
                }
                Reply::Unknown => is_sent = true,
            }
        }
    }

    /// Returns the status that the leader reports.
    ///
    /// # Errors
    ///
    /// Returns a failure when no leader responds in time.
    pub(crate) async fn status(&self) -> Result<Status, Failure> {
        let deadline = Instant::now() + self.timeout;
        self.call(method::STATUS, &self.inquire(Source::Leader), deadline, parse_status)
            .await
            .map_err(|error| error.failure)
    }

    /// Returns the status that the first responding member has, which may be outdated.
    ///
    /// # Errors
    ///
    /// Returns a failure when no member responds.
    pub(crate) async fn status_of(&self, addresses: &[String]) -> Result<Status, Failure> {
        let mut last_error = "no address given".to_owned();
        let params = self.inquire(Source::Member);
        for address in addresses {
            match send_on_thread::<StatusReply>(address, method::STATUS, &params).await {
                Ok(response) => {
                    if let Reply::Done(status) = parse_status(response)? {
                        return Ok(status);
                    }
                }
                Err(error) => last_error = format!("{address}: {error}"),
            }
        }
        Err(Failure::Unavailable(last_error))
    }

    /// Sends a change and waits until it is in force. Returns its revision and the entries at which
    /// it is in force.
    ///
    /// # Errors
    ///
    /// Returns a failure when the change is rejected, is not in force in time, or when its outcome
    /// is unknown.
    pub(crate) async fn change(
        &self,
        options: &ChangeOptions,
        command: impl Fn(Order) -> Command,
    ) -> Result<(id::Revision, RevisionStatus), Failure> {
        for attempt in 0.. {
            let base = match options.base {
                Some(base) => id::Revision(base),
                None => self.status().await?.config.revision,
            };
            let command_id = options
                .command_id
                .clone()
                .unwrap_or_else(|| format!("{}-{:016x}", self.operator, fastrand::u64(..)));
            let order = Order { command: command_id.into(), operator: self.operator.clone(), base };
            let outcome = self.operate(&order.command.clone(), command(order)).await;
            match outcome {
                // Without a stated base, a concurrent change by control itself, such as a new
                // entry view, does not affect the operator's decision: retry on the new revision.
                Err(Failure::Conflict { operator, .. })
                    if operator == "control"
                        && options.base.is_none()
                        && options.command_id.is_none()
                        && attempt < MAX_REBASES => {}
                outcome => return outcome,
            }
        }
        Err(Failure::Internal("no attempt was made".to_owned()))
    }

    async fn operate(
        &self,
        command_id: &id::Command,
        command: Command,
    ) -> Result<(id::Revision, RevisionStatus), Failure> {
        let deadline = Instant::now() + self.timeout;
        let operate =
            CommandRequest { credential: self.credential.clone(), command, wait: IN_FORCE_WAIT };
        let mut accepted = None;
        loop {
            let result = self.call(method::OPERATE, &operate, deadline, parse_operated).await;
            let (outcome, force) = match (result, &accepted) {
                (Ok(result), _) => result,
                (Err(CallError { is_sent: true, .. }), None) => {
                    return Err(Failure::Unknown(command_id.clone()));
                }
                (Err(error), None) => return Err(error.failure),
                (Err(_), Some(behind)) => return Err(Failure::NotInForce(Vec::clone(behind))),
            };
            match outcome {
                Outcome::Accepted { revision } if force.behind.is_empty() => {
                    return Ok((revision, force));
                }
                Outcome::Accepted { revision } => {
                    let names: Vec<_> = force.behind.iter().map(id::Entry::as_str).collect();
                    eprintln!("revision {revision} accepted; waiting for {}", names.join(", "));
                    if deadline <= Instant::now() {
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

    fn inquire(&self, source: Source) -> StatusRequest {
        StatusRequest { credential: self.credential.clone(), source }
    }
}

/// The error of a call that returned no result.
#[derive(Debug)]
pub(crate) struct CallError {
    /// Whether a member may have processed the call.
    pub(crate) is_sent: bool,
    /// The reason for the missing result.
    pub(crate) failure: Failure,
}

/// Calls a member from a separate thread.
///
/// A response without end keeps the thread that reads it busy, so that timers on that thread do not
/// fire. An abandoned call ends with its own timeout or with the process.
async fn send_on_thread<A: DeserializeOwned + Send + 'static>(
    address: &str,
    method: &str,
    params: &impl Serialize,
) -> Result<A, Error> {
    let (sender, receiver) = oneshot::channel();
    let (address, method, params) = (address.to_owned(), method.to_owned(), rpc_params![params]);
    let run = move || {
        let response = actix_rt::Runtime::new()
            .map_err(|error| Error::Custom(format!("cannot start a runtime: {error}")))
            .and_then(|runtime| runtime.block_on(send(&address, &method, params)));
        // The receiver is dropped when the call has timed out.
        let _ = sender.send(response);
    };
    thread::Builder::new()
        .name("call".to_owned())
        .spawn(run)
        .map_err(|error| Error::Custom(format!("cannot start a thread: {error}")))?;
    match timeout(CALL_TIMEOUT, receiver).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => Err(Error::Custom("the thread of the call panicked".to_owned())),
        Err(_) => Err(Error::RequestTimeout),
    }
}

async fn send<A: DeserializeOwned>(
    address: &str,
    method: &str,
    params: ArrayParams,
) -> Result<A, Error> {
    let client: HttpClient = HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .build(format!("http://{address}"))?;
    client.request(method, params).await
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

fn parse_status(response: StatusReply) -> Result<Reply<Status>, Failure> {
    match response {
        StatusReply::Status(status) => Ok(Reply::Done(*status)),
        StatusReply::NotLeader { leader } => Ok(Reply::NotLeader(leader)),
        StatusReply::Refused(fault) => Err(Failure::from_fault(fault)),
    }
}

fn parse_operated(response: CommandReply) -> Result<Reply<(Outcome, RevisionStatus)>, Failure> {
    match response {
        CommandReply::Committed { outcome, force } => Ok(Reply::Done((outcome, force))),
        CommandReply::NotLeader { leader } => Ok(Reply::NotLeader(leader)),
        CommandReply::Unknown => Ok(Reply::Unknown),
        CommandReply::Refused(fault) => Err(Failure::from_fault(fault)),
    }
}
