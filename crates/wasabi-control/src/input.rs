//! What reaches the control thread from connections.

use tokio::sync::oneshot::Sender;
use wasabi_consensus::Message;
use wasabi_protocol::{
    command::{Move, View},
    id,
    rpc::{
        Answer, ChangeMembers, Checked, Checkin, Drain, Drained, Held, Inquire, Inquired, Join,
        Joined, Lead, MembersChanged, MoveOrder, Operate, Operated, Propose, Proposed, Read,
    },
    site,
};

/// One input of the control thread, with the place for its answer.
#[derive(Debug)]
pub(crate) enum Input {
    /// An entry's heartbeat.
    Checkin(Box<Checkin>, Sender<Checked>),
    /// A command from an entry.
    Propose(Box<Propose>, Sender<Proposed>),
    /// An operator's command.
    Operate(Box<Operate>, Sender<Operated>),
    /// An operator's question.
    Inquire(Inquire, Sender<Inquired>),
    /// A change of the control group.
    ChangeMembers(ChangeMembers, Sender<MembersChanged>),
    /// An order to drain an entry.
    Drain(Drain, Sender<Drained>),
    /// A question for the configuration that this member holds.
    Config(Option<Held>, Sender<Answer>),
    /// A member that asks to be in the group.
    Join(Join, Sender<Joined>),
    /// A question who leads.
    Lead(Sender<Lead>),
    /// A question for the addresses of the other members.
    Addresses(Sender<Vec<String>>),
    /// A site configuration.
    PutSite(Box<site::Document>, Sender<Proposed>),
    /// A question for the site configuration.
    Site(Sender<Read<Option<site::Document>>>),
    /// A version move.
    StartMove(MoveOrder, Sender<Proposed>),
    /// A question for the last move of a model or service.
    LastMove(id::Backend, Sender<Read<Option<Move>>>),
    /// A question for the entry view that this member holds.
    View(Sender<View>),
    /// Messages from another member.
    Step(Step),
    /// A planned stop: leadership is handed over, then the thread ends.
    Stop,
}

/// Messages from another member.
#[derive(Debug)]
pub(crate) struct Step {
    pub(crate) from: id::Member,
    pub(crate) address: String,
    pub(crate) messages: Vec<Message>,
}
