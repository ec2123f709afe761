//! Client of the leader for servers of the same process that implement an operator's own protocol.
//!
//! A host whose member is not the leader, or that has no member, forwards the call to the leader. A
//! redirect would cost the caller another answer that may be lost, and lead over a network path
//! that only the caller can assess.

use std::time::{Duration, Instant};

use jsonrpsee::{core::client::ClientT as _, rpc_params};
use serde::{Serialize, de::DeserializeOwned};
use tracing::info;
use wasabi_protocol::{
    command::Move,
    id,
    rpc::{Forwarded, MoveOrder, Proposed, Read, method},
    site,
};

use crate::{
    call_trace::{CallTrace, Kept},
    leader_tracker::{Leader, LeaderTracker, SearchResult},
    local_client::LocalClient,
    metrics::{CallResult, Metrics},
    options::Options,
};

/// Timeout of a small call. Callers wait 1 s before they call another host.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Bytes that extend the timeout of a call by 1 ms, as on a link of 10 Mbit/s.
const BYTES_PER_MS: usize = 1_250;

/// Time after which an answer is late, so that the leader is searched for beside the call.
const LATE_AFTER: Duration = Duration::from_millis(300);

/// Delay before the next search for the leader.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);

/// Client of the leader.
#[derive(Debug, Clone)]
pub struct LeaderClient {
    local: Option<LocalClient>,
    tracker: LeaderTracker,
    proofs: Vec<String>,
    metrics: Metrics,
}

/// How to proceed after an answer.
enum Disposition {
    /// The answer is final.
    Final,
    /// Another member may lead, at this address if known. The call had no effect.
    Redirect(Option<String>),
    /// The call may have taken effect, or may still do so.
    Unknown,
}

/// Whether a call with an unknown outcome is retried.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Retry {
    /// The call is idempotent.
    Always,
    /// A repeated call may be refused because the first one took effect.
    Never,
}

/// Parameters of a call.
struct Call {
    method: &'static str,
    /// Size of the call, in bytes.
    size: usize,
    retry: Retry,
}

impl LeaderClient {
    pub(crate) fn new(
        local: Option<LocalClient>,
        tracker: LeaderTracker,
        options: &Options,
    ) -> Self {
        Self { local, tracker, proofs: options.proofs(), metrics: options.metrics.clone() }
    }

    /// Returns the client of the control member in this process, if there is one.
    pub const fn local(&self) -> Option<&LocalClient> {
        self.local.as_ref()
    }

    /// Applies a site configuration; answered once it is committed.
    pub async fn put_site(&self, document: &site::Document) -> Proposed {
        let size = document.source.len();
        let local_call = async |local: &LocalClient| local.put_site(document.clone()).await;
        let call = Call { method: method::PUT_SITE, size, retry: Retry::Always };
        self.call_leader(call, document, local_call, order_disposition)
            .await
            .unwrap_or(Proposed::Unknown)
    }

    /// Returns the site configuration in force; `Elsewhere` when no leader is found.
    pub async fn site(&self) -> Read<Option<site::Document>> {
        let local_call = async |local: &LocalClient| local.site().await;
        let call = Call { method: method::SITE, size: 0, retry: Retry::Always };
        self.call_leader(call, &(), local_call, read_disposition)
            .await
            .unwrap_or(Read::Elsewhere(None))
    }

    /// Starts a version move; answered once it is committed.
    pub async fn start_move(&self, order: &MoveOrder) -> Proposed {
        let local_call = async |local: &LocalClient| local.start_move(order.clone()).await;
        let call = Call { method: method::START_MOVE, size: 0, retry: Retry::Never };
        self.call_leader(call, order, local_call, order_disposition)
            .await
            .unwrap_or(Proposed::Unknown)
    }

    /// Returns the last move of a model or service; `Elsewhere` when no leader is found.
    pub async fn last_move(&self, backend: &id::Backend) -> Read<Option<Move>> {
        let local_call = async |local: &LocalClient| local.last_move(backend.clone()).await;
        let call = Call { method: method::LAST_MOVE, size: 0, retry: Retry::Always };
        self.call_leader(call, backend, local_call, read_disposition)
            .await
            .unwrap_or(Read::Elsewhere(None))
    }

    /// Calls the member of this process, or else the leader.
    async fn call_leader<Q: Serialize, A: DeserializeOwned>(
        &self,
        call: Call,
        params: &Q,
        local_call: impl AsyncFn(&LocalClient) -> A,
        next: fn(&A) -> Disposition,
    ) -> Option<A> {
        let mut hint = None;
        if let Some(local) = &self.local {
            let answer = local_call(local).await;
            match next(&answer) {
                Disposition::Final => return Some(answer),
                Disposition::Redirect(leader) => hint = leader,
                Disposition::Unknown if call.retry == Retry::Never => return Some(answer),
                Disposition::Unknown => {}
            }
        }
        let trace = CallTrace::start(Instant::now());
        let sending = Duration::from_millis((call.size / BYTES_PER_MS) as u64);
        let forwarding = self.forward(&call, params, hint, next, &trace);
        let answer = actix_rt::time::timeout(CALL_TIMEOUT + sending, forwarding).await;
        let answer = answer.ok().flatten();
        let end = if answer.is_some() { CallResult::Answered } else { CallResult::Unavailable };
        self.metrics.count_forwarded(call.method, end);
        self.log_call(&call, end, &trace);
        answer
    }

