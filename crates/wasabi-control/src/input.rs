//! What reaches the control thread from connections.

use tokio::sync::oneshot::Sender;
use wasabi_consensus::Message;
use wasabi_protocol::{
    command::Config,
    id,
    rpc::{
        ChangeMembers, Checked, Checkin, Drain, Drained, Inquire, Inquired, MembersChanged,
        Operate, Operated, Propose, Proposed,
    },
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
    Config(Sender<Config>),
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
