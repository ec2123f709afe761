//! Tracks the members and the leader of a group by querying them, for processes outside the group.
//!
//! Addresses in the settings may be replaced, stop answering, or belong to hosts without a member.
//! Members found once are therefore queried again, and list the current members.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures_util::{StreamExt as _, stream::FuturesUnordered};
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

/// Time after which an answer is late, so that the next address is queried beside it.
const LATE_AFTER: Duration = Duration::from_millis(300);

/// Time after which an address counts as silent. It includes the connection.
const SILENT_AFTER: Duration = Duration::from_millis(2_000);

/// Known members and leader. Clones share the state.
#[derive(Debug, Clone)]
pub(crate) struct LeaderTracker {
    clock: Clock,
    known: Arc<Mutex<KnownMembers>>,
    /// The leader that answered last, with an open connection.
    connected: Arc<Mutex<Option<Leader>>>,
    contacts: Contacts,
}

impl LeaderTracker {
    /// Creates a tracker that knows only these contacts.
    pub(crate) fn new(contacts: Contacts) -> Self {
        Self { clock: Clock::start(), known: Arc::default(), connected: Arc::default(), contacts }
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

    /// Returns the leader that answered last, if its connection is open.
    pub(crate) fn connected(&self) -> Option<Leader> {
        let connected = self.lock_connected().clone();
        connected.filter(|leader| leader.client.is_connected())
    }

    /// Forgets an open connection that does not lead to the leader.
    pub(crate) fn disconnect(&self, leader: &Leader) {
        let mut connected = self.lock_connected();
        connected.take_if(|open| Arc::ptr_eq(&open.client, &leader.client));
    }

    /// Queries the leader periodically.
    pub(crate) async fn run(self) {
        loop {
            let is_found = self.confirm_or_find().await;
            let pause = if is_found { CONFIRM_INTERVAL } else { SEARCH_INTERVAL };
            actix_rt::time::sleep(pause).await;
        }
    }

    /// Queries the leader on the open connection, and searches for it when there is none or when the
    /// answer is late or is no. Returns whether a leader answered.
    async fn confirm_or_find(&self) -> bool {
        let Some(leader) = self.connected() else { return self.find(Vec::new()).await.is_found() };
        let confirming = self.confirm(leader);
        tokio::pin!(confirming);
        match actix_rt::time::timeout(LATE_AFTER, &mut confirming).await {
            Ok(true) => return true,
            Ok(false) => return self.find(Vec::new()).await.is_found(),
            Err(_) => {}
        }
        let finding = self.find(Vec::new());
        tokio::pin!(finding);
        tokio::select! {
            is_confirmed = &mut confirming => is_confirmed || finding.await.is_found(),
            search = &mut finding => search.is_found() || confirming.await,
        }
    }

    /// Queries these addresses, and all known ones, until the leader answers.
    ///
    /// An address that answers late is not given up: the next one is queried beside it, and the first
    /// answer of a leader counts.
    pub(crate) async fn find(&self, first: Vec<String>) -> SearchResult {
        let contacts = self.contacts.get();
        let addresses = self.lock().addresses(self.clock.now(), first, contacts);
        let mut round = Round::new(addresses);
        let mut asking = FuturesUnordered::new();
        let mut search = SearchResult::Unreachable;
        loop {
            if let Some(address) = round.next_address() {
                asking.push(ask(address));
            } else if asking.is_empty() {
                return search;
            }
            let answer = actix_rt::time::timeout(LATE_AFTER, asking.next()).await;
            let Ok(Some((address, answer))) = answer else { continue };
            let Some((client, lead)) = answer else {
                self.lock().record_failure(&address);
                continue;
            };
            search = SearchResult::NoLeader;
            if lead.leader.as_ref() == Some(&address) {
                let leader = Leader { address, client: Arc::new(client) };
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
    }

    /// Queries the leader again. Returns whether it still leads.
    async fn confirm(&self, leader: Leader) -> bool {
        let request = leader.client.request::<LeaderInfo, _>(method::LEADER, rpc_params![]);
        let answer = actix_rt::time::timeout(SILENT_AFTER, request).await;
        let Ok(Ok(lead)) = answer else {
            self.disconnect(&leader);
            return false;
        };
        if lead.leader.as_ref() != Some(&leader.address) {
            self.disconnect(&leader);
            return false;
        }
        self.confirmed(&leader, lead);
        true
    }

    fn confirmed(&self, leader: &Leader, lead: LeaderInfo) {
        self.add(leader.address.clone(), lead.leader);
        self.lock().set_listed(lead.members);
        *self.lock_connected() = Some(leader.clone());
    }

    fn lock_connected(&self) -> MutexGuard<'_, Option<Leader>> {
        self.connected.lock().unwrap_or_else(PoisonError::into_inner)
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

impl SearchResult {
    /// Returns whether the leader answered.
    const fn is_found(&self) -> bool {
        matches!(self, Self::Found(_))
    }
}

/// The leader, with an open connection. Clones share the connection.
#[derive(Debug, Clone)]
pub(crate) struct Leader {
    pub(crate) address: String,
    pub(crate) client: Arc<WsClient>,
}

/// Queries an address, and returns it with the connection and the answer, if there is one.
async fn ask(address: String) -> (String, Option<(WsClient, LeaderInfo)>) {
    let request = async {
        let builder = WsClientBuilder::default()
            .max_request_size(MESSAGE_BYTES_MAX)
            .max_response_size(MESSAGE_BYTES_MAX);
        let client = builder.build(format!("ws://{address}")).await.ok()?;
        let lead = client.request::<LeaderInfo, _>(method::LEADER, rpc_params![]).await.ok()?;
        Some((client, lead))
    };
    let answer = actix_rt::time::timeout(SILENT_AFTER, request).await.ok().flatten();
    (address, answer)
}
