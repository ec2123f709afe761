//! Inspection of a node's state by tests that explore its state space.

use wasabi_protocol::id;

use crate::{Entry, Node, Role, Vote, node::State};

/// The parts of a node's state on which the safety of later steps depends.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Inspection {
    /// The current term and the vote in it.
    pub vote: Vote,
    /// The role.
    pub role: Role,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The commit index.
    pub commit: u64,
    /// The matched index of each other member, if the node is the leader.
    pub matched: Vec<(id::Member, u64)>,
}

impl Node {
    /// Returns the parts of the state on which the safety of later steps depends.
    pub fn inspect(&self) -> Inspection {
        let matched = match &self.state {
            State::Leader(leader) => {
                leader.peers.iter().map(|(id, peer)| (id.clone(), peer.match_index)).collect()
            }
            _ => Vec::new(),
        };
        Inspection {
            vote: self.vote.clone(),
            role: self.role(),
            entries: self.log.entries_from(0).to_vec(),
            commit: self.commit_index,
            matched,
        }
    }
}
