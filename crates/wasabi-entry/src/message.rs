//! Messages from traffic threads and from peers to the control thread.

use tokio::sync::{mpsc, oneshot};
use wasabi_protocol::{
    command::Command,
    endpoint::Announcement,
    fault::{Fault, Kind},
    id,
    request::Request,
    rpc::{
        Acquire, Acquired, ConfigVersion, Departure, EncodedUpdate, Grant, Heartbeat, Holdings,
        Lend, Preempt, Proposed, RateReport, Release, Slice,
    },
};

/// A grant as the traffic thread receives it.
#[derive(Debug)]
pub(crate) struct Granted {
    /// The grant.
    pub(crate) grant: Grant,
    /// Resolves when the owner revokes the grant before the first token.
    pub(crate) preempted: oneshot::Receiver<()>,
}

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// A caller's request needs a grant.
    Acquire {
        /// The request.
        request: Box<Request>,
        /// Receives the grant or the refusal. Dropping the receiver cancels the call.
        reply: oneshot::Sender<Result<Granted, Fault>>,
    },
    /// A grant of this entry ended.
    Release(Box<Release>),
    /// An endpoint announced itself to this entry.
    Announce(Box<Announcement>),
    /// An endpoint announced to this entry that it leaves.
    Leave(id::Endpoint),
    /// A response of an endpoint says that it leaves.
    Departed {
        /// The pool of the endpoint.
        pool: id::Pool,
        /// The incarnation that leaves.
        departure: Departure,
    },
    /// Endpoints named rates that the owner of their pool may not know.
    Rates(RateReport),
    /// A command to propose to control.
    Propose {
        /// The command.
        command: Box<Command>,
        /// Receives the answer, or none when no control member answered.
        reply: oneshot::Sender<Option<Proposed>>,
    },
    /// A call of a peer.
    Peer(Peer),
    /// The entry starts to drain.
    Drain,
    /// The entry stops at once.
    Kill,
}

/// A call of a peer.
#[derive(Debug)]
pub(crate) enum Peer {
    /// Acquires a grant for a request of the peer.
    Acquire(Box<Acquire>, oneshot::Sender<Acquired>),
    /// Releases such a grant.
    Release(Box<Release>),
    /// The attempts that the peer runs, and those that wait for a grant.
    Report(Box<Holdings>),
    /// The peer, as the owner of a grant, revokes it.
    Preempt(Preempt),
    /// A forwarded announcement.
    Announce(Box<Announcement>),
    /// A forwarded departure of an endpoint.
    Leave(id::Endpoint),
    /// Endpoints that left before this entry owned their pools.
    Left(Vec<Departure>),
    /// An announcement to relay, since the peer cannot reach the pool's owner.
    AnnounceThrough(Box<Announcement>),
    /// A departure to relay, since the peer cannot reach the pool's owner.
    LeaveThrough(id::Endpoint),
    /// A departure that is acknowledged to the endpoint once the owners of its pools acknowledged it.
    Retire(id::Endpoint, oneshot::Sender<bool>),
    /// Reports rates of endpoints to the owner of their pool.
    Rates(RateReport),
    /// A heartbeat, answered with one of this entry.
    Heartbeat(Box<Heartbeat>, oneshot::Sender<Heartbeat>),
    /// Fetches the configuration in force here, without the parts that the peer holds.
    Config(Option<ConfigVersion>, oneshot::Sender<EncodedUpdate>),
    /// Requests a slice of an organisation's budget.
    Lend(Lend, oneshot::Sender<Slice>),
}

/// Sends messages from other threads to the control thread.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    sender: mpsc::UnboundedSender<Message>,
}

impl Handle {
    /// Returns a handle and the receiver of its messages.
    ///
    /// The channel is unbounded, since a release must never be dropped; open requests are bounded
    /// at the listener.
    pub(crate) fn channel() -> (Self, mpsc::UnboundedReceiver<Message>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Sends a message. It is dropped when the process is stopping.
    pub(crate) fn send(&self, message: Message) {
        if self.sender.send(message).is_err() {
            tracing::debug!("message dropped: the control thread has ended");
        }
    }

    /// Acquires a grant and waits for it.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub(crate) async fn acquire(&self, request: Request) -> Result<Granted, Fault> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Acquire { request: Box::new(request), reply });
        answer.await.unwrap_or_else(|_| Err(stopping()))
    }

    /// Proposes a command and returns the answer, or none when no control member answered.
    pub(crate) async fn propose(&self, command: Command) -> Option<Proposed> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Propose { command: Box::new(command), reply });
        answer.await.unwrap_or(None)
    }

    /// Passes on a call of a peer and returns the answer, or none when the process is stopping.
    pub(crate) async fn call<T>(
        &self,
        build: impl FnOnce(oneshot::Sender<T>) -> Peer,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Peer(build(reply)));
        answer.await.ok()
    }
}

fn stopping() -> Fault {
    Fault::new(Kind::EntryDraining, "this entry is stopping; use another entry of the list")
}
