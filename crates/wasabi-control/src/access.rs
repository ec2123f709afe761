//! The way to the leader for servers of the same process that speak an operator's own protocol.
//!
//! A host whose member does not lead, or that has none, makes the call at the leader for its caller.
//! A redirect would cost the caller one more answer that may be lost, and send it over a path that
//! only the caller can judge.

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
    guide::{Guide, Leader, Search},
    local::Local,
    metrics::{End, Metrics},
    options::Options,
};

/// Longest time for a small call. Callers wait a second before they call another host.
const CALL_TIME: Duration = Duration::from_millis(900);

/// Bytes for which a call may take a millisecond more: a link of 10 Mbit/s.
const BYTES_PER_MS: usize = 1_250;

/// Pause before the leader is searched again.
const SEARCH_EVERY: Duration = Duration::from_millis(50);

/// The way to the leader.
#[derive(Debug, Clone)]
pub struct Access {
    local: Option<Local>,
    guide: Guide,
    proofs: Vec<String>,
    metrics: Metrics,
}

/// What follows from an answer.
enum Next {
    /// It is final.
    Done,
    /// Another member may lead; its address, when it is known. The call had no effect.
    Elsewhere(Option<String>),
    /// The call may have had its effect, or have it later.
    Lost,
}

/// Whether a call whose outcome is unknown is made again.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Again {
    /// The second one changes nothing.
    Always,
    /// The second one may be refused since the first has had its effect.
    Never,
}

/// A kind of call.
struct Call {
    method: &'static str,
    /// Its size, in bytes.
    size: usize,
    again: Again,
}

impl Access {
    pub(crate) fn new(local: Option<Local>, guide: Guide, options: &Options) -> Self {
        Self { local, guide, proofs: options.proofs(), metrics: options.metrics.clone() }
    }

    /// Returns the way to the control member of this process, if it has one.
    pub const fn local(&self) -> Option<&Local> {
        self.local.as_ref()
    }

    /// Puts a site configuration in force; answered once it is committed.
    pub async fn put_site(&self, document: &site::Document) -> Proposed {
        let size = document.source.len();
        let here = async |local: &Local| local.put_site(document.clone()).await;
        let call = Call { method: method::PUT_SITE, size, again: Again::Always };
        self.make(call, document, here, after_order).await.unwrap_or(Proposed::Unknown)
    }

    /// Returns the site configuration in force; `Elsewhere` when no leader is found.
    pub async fn site(&self) -> Read<Option<site::Document>> {
        let here = async |local: &Local| local.site().await;
        let call = Call { method: method::SITE, size: 0, again: Again::Always };
        self.make(call, &(), here, after_read).await.unwrap_or(Read::Elsewhere(None))
    }

    /// Orders a version move; answered once it is committed.
    pub async fn start_move(&self, order: &MoveOrder) -> Proposed {
        let here = async |local: &Local| local.start_move(order.clone()).await;
        let call = Call { method: method::START_MOVE, size: 0, again: Again::Never };
        self.make(call, order, here, after_order).await.unwrap_or(Proposed::Unknown)
    }

    /// Returns the last move of a model or service; `Elsewhere` when no leader is found.
    pub async fn last_move(&self, backend: &id::Backend) -> Read<Option<Move>> {
        let here = async |local: &Local| local.last_move(backend.clone()).await;
        let call = Call { method: method::LAST_MOVE, size: 0, again: Again::Always };
        self.make(call, backend, here, after_read).await.unwrap_or(Read::Elsewhere(None))
    }

    /// Makes a call at the member of this process, or else at the leader wherever it is.
    async fn make<Q: Serialize, A: DeserializeOwned>(
        &self,
        call: Call,
        question: &Q,
        here: impl AsyncFn(&Local) -> A,
        next: fn(&A) -> Next,
    ) -> Option<A> {
        let mut hint = None;
        if let Some(local) = &self.local {
            let answer = here(local).await;
            match next(&answer) {
                Next::Done => return Some(answer),
                Next::Elsewhere(leader) => hint = leader,
                Next::Lost if call.again == Again::Never => return Some(answer),
                Next::Lost => {}
            }
        }
        let started = Instant::now();
        let bound = CALL_TIME + Duration::from_millis((call.size / BYTES_PER_MS) as u64);
        let forwarding = self.forward(&call, question, hint, next);
        let answer = actix_rt::time::timeout(bound, forwarding).await.ok().flatten();
        let end = if answer.is_some() { End::Answered } else { End::Unavailable };
        self.metrics.count_forwarded(call.method, end);
        let (leader, known_ms) = self.guide.leader().unzip();
        let known_ms = known_ms.map(|age| age.0);
        let took_ms = started.elapsed().as_millis() as u64;
        info!(call = call.method, ?end, leader, known_ms, took_ms, "a call went to the leader");
        answer
    }

    /// Searches for the leader and makes the call there, and again while there is hope.
    async fn forward<Q: Serialize, A: DeserializeOwned>(
        &self,
        call: &Call,
        question: &Q,
        mut hint: Option<String>,
        next: fn(&A) -> Next,
    ) -> Option<A> {
        let forwarded = Forwarded { proofs: self.proofs.clone(), call: question };
        loop {
            let mut first: Vec<_> = hint.take().into_iter().collect();
            if let Some(local) = &self.local {
                first.extend(local.addresses().await);
            }
            match self.guide.find(first).await {
                Search::Found(Leader { client, .. }) => {
                    let asking = client.request::<A, _>(call.method, rpc_params![&forwarded]);
                    let answer = asking.await.ok();
                    match answer.as_ref().map_or(Next::Lost, next) {
                        Next::Done => return answer,
                        Next::Elsewhere(leader) => hint = leader,
                        Next::Lost if call.again == Again::Never => return answer,
                        Next::Lost => {}
                    }
                }
                Search::Open => {}
                Search::Silent => return None,
            }
            actix_rt::time::sleep(SEARCH_EVERY).await;
        }
    }
}

fn after_order(proposed: &Proposed) -> Next {
    match proposed {
        Proposed::Committed(_) => Next::Done,
        Proposed::NotLeader { leader } => Next::Elsewhere(leader.clone()),
        Proposed::Unknown => Next::Lost,
    }
}

fn after_read<T>(read: &Read<T>) -> Next {
    match read {
        Read::Held(_) => Next::Done,
        Read::Elsewhere(leader) => Next::Elsewhere(leader.clone()),
    }
}
