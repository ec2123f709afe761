//! Acquires grants from pool owners, on this entry or on others, across failures and changes of
//! owners.

use std::{iter, rc::Rc};

use jsonrpsee::{core::client::ClientT as _, rpc_params};
use tokio::sync::oneshot;
use wasabi_protocol::{
    clock::Millis,
    fault::{Fault, Kind},
    id,
    request::{Patience, Request},
    rpc::{Acquire, Acquired, Grant, Release, method},
};
use wasabi_routing::breaker;

use crate::{
    message::Granted,
    pools::{owner, shards},
    shell::Shell,
};

/// Time for which a call waits for an owner that another entry named, although this entry considers
/// it lost.
const NAMED_OWNER_TIMEOUT: Millis = Millis::from_secs(1);

/// Added to a request's remaining time when waiting for a remote owner, which refuses the request at
/// its deadline.
const ANSWER_GRACE: Millis = Millis(500);

/// A grant that is not in use yet. Dropping it releases the grant.
struct Unclaimed {
    shell: Rc<Shell>,
    grant: Option<Grant>,
    request: Request,
}

impl Unclaimed {
    fn claim(mut self) -> Option<Granted> {
        let grant = self.grant.take()?;
        let now = self.shell.now();
        Some(self.shell.holder.borrow_mut().take(now, grant, self.request.clone()))
    }
}

impl Drop for Unclaimed {
    fn drop(&mut self) {
        let Some(grant) = self.grant.take() else { return };
        let mut release = owner::abandoned_release(grant.pool, grant.owner, self.request.attempt);
        release.grant = grant.grant;
        release.endpoint = grant.endpoint;
        release.version = grant.version;
        release.route = self.request.route.clone();
        self.shell.release(release);
    }
}

/// A waiting call at a pool that this entry owns. Dropping it cancels the call.
struct Ticket {
    shell: Rc<Shell>,
    pool: id::Pool,
    ticket: u64,
    request: Request,
    reply: oneshot::Receiver<Acquired>,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.shell.now();
        let effects = self.shell.pools.borrow_mut().cancel(now, &self.pool, self.ticket);
        self.shell.perform(effects);
        // A grant that arrived in the meantime is released.
        if let Ok(Acquired::Granted(grant)) = self.reply.try_recv() {
            let (shell, request) = (Rc::clone(&self.shell), self.request.clone());
            drop(Unclaimed { shell, grant: Some(grant), request });
        }
    }
}

/// The result of a call to one entry.
enum Answer {
    Granted(Box<Unclaimed>),
    Refused(Fault),
    /// The called entry is not the owner, or could not be connected to. It may name the owner. The
    /// call is repeated.
    NotOwner(Option<id::Entry>),
    /// The call was dropped or its connection was lost. It is repeated, but the called entry may
    /// still grant it.
    Unanswered,
}

/// An attempt that waits for a grant, and the owners whose calls for it were dropped.
///
/// Dropping it notifies these owners: a grant that they give to such a call would otherwise count
/// until after the request's deadline.
struct PendingAttempt<'a> {
    shell: &'a Rc<Shell>,
    pool: &'a id::Pool,
    attempt: id::Attempt,
    dropped: Vec<id::Entry>,
}

impl<'a> PendingAttempt<'a> {
    fn new(shell: &'a Rc<Shell>, pool: &'a id::Pool, attempt: id::Attempt) -> Self {
        shell.holder.borrow_mut().add_pending(attempt, pool.clone());
        Self { shell, pool, attempt, dropped: Vec::new() }
    }

    /// Records how a call ended. An owner that answers a later call has settled the earlier ones.
    fn record(&mut self, owner: &id::Entry, answer: &Answer) {
        self.dropped.retain(|other| other != owner);
        if matches!(answer, Answer::Unanswered) {
            self.dropped.push(owner.clone());
        }
    }
}

