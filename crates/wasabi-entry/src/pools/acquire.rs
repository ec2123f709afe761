//! A grant from the pool's owner, wherever it is, through deaths and changes of owners.

use std::rc::Rc;

use jsonrpsee::{core::client::ClientT as _, rpc_params};
use tokio::sync::oneshot;
use wasabi_protocol::{
    clock::Millis,
    fault::{Fault, Kind},
    id,
    request::Request,
    rpc::{Acquire, Acquired, Grant, Release, method},
};
use wasabi_routing::{breaker, rendezvous};

use crate::{message::Granted, pools::owner, shell::Shell};

/// Time for which an owner that another entry named is waited for, although this entry does not take
/// it for live.
const NAMED_TIME: Millis = Millis::from_secs(1);

/// Added to a request's deadline for the answer of a remote owner, which refuses at the deadline.
const ANSWER_GRACE: Millis = Millis(500);

/// A grant that nobody uses yet. Dropping it gives it back.
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
        let mut release = owner::abandoned(grant.pool, grant.owner, self.request.attempt);
        release.grant = grant.grant;
        release.endpoint = grant.endpoint;
        release.version = grant.version;
        release.route = self.request.route.clone();
        self.shell.release(release);
    }
}

/// A waiting call at a pool owned here. Dropping it takes the call back.
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
        // A grant that came in the meantime is given back.
        if let Ok(Acquired::Granted(grant)) = self.reply.try_recv() {
            let (shell, request) = (Rc::clone(&self.shell), self.request.clone());
            drop(Unclaimed { shell, grant: Some(grant), request });
        }
    }
}

/// What one owner answered.
enum Answer {
    Granted(Box<Unclaimed>),
    Refused(Fault),
    /// Ask again: the asked entry is not the owner. It may name the owner.
    Again(Option<id::Entry>),
    /// Ask again: the call was dropped, or broke off. The asked entry may grant it all the same.
    Unanswered,
}

/// An attempt that asks for a grant, and the owners whose calls for it were dropped. Once it asks no
/// more, they are told: the grants that they give to these calls would count until after the deadline.
struct Asking<'a> {
    shell: &'a Rc<Shell>,
    pool: &'a id::Pool,
    attempt: id::Attempt,
    dropped: Vec<id::Entry>,
}

impl<'a> Asking<'a> {
    fn new(shell: &'a Rc<Shell>, pool: &'a id::Pool, attempt: id::Attempt) -> Self {
        shell.holder.borrow_mut().asks(attempt, pool.clone());
        Self { shell, pool, attempt, dropped: Vec::new() }
    }

    /// Notes how a call ended. An owner that answers a later call has settled the earlier ones.
    fn note(&mut self, owner: &id::Entry, answer: &Answer) {
        self.dropped.retain(|other| other != owner);
        if matches!(answer, Answer::Unanswered) {
            self.dropped.push(owner.clone());
        }
    }
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.shell.holder.borrow_mut().asks_no_more(self.attempt);
        for owner in self.dropped.drain(..) {
            self.shell.call_dropped(self.pool, owner, self.attempt);
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
        answer = from_pools(&shell, request) => answer,
    };
    let answer = answer.and_then(|unclaimed| {
        unclaimed.claim().ok_or_else(|| Fault::new(Kind::Internal, "the grant is lost"))
    });
    if let Err(Ok(granted)) = reply.send(answer) {
        let grant = granted.grant;
        let number = grant.grant;
        let release = owner::abandoned(grant.pool, grant.owner, attempt);
        shell.release(Release { grant: number, ..release });
    }
}

/// Asks the owners of the model's pools, the first one first. Before a refusal of one is passed
/// on, the others are asked, since one of them may have less urgent work to shed.
async fn from_pools(shell: &Rc<Shell>, request: Request) -> Result<Box<Unclaimed>, Fault> {
    let started = shell.now();
    let mut refusal = None;
    for pool in shell.pools_of(&request.backend) {
        let mut request = request.clone();
        let age = shell.now().since(started);
        request.waited = request.waited + age;
        request.remaining = request.remaining - age;
        match from_pool(shell, &pool, request).await {
            Ok(unclaimed) => return Ok(unclaimed),
            Err(fault) => refusal = Some(fault),
        }
    }
    Err(refusal
        .unwrap_or_else(|| Fault::new(Kind::NoEndpoint, "no pool provides this model or service")))
}