    /// Logs how a forwarded call ended, and where it spent its time.
    fn log_call(&self, call: &Call, end: CallResult, trace: &CallTrace) {
        let (leader, known_ms) = self.tracker.leader().unzip();
        let known_ms = known_ms.map(|age| age.0);
        info!(
            call = call.method,
            ?end,
            leader,
            known_ms,
            took_ms = trace.took(Instant::now()).as_millis() as u64,
            kept = ?trace.kept(),
            searches = trace.searches(),
            without_leader = trace.without_leader(),
            found_ms = trace.found().map(|time| time.as_millis() as u64),
            "forwarded a call to the leader"
        );
    }

    /// Calls the leader on the open connection to it, and searches for it when there is none, when it
    /// does not lead any more, or when its answer is late. A late answer still counts.
    async fn forward<Q: Serialize, A: DeserializeOwned>(
        &self,
        call: &Call,
        params: &Q,
        hint: Option<String>,
        next: fn(&A) -> Disposition,
        trace: &CallTrace,
    ) -> Option<A> {
        let forwarded = Forwarded { proofs: self.proofs.clone(), call: params };
        // The local member learns of a new leader before the tracker does. A call that is made only
        // once goes to a leader that has just answered, since the open connection may be silent.
        let is_usable = |leader: &Leader| {
            let is_named = hint.as_ref().is_none_or(|hint| *hint == leader.address);
            is_named && call.retry == Retry::Always
        };
        let Some(leader) = self.tracker.connected().filter(is_usable) else {
            return self.search_and_call(call, &forwarded, hint, next, trace).await;
        };
        trace.set_kept(Kept::Waiting);
        let calling = call_on::<_, A>(&leader, call, &forwarded, next);
        tokio::pin!(calling);
        let patience = LATE_AFTER + Duration::from_millis((call.size / BYTES_PER_MS) as u64);
        let early = actix_rt::time::timeout(patience, &mut calling).await;
        let hint = match early {
            Ok(Called::Final(answer)) => {
                trace.set_kept(Kept::Answered);
                return Some(answer);
            }
            Ok(Called::Elsewhere(leader)) => {
                trace.set_kept(Kept::Failed);
                leader.or(hint)
            }
            Ok(Called::Unknown) => {
                trace.set_kept(Kept::Failed);
                self.tracker.disconnect(&leader);
                hint
            }
            Err(_) => {
                let searching = self.search_and_call(call, &forwarded, hint, next, trace);
                return first_final(calling, searching, trace).await;
            }
        };
        self.search_and_call(call, &forwarded, hint, next, trace).await
    }

    /// Searches for the leader and calls it, with retries until an answer is final or no address
    /// answers.
    async fn search_and_call<Q: Serialize, A: DeserializeOwned>(
        &self,
        call: &Call,
        forwarded: &Forwarded<&Q>,
        mut hint: Option<String>,
        next: fn(&A) -> Disposition,
        trace: &CallTrace,
    ) -> Option<A> {
        loop {
            trace.record_search();
            let mut first: Vec<_> = hint.take().into_iter().collect();
            if let Some(local) = &self.local {
                first.extend(local.addresses().await);
            }
            match self.tracker.find(first).await {
                SearchResult::Found(leader) => {
                    trace.record_found(Instant::now());
                    match call_on(&leader, call, forwarded, next).await {
                        Called::Final(answer) => return Some(answer),
                        Called::Elsewhere(leader) => hint = leader,
                        Called::Unknown if call.retry == Retry::Never => return None,
                        Called::Unknown => self.tracker.disconnect(&leader),
                    }
                }
                SearchResult::NoLeader => trace.record_no_leader(),
                SearchResult::Unreachable => return None,
            }
            actix_rt::time::sleep(SEARCH_INTERVAL).await;
        }
    }
}

/// The result of a call on one connection.
enum Called<A> {
    /// The answer is final.
    Final(A),
    /// Another member may lead, at this address if known. The call had no effect.
    Elsewhere(Option<String>),
    /// The call may have taken effect, or may still do so.
    Unknown,
}

async fn call_on<Q: Serialize, A: DeserializeOwned>(
    leader: &Leader,
    call: &Call,
    forwarded: &Forwarded<&Q>,
    next: fn(&A) -> Disposition,
) -> Called<A> {
    let answer = leader.client.request::<A, _>(call.method, rpc_params![forwarded]).await;
    let Ok(answer) = answer else { return Called::Unknown };
    match next(&answer) {
        Disposition::Final => Called::Final(answer),
        Disposition::Redirect(leader) => Called::Elsewhere(leader),
        Disposition::Unknown => Called::Unknown,
    }
}

/// Waits for a final answer of the call on the open connection, or of the search beside it.
async fn first_final<A>(
    calling: impl Future<Output = Called<A>>,
    searching: impl Future<Output = Option<A>>,
    trace: &CallTrace,
) -> Option<A> {
    tokio::pin!(calling, searching);
    tokio::select! {
        called = &mut calling => match called {
            Called::Final(answer) => {
                trace.set_kept(Kept::Answered);
                Some(answer)
            }
            Called::Elsewhere(_) | Called::Unknown => {
                trace.set_kept(Kept::Failed);
                searching.await
            }
        },
        found = &mut searching => match found {
            Some(answer) => Some(answer),
            None => match calling.await {
                Called::Final(answer) => {
                    trace.set_kept(Kept::Answered);
                    Some(answer)
                }
                Called::Elsewhere(_) | Called::Unknown => None,
            },
        },
    }
}

fn order_disposition(proposed: &Proposed) -> Disposition {
    match proposed {
        Proposed::Committed(_) => Disposition::Final,
        Proposed::NotLeader { leader } => Disposition::Redirect(leader.clone()),
        Proposed::Unknown => Disposition::Unknown,
    }
}

fn read_disposition<T>(read: &Read<T>) -> Disposition {
    match read {
        Read::Held(_) => Disposition::Final,
        Read::Elsewhere(leader) => Disposition::Redirect(leader.clone()),
    }
}