impl Drop for PendingAttempt<'_> {
    fn drop(&mut self) {
        self.shell.holder.borrow_mut().remove_pending(self.attempt);
        for owner in self.dropped.drain(..) {
            self.shell.notify_call_dropped(self.pool, owner, self.attempt);
        }
    }
}

/// Gets a grant for a caller's request.
pub(crate) async fn acquire(
    shell: Rc<Shell>,
    request: Request,
    mut reply: oneshot::Sender<Result<Granted, Fault>>,
) {
    let attempt = request.attempt;
    let answer = tokio::select! {
        biased;
        () = reply.closed() => return,
        answer = acquire_from_any(&shell, request) => answer,
    };
    let answer = answer.and_then(|unclaimed| {
        unclaimed.claim().ok_or_else(|| {
            Fault::new(Kind::Internal, "internal error: the grant was released before its use")
        })
    });
    if let Err(Ok(granted)) = reply.send(answer) {
        let grant = granted.grant;
        let number = grant.grant;
        let release = owner::abandoned_release(grant.pool, grant.owner, attempt);
        shell.release(Release { grant: number, ..release });
    }
}

/// Acquires a grant from the request's preferred pools: from the first one when an endpoint there has
/// room, else from the next one, which also queues the request. When all others have no endpoints, it
/// queues in the first.
async fn acquire_from_any(shell: &Rc<Shell>, request: Request) -> Result<Box<Unclaimed>, Fault> {
    let started = shell.now();
    let acquire_at = async |pool: &id::Pool, patience: Patience| {
        let mut request = request.clone();
        let age = shell.now().since(started);
        request.waited = request.waited + age;
        request.remaining = request.remaining - age;
        request.patience = patience;
        acquire_from(shell, pool, request).await
    };
    let pools = shell.preferred_pools(&request);
    if let [only] = &pools[..] {
        return acquire_at(only, Patience::Queue).await;
    }
    let patience = iter::once(Patience::UnlessFull).chain(iter::repeat(Patience::UnlessEmpty));
    let mut refusal = None;
    for (pool, patience) in pools.iter().zip(patience) {
        match acquire_at(pool, patience).await {
            Ok(unclaimed) => return Ok(unclaimed),
            Err(fault) if !is_of_one_pool(&fault) => return Err(fault),
            // Without a time, the pool only sends the request to another one.
            Err(fault) => refusal = refusal.or(fault.retry_after.is_some().then_some(fault)),
        }
    }
    match (refusal, pools.first()) {
        (None, Some(first)) => acquire_at(first, Patience::Queue).await,
        (refusal, _) => Err(refusal.unwrap_or_else(|| {
            Fault::new(Kind::NoEndpoint, "no pool provides this model or service")
        })),
    }
}

/// Returns whether a refusal holds for the pool only, and not for limits or quarantine.
fn is_of_one_pool(fault: &Fault) -> bool {
    matches!(fault.kind, Kind::Overloaded | Kind::NoEndpoint)
}

async fn acquire_from(
    shell: &Rc<Shell>,
    pool: &id::Pool,
    request: Request,
) -> Result<Box<Unclaimed>, Fault> {
    let started = shell.now();
    let mut pending = PendingAttempt::new(shell, pool, request.attempt);
    let mut kept_waiter = None;
    loop {
        let age = shell.now().since(started);
        if request.remaining <= age {
            let message = "the deadline passed while the request was queued; it did not run";
            return Err(Fault::new(Kind::DeadlineInQueue, message));
        }
        let Some(owner) = shell.owner_to_call(pool) else {
            // No owner is known before the first view.
            tokio::time::sleep(breaker::BACKOFF_MIN.duration()).await;
            continue;
        };
        let mut call = request.clone();
        call.waited = request.waited + age;
        call.remaining = request.remaining - age;
        let is_local = owner == shell.shared.entry.name;
        let answer = if is_local {
            acquire_local(shell, pool, call).await
        } else {
            let waiter = kept_waiter.take().unwrap_or_else(|| {
                shell.enqueue_call(pool, request.tier, started - request.waited)
            });
            let Some(permit) = shell.call_permit(&waiter, call.remaining).await else {
                kept_waiter = Some(waiter);
                continue;
            };
            drop(waiter);
            let answer = acquire_remote(shell, pool, &owner, call).await;
            pending.record(&owner, &answer);
            match &answer {
                Answer::NotOwner(named) => shell.permit_failed(pool, permit, named.clone()),
                Answer::Unanswered => shell.permit_failed(pool, permit, None),
                Answer::Granted(_) | Answer::Refused(_) => {
                    shell.permit_answered(pool, permit, &owner)
                }
            }
            answer
        };
        match answer {
            Answer::Granted(unclaimed) => return Ok(unclaimed),
            Answer::Refused(fault) => return Err(fault),
            // This entry gives up a pool only when it knows that another entry owns it.
            Answer::NotOwner(_) | Answer::Unanswered => tokio::task::yield_now().await,
        }
    }
}