async fn from_pool(
    shell: &Rc<Shell>,
    pool: &id::Pool,
    request: Request,
) -> Result<Box<Unclaimed>, Fault> {
    let started = shell.now();
    let mut asking = Asking::new(shell, pool, request.attempt);
    let mut waits = None;
    loop {
        let age = shell.now().since(started);
        if request.remaining <= age {
            let message = "the deadline passed while the request waited; nothing ran";
            return Err(Fault::new(Kind::DeadlineInQueue, message));
        }
        let Some(owner) = shell.asked_of(pool) else {
            // Before the first view nobody can be asked.
            tokio::time::sleep(breaker::BACKOFF_MIN.duration()).await;
            continue;
        };
        let mut asked = request.clone();
        asked.waited = request.waited + age;
        asked.remaining = request.remaining - age;
        let is_here = owner == shell.shared.entry.name;
        let answer = if is_here {
            here(shell, pool, asked).await
        } else {
            let waiter = waits.take().unwrap_or_else(|| {
                shell.wait_for_turn(pool, request.tier, started - request.waited)
            });
            let Some(turn) = shell.turn(&waiter, asked.remaining).await else {
                waits = Some(waiter);
                continue;
            };
            drop(waiter);
            let answer = there(shell, pool, &owner, asked).await;
            asking.note(&owner, &answer);
            match &answer {
                Answer::Again(named) => shell.turn_failed(pool, turn, named.clone()),
                Answer::Unanswered => shell.turn_failed(pool, turn, None),
                Answer::Granted(_) | Answer::Refused(_) => shell.turn_answered(pool, turn, &owner),
            }
            answer
        };
        match answer {
            Answer::Granted(unclaimed) => return Ok(unclaimed),
            Answer::Refused(fault) => return Err(fault),
            // The pool is given up here only when its owner is known to be another entry.
            Answer::Again(_) | Answer::Unanswered => tokio::task::yield_now().await,
        }
    }
}

async fn here(shell: &Rc<Shell>, pool: &id::Pool, request: Request) -> Answer {
    shell.own(pool, &request.backend);
    let (reply, answer) = oneshot::channel();
    let holder = shell.shared.entry.name.clone();
    let now = shell.now();
    let (ticket, effects) =
        shell.pools.borrow_mut().acquire(now, pool, holder, request.clone(), reply);
    shell.perform(effects);
    let Some(ticket) = ticket else { return Answer::Again(None) };
    let (for_grant, pool) = (request.clone(), pool.clone());
    let mut ticket = Ticket { shell: Rc::clone(shell), pool, ticket, request, reply: answer };
    let acquired = (&mut ticket.reply).await;
    answered(shell, for_grant, acquired.ok())
}

async fn there(shell: &Rc<Shell>, pool: &id::Pool, owner: &id::Entry, request: Request) -> Answer {
    let Some(client) = shell.link(owner).await else { return Answer::Again(None) };
    let time = (request.remaining + ANSWER_GRACE).duration();
    let holder = shell.shared.entry.name.clone();
    let message = Acquire { pool: pool.clone(), holder, request: request.clone() };
    let (reply, answer) = oneshot::channel();
    let task_shell = Rc::clone(shell);
    let (name, pool) = (owner.clone(), pool.clone());
    // The call is not cancelled with its caller: a grant that is on its way must be given back.
    actix_rt::spawn(async move {
        let call = client.request::<Acquired, _>(method::ACQUIRE, rpc_params![message]);
        let lost = async {
            if !task_shell.peers.borrow().is_live(task_shell.now(), &name) {
                tokio::time::sleep(NAMED_TIME.duration()).await;
            }
            task_shell.lost(&name).await;
        };
        let acquired = tokio::select! {
            acquired = tokio::time::timeout(time, call) => acquired.ok().and_then(Result::ok),
            () = lost => None,
        };
        if acquired.is_some() {
            task_shell.answered(&name);
        }
        let attempt = request.attempt;
        match reply.send(answered(&task_shell, request, acquired)) {
            Err(Answer::Unanswered) => task_shell.call_dropped(&pool, name, attempt),
            Err(_) => tracing::debug!("an answer came for a caller that left"),
            Ok(()) => {}
        }
    });
    answer.await.unwrap_or(Answer::Unanswered)
}

fn answered(shell: &Rc<Shell>, request: Request, acquired: Option<Acquired>) -> Answer {
    match acquired {
        Some(Acquired::Granted(grant)) => {
            let grant = Some(grant);
            Answer::Granted(Box::new(Unclaimed { shell: Rc::clone(shell), grant, request }))
        }
        Some(Acquired::Refused(fault)) => Answer::Refused(fault),
        Some(Acquired::NotOwner { owner, .. }) => Answer::Again(owner),
        None => Answer::Unanswered,
    }
}

/// Returns the pools of a backend in a region. One shard is enough for up to 64 endpoints.
pub(crate) fn pools_of(backend: &id::Backend, region: &id::Region) -> Vec<id::Pool> {
    vec![rendezvous::pool(backend, region, 0)]
}
