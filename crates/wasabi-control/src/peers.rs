//! State shared by the control thread and the connections to other members.

use std::sync::{Arc, Mutex};

use tokio::sync::mpsc::UnboundedSender;
use wasabi_consensus::Message;

use crate::{last_replies::SharedLastReplies, link::OutboundBatch, seen_members::SeenMembers};

/// State shared by the control thread and the connections to other members.
#[derive(Debug, Clone)]
pub(crate) struct Peers {
    pub(crate) seen_members: Arc<Mutex<SeenMembers>>,
    pub(crate) outbound: UnboundedSender<OutboundBatch>,
    pub(crate) last_replies: SharedLastReplies,
}

/// Returns whether a message answers one of this member. Other messages only prove that this member
/// receives the sender, not that the sender receives this member.
pub(crate) const fn is_answer(message: &Message) -> bool {
    matches!(
        message,
        Message::AppendReply { .. }
            | Message::InstallReply { .. }
            | Message::VoteReply { .. }
            | Message::PreVoteReply { .. }
    )
}
