//! What the control thread shares with the connections to the other members.

use std::sync::{Arc, Mutex};

use tokio::sync::mpsc::UnboundedSender;
use wasabi_consensus::Message;

use crate::{answers::Answers, heard::Heard, link::Parcel};

/// What the control thread shares with the connections to the other members.
#[derive(Debug, Clone)]
pub(crate) struct Peers {
    pub(crate) heard: Arc<Mutex<Heard>>,
    pub(crate) parcels: UnboundedSender<Parcel>,
    pub(crate) answers: Answers,
}

/// Returns whether a message answers one of this member. Others prove only that their sender can be
/// heard, not that it hears.
pub(crate) const fn is_answer(message: &Message) -> bool {
    matches!(
        message,
        Message::AppendReply { .. }
            | Message::InstallReply { .. }
            | Message::VoteReply { .. }
            | Message::PreVoteReply { .. }
    )
}
