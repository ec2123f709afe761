//! Requests from connections to the control thread.

use tokio::sync::oneshot::Sender;
use wasabi_consensus::Message;
use wasabi_protocol::{
    command::{Move, View},
    id,
    rpc::{
        ChangeMembers, Checkin, CheckinReply, CommandReply, CommandRequest, ConfigVersion, Drain,
        Drained, EncodedUpdate, Join, Joined, LeaderInfo, MembersChanged, MoveOrder, Propose,
        Proposed, Read, StatusReply, StatusRequest,
    },
    site,
};

/// A request to the control thread, with the channel for its answer.
#[derive(Debug)]
pub(crate) enum Input {
    /// A heartbeat of an entry.
    Checkin(Box<Checkin>, Sender<CheckinReply>),
    /// A command of an entry.
    Propose(Box<Propose>, Sender<Proposed>),
    /// A command of an operator.
    Operate(Box<CommandRequest>, Sender<CommandReply>),
    /// A status request of an operator.
    Inquire(StatusRequest, Sender<StatusReply>),
    /// A membership change of the control group.
    ChangeMembers(ChangeMembers, Sender<MembersChanged>),
    /// An order to drain an entry.
    Drain(Drain, Sender<Drained>),
    /// A request for the configuration that this member holds.
    Config(Option<ConfigVersion>, Sender<EncodedUpdate>),
    /// A host that requests membership in the group.
    Join(Join, Sender<Joined>),
    /// A request for the leader's address.
    Lead(Sender<LeaderInfo>),
    /// A request for the addresses of the other members.
    Addresses(Sender<Vec<String>>),
    /// A site configuration.
    PutSite(Box<site::Document>, Sender<Proposed>),
    /// A request for the site configuration.
    Site(Sender<Read<Option<site::Document>>>),
    /// A version move.
    StartMove(MoveOrder, Sender<Proposed>),
    /// A request for the last move of a model or service.
    LastMove(id::Backend, Sender<Read<Option<Move>>>),
    /// A request for the entry view that this member holds.
    View(Sender<View>),
    /// Consensus messages from another member.
    Step(Step),
    /// A graceful stop: leadership is transferred, then the thread ends.
    Stop,
}

/// Consensus messages from another member.
#[derive(Debug)]
pub(crate) struct Step {
    pub(crate) from: id::Member,
    pub(crate) address: String,
    pub(crate) messages: Vec<Message>,
}
