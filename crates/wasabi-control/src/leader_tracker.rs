//! Tracks the members and the leader of a group by querying them, for processes outside the group.
//!
//! Addresses in the settings may be replaced, stop answering, or belong to hosts without a member.
//! Members found once are therefore queried again, and list the current members.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jsonrpsee::{
    core::client::ClientT as _,
    rpc_params,
    ws_client::{WsClient, WsClientBuilder},
};
use wasabi_protocol::{
    clock::{Clock, Millis},
    rpc::{LeaderInfo, MESSAGE_BYTES_MAX, method},
};

use crate::{known_members::KnownMembers, options::Contacts, search::Round};

/// Time between two queries to a leader that answers.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between two search rounds while no leader answers.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of one query, including the connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// Known members and leader. Clones share the state.
#[derive(Debug, Clone)]
pub(crate) struct LeaderTracker {
    clock: Clock,
    known: Arc<Mutex<KnownMembers>>,
    contacts: Contacts,
}

impl LeaderTracker {
    /// Creates a tracker that knows only these contacts.
    pub(crate) fn new(contacts: Contacts) -> Self {
        Self { clock: Clock::start(), known: Arc::default(), contacts }
    }

    /// Records a message of a member, and the leader that had answered it.
    pub(crate) fn add(&self, address: String, leader: Option<String>) {
        self.lock().add(self.clock.now(), address, leader);
    }

    /// Returns the address of the leader, or of a member that sent a message recently.
    pub(crate) fn leader_or_member(&self) -> Option<String> {
        self.lock().leader_or_member(self.clock.now())
    }

    /// Returns the leader and the time since it was last confirmed.
    pub(crate) fn leader(&self) -> Option<(String, Millis)> {
        self.lock().leader(self.clock.now())
    }

    /// Returns the answer to a caller that asks for the leader.
    pub(crate) fn lead_answer(&self) -> LeaderInfo {
        let leader = self.leader().map(|(leader, _)| leader);
        LeaderInfo { leader, members: self.lock().members(self.clock.now()) }
    }

    /// Queries the leader periodically.
    pub(crate) async fn run(self) {
        let mut leader = None;
        loop {
            leader = match leader {
                Some(leader) => self.confirm(leader).await,
                None => match self.find(Vec::new()).await {
                    SearchResult::Found(leader) => Some(leader),
                    SearchResult::NoLeader | SearchResult::Unreachable => None,
                },
            };
            let pause = if leader.is_some() { CONFIRM_INTERVAL } else { SEARCH_INTERVAL };
            actix_rt::time::sleep(pause).await;
        }
    }

    /// Queries these addresses, and all known ones, until the leader answers.
    pub(crate) async fn find(&self, first: Vec<String>) -> SearchResult {
        let contacts = self.contacts.get();
        let addresses = self.lock().addresses(self.clock.now(), first, contacts);
        let mut round = Round::new(addresses);
        let mut search = SearchResult::Unreachable;
        while let Some(address) = round.next_address() {
            let Some((client, lead)) = ask(&address).await else {
                self.lock().record_failure(&address);
                continue;
            };
            search = SearchResult::NoLeader;
            if lead.leader.as_ref() == Some(&address) {
                let leader = Leader { address, client };
                self.confirmed(&leader, lead);
                return SearchResult::Found(leader);
            }
            if lead.members.contains(&address) {
                // It may name a leader that has just stopped, so only its own address is recorded.
                self.add(address, None);
            }
            round.extend(lead.members);
            if let Some(leader) = lead.leader {
                round.redirect(leader);
            }
        }
        search
    }

    /// Queries the leader again, and returns it if it still leads.
    async fn confirm(&self, leader: Leader) -> Option<Leader> {
        let request = leader.client.request::<LeaderInfo, _>(method::LEADER, rpc_params![]);
        let lead = actix_rt::time::timeout(REQUEST_TIMEOUT, request).await.ok()?.ok()?;
        if lead.leader.as_ref() != Some(&leader.address) {
            return None;
        }
        self.confirmed(&leader, lead);
        Some(leader)
    }

    fn confirmed(&self, leader: &Leader, lead: LeaderInfo) {
        self.add(leader.address.clone(), lead.leader);
        self.lock().set_listed(lead.members);
    }

    fn lock(&self) -> MutexGuard<'_, KnownMembers> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Result of a search for the leader.
pub(crate) enum SearchResult {
    /// The leader answered.
    Found(Leader),
    /// Members answered, but none is the leader.
    NoLeader,
    /// No address answered.
    Unreachable,
}

/// The leader, with an open connection.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) address: String,
    pub(crate) client: WsClient,
}

/// Queries an address, and returns the connection with the answer.
async fn ask(address: &str) -> Option<(WsClient, LeaderInfo)> {
    let request = async {
        let builder = WsClientBuilder::default();
        let builder =
            builder.max_request_size(MESSAGE_BYTES_MAX).max_response_size(MESSAGE_BYTES_MAX);
        let client = builder.build(format!("ws://{address}")).await.ok()?;
        let lead = client.request::<LeaderInfo, _>(method::LEADER, rpc_params![]).await.ok()?;
        Some((client, lead))
    };
    actix_rt::time::timeout(REQUEST_TIMEOUT, request).await.ok()?
}