async fn acquire_local(shell: &Rc<Shell>, pool: &id::Pool, request: Request) -> Answer {
    if !shell.is_pool_of(&request.backend, pool) {
        return Answer::Refused(shards::not_a_pool());
    }
    shell.own(pool, &request.backend);
    let (reply, answer) = oneshot::channel();
    let holder = shell.shared.entry.name.clone();
    let now = shell.now();
    let (ticket, effects) =
        shell.pools.borrow_mut().acquire(now, pool, holder, request.clone(), reply);
    shell.perform(effects);
    let Some(ticket) = ticket else { return Answer::NotOwner(None) };
    let (for_grant, pool) = (request.clone(), pool.clone());
    let mut ticket = Ticket { shell: Rc::clone(shell), pool, ticket, request, reply: answer };
    let acquired = (&mut ticket.reply).await;
    to_answer(shell, for_grant, acquired.ok())
}

async fn acquire_remote(
    shell: &Rc<Shell>,
    pool: &id::Pool,
    owner: &id::Entry,
    request: Request,
) -> Answer {
    let Some(client) = shell.link(owner).await else { return Answer::NotOwner(None) };
    let time = (request.remaining + ANSWER_GRACE).duration();
    let holder = shell.shared.entry.name.clone();
    let message = Acquire { pool: pool.clone(), holder, request: request.clone() };
    let (reply, answer) = oneshot::channel();
    let task_shell = Rc::clone(shell);
    let (name, pool) = (owner.clone(), pool.clone());
    // The task outlives its caller: a grant that is in flight must be released.
    actix_rt::spawn(async move {
        let call = client.request::<Acquired, _>(method::ACQUIRE, rpc_params![message]);
        let lost = async {
            if !task_shell.peers.borrow().is_live(task_shell.now(), &name) {
                tokio::time::sleep(NAMED_OWNER_TIMEOUT.duration()).await;
            }
            task_shell.until_lost(&name).await;
        };
        let acquired = tokio::select! {
            acquired = tokio::time::timeout(time, call) => acquired.ok().and_then(Result::ok),
            () = lost => None,
        };
        if acquired.is_some() {
            task_shell.record_answer(&name);
        }
        let attempt = request.attempt;
        match reply.send(to_answer(&task_shell, request, acquired)) {
            Err(Answer::Unanswered) => task_shell.notify_call_dropped(&pool, name, attempt),
            Err(_) => tracing::debug!("answer arrived after its caller had left"),
            Ok(()) => {}
        }
    });
    answer.await.unwrap_or(Answer::Unanswered)
}

fn to_answer(shell: &Rc<Shell>, request: Request, acquired: Option<Acquired>) -> Answer {
    match acquired {
        Some(Acquired::Granted(grant)) => {
            let grant = Some(grant);
            Answer::Granted(Box::new(Unclaimed { shell: Rc::clone(shell), grant, request }))
        }
        Some(Acquired::Refused(fault)) => Answer::Refused(fault),
        Some(Acquired::NotOwner { owner, .. }) => Answer::NotOwner(owner),
        None => Answer::Unanswered,
    }
}
