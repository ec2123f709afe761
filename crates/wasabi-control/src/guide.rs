//! What a process knows of the members of a group that it is not in, kept up to date by asking them.
//!
//! The settings name addresses that may be exchanged, end, or belong to hosts without a member. Who
//! was found once is therefore asked again, and lists the members in force.

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
    rpc::{Lead, MESSAGE_BYTES_MAX, method},
};

use crate::{introductions::Introductions, options::Contacts, search::Round};

/// Time between two questions to a leader that answers.
const CONFIRM_EVERY: Duration = Duration::from_millis(1_000);

/// Time between two rounds of questions while no leader answers.
const SEARCH_EVERY: Duration = Duration::from_millis(100);

/// Longest time for one question, the connection included.
const ASK_BOUND: Duration = Duration::from_millis(300);

/// What is known of the members. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct Guide {
    clock: Clock,
    known: Arc<Mutex<Introductions>>,
    contacts: Contacts,
}

impl Guide {
    /// Returns a guide that knows these contacts alone.
    pub(crate) fn new(contacts: Contacts) -> Self {
        Self { clock: Clock::start(), known: Arc::default(), contacts }
    }

    /// Takes into account that a member was heard, and which leader had answered it.
    pub(crate) fn add(&self, address: String, leader: Option<String>) {
        self.lock().add(self.clock.now(), address, leader);
    }

    /// Returns the address of the leader, or of a member that was heard lately.
    pub(crate) fn named(&self) -> Option<String> {
        self.lock().named(self.clock.now())
    }

    /// Returns the leader and the time since it was known to lead, in milliseconds.
    pub(crate) fn leader(&self) -> Option<(String, Millis)> {
        self.lock().leader(self.clock.now())
    }

    /// Returns who leads, for one that asks this process.
    pub(crate) fn lead(&self) -> Lead {
        let leader = self.leader().map(|(leader, _)| leader);
        Lead { leader, members: self.lock().members(self.clock.now()) }
    }

    /// Asks who leads, again and again.
    pub(crate) async fn follow(self) {
        let mut leader = None;
        loop {
            leader = match leader {
                Some(leader) => self.confirm(leader).await,
                None => match self.find(Vec::new()).await {
                    Search::Found(leader) => Some(leader),
                    Search::Open | Search::Silent => None,
                },
            };
            let pause = if leader.is_some() { CONFIRM_EVERY } else { SEARCH_EVERY };
            actix_rt::time::sleep(pause).await;
        }
    }

    /// Asks these addresses, and all that are known, until the leader answers.
    pub(crate) async fn find(&self, first: Vec<String>) -> Search {
        let contacts = self.contacts.get();
        let addresses = self.lock().addresses(self.clock.now(), first, contacts);
        let mut round = Round::new(addresses);
        let mut search = Search::Silent;
        while let Some(address) = round.next_address() {
            let Some((client, lead)) = ask(&address).await else {
                self.lock().miss(&address);
                continue;
            };
            search = Search::Open;
            if lead.leader.as_ref() == Some(&address) {
                let leader = Leader { address, client };
                self.confirmed(&leader, lead);
                return Search::Found(leader);
            }
            if lead.members.contains(&address) {
                // It may name a leader that has just ended, so that only its own life is known.
                self.add(address, None);
            }
            round.extend(lead.members);
            if let Some(leader) = lead.leader {
                round.redirect(leader);
            }
        }
        search
    }

    /// Asks the leader whether it still leads, and returns it if it does.
    async fn confirm(&self, leader: Leader) -> Option<Leader> {
        let asking = leader.client.request::<Lead, _>(method::LEADER, rpc_params![]);
        let lead = actix_rt::time::timeout(ASK_BOUND, asking).await.ok()?.ok()?;
        if lead.leader.as_ref() != Some(&leader.address) {
            return None;
        }
        self.confirmed(&leader, lead);
        Some(leader)
    }

    fn confirmed(&self, leader: &Leader, lead: Lead) {
        self.add(leader.address.clone(), lead.leader);
        self.lock().list(lead.members);
    }

    fn lock(&self) -> MutexGuard<'_, Introductions> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a search for the leader came to.
pub(crate) enum Search {
    /// The leader answered.
    Found(Leader),
    /// Somebody answered, and nobody leads.
    Open,
    /// Nobody answered.
    Silent,
}

/// The leader, with an open connection.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) address: String,
    pub(crate) client: WsClient,
}

/// Returns what an address answers, with the connection.
async fn ask(address: &str) -> Option<(WsClient, Lead)> {
    let asking = async {
        let builder = WsClientBuilder::default();
        let builder =
            builder.max_request_size(MESSAGE_BYTES_MAX).max_response_size(MESSAGE_BYTES_MAX);
        let client = builder.build(format!("ws://{address}")).await.ok()?;
        let lead = client.request::<Lead, _>(method::LEADER, rpc_params![]).await.ok()?;
        Some((client, lead))
    };
    actix_rt::time::timeout(ASK_BOUND, asking).await.ok()?
}
