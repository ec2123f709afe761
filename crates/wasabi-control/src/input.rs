//! What reaches the control thread from connections.

use tokio::sync::oneshot::Sender;
use wasabi_protocol::{
    command::Config,
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
    /// A planned stop: leadership is handed over, then the thread ends.
    Stop,
}
