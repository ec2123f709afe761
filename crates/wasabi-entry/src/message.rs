//! Messages from traffic threads and from peers to the control thread.

use tokio::sync::{mpsc, oneshot};
use wasabi_protocol::{
    command::Command,
    endpoint::Announcement,
    fault::{Fault, Kind},
    id,
    request::Request,
    rpc::{
        Acquire, Acquired, Answer, Grant, Heartbeat, Held, Holdings, Left, Lend, Preempt, Proposed,
        Release, Slice,
    },
};

/// A grant as the traffic thread receives it.
#[derive(Debug)]
pub(crate) struct Granted {
    /// The grant.
    pub(crate) grant: Grant,
    /// Resolves when the owner takes the grant back before the first token.
    pub(crate) preempted: oneshot::Receiver<()>,
}

/// What the control thread is asked.
#[derive(Debug)]
pub(crate) enum Message {
    /// A caller's request needs a grant.
    Acquire {
        /// The request.
        request: Box<Request>,
        /// Gets the grant or the refusal. A dropped receiver cancels the wait.
        reply: oneshot::Sender<Result<Granted, Fault>>,
    },
    /// A grant of this holder ended.
    Release(Box<Release>),
    /// An endpoint announced itself here.
    Announce(Box<Announcement>),
    /// An endpoint said here that it leaves.
    Leave(id::Endpoint),
    /// A command for the log.
    Propose {
        /// The command.
        command: Box<Command>,
        /// Gets the answer, or none when no control member answered.
        reply: oneshot::Sender<Option<Proposed>>,
    },
    /// A peer calls.
    Peer(Peer),
    /// The entry starts to drain.
    Drain,
    /// The entry stops at once.
    Kill,
}

/// What a peer asks.
#[derive(Debug)]
pub(crate) enum Peer {
    /// A grant for a request that the peer holds.
    Acquire(Box<Acquire>, oneshot::Sender<Acquired>),
    /// The end of such a grant.
    Release(Box<Release>),
    /// What the peer still runs.
    Report(Box<Holdings>),
    /// A grant that the peer, as its owner, takes back.
    Preempt(Preempt),
    /// A relayed announcement.
    Announce(Box<Announcement>),
    /// A relayed leave.
    Leave(id::Endpoint),
    /// Endpoints that left before this entry owned their pools.
    Left(Vec<Left>),
    /// An announcement of which the peer does not reach the owner.
    AnnounceThrough(Box<Announcement>),
    /// A leave of which the peer does not reach the owner.
    LeaveThrough(id::Endpoint),
    /// A leave that is acknowledged to the endpoint once the owners of its pools have it.
    Retire(id::Endpoint, oneshot::Sender<bool>),
    /// A heartbeat, answered with the own one.
    Heartbeat(Box<Heartbeat>, oneshot::Sender<Heartbeat>),
    /// The configuration in force here, without what the peer holds.
    Config(Option<Held>, oneshot::Sender<Answer>),
    /// A slice of an organisation's budget.
    Lend(Lend, oneshot::Sender<Slice>),
}

/// The way from other threads to the control thread.
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

    /// Sends a message. It is dropped when the process is about to end.
    pub(crate) fn send(&self, message: Message) {
        if self.sender.send(message).is_err() {
            tracing::debug!("the control thread has ended");
        }
    }

    /// Asks for a grant and waits for it.
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

    /// Sends a peer's question and returns the answer, or none when the process is about to end.
    pub(crate) async fn ask<T>(
        &self,
        question: impl FnOnce(oneshot::Sender<T>) -> Peer,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Peer(question(reply)));
        answer.await.ok()
    }
}

fn stopping() -> Fault {
    Fault::new(Kind::EntryDraining, "this entry is stopping; use another entry of the list")
}
