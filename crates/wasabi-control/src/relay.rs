//! Forwarding of endpoint announcements to the entries.

use std::{cell::RefCell, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{
    FutureExt as _, StreamExt as _, future::LocalBoxFuture, stream::FuturesUnordered,
};
use jsonrpsee::{
    core::client::ClientT as _,
    rpc_params,
    ws_client::{WsClient, WsClientBuilder},
};
use serde::Serialize;
use wasabi_protocol::{command::View, endpoint::Announcement, id, rpc::method};

use crate::LocalClient;

/// Time for which a message may take. Endpoints wait 1 s before they call another host.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(900);

/// Time after which another entry is asked as well. The first may still answer: on a busy site the
/// owner of a pool takes some hundred milliseconds, whichever entry asks it.
const NEXT_ENTRY_AFTER: Duration = Duration::from_millis(300);

/// Most entries tried for one message.
const ENTRIES_TRIED_MAX: usize = 3;

/// Client of the entries: tries the entry of the own host first, then others of the view.
#[derive(Debug)]
pub struct Relay {
    local: Option<LocalClient>,
    own: String,
    open: RefCell<Option<(String, Arc<WsClient>)>>,
}

impl Relay {
    /// Creates a relay; `own` is the address at which the entry of this host listens for peers.
    /// Without a control member on this host, it is the only one used.
    pub fn new(local: Option<LocalClient>, own: SocketAddr) -> Self {
        Self { local, own: own.to_string(), open: RefCell::default() }
    }

    /// Forwards an announcement; returns whether an entry accepted it.
    pub async fn register(&self, announcement: &Announcement) -> bool {
        self.notify(method::REGISTER, announcement).await
    }

    /// Forwards the withdrawal of an endpoint; returns whether an entry accepted it.
    pub async fn retire(&self, endpoint: &id::Endpoint) -> bool {
        self.notify(method::RETIRE, endpoint).await
    }

    async fn notify(&self, method: &'static str, message: &impl Serialize) -> bool {
        let delivery = self.deliver(method, message);
        tokio::time::timeout(MESSAGE_TIMEOUT, delivery).await.unwrap_or(false)
    }

    /// Asks one entry after the other, the later ones while the earlier ones may still answer, and
    /// returns whether one accepted the message.
    async fn deliver(&self, method: &'static str, message: &impl Serialize) -> bool {
        let last = self.open.borrow().clone();
        let last = last.filter(|(_, client)| client.is_connected());
        let mut calls = FuturesUnordered::new();
        let known = last.as_ref().map(|(address, _)| address.clone());
        if let Some((_, client)) = last {
            calls.push(async move { call(&client, method, message).await }.boxed_local());
            if next_answer(&mut calls).await == Some(true) {
                return true;
            }
        }
        let others = self.candidates().await.into_iter();
        for address in others.filter(|address| Some(address) != known.as_ref()) {
            calls.push(self.connect_and_call(address, method, message).boxed_local());
            if next_answer(&mut calls).await == Some(true) {
                return true;
            }
        }
        while let Some(is_accepted) = calls.next().await {
            if is_accepted {
                return true;
            }
        }
        false
    }

    /// Makes a call on a new connection, which later messages use if the entry accepts this one.
    async fn connect_and_call(
        &self,
        address: String,
        method: &'static str,
        message: &impl Serialize,
    ) -> bool {
        let Ok(client) = WsClientBuilder::default().build(format!("ws://{address}")).await else {
            return false;
        };
        let client = Arc::new(client);
        let is_accepted = call(&client, method, message).await;
        if is_accepted {
            *self.open.borrow_mut() = Some((address, client));
        }
        is_accepted
    }

    async fn candidates(&self) -> Vec<String> {
        let view = match &self.local {
            Some(local) => local.view().await,
            None => View::default(),
        };
        let others = view.entries.into_iter().map(|entry| entry.peer_address);
        let others = others.filter(|address| *address != self.own);
        std::iter::once(self.own.clone()).chain(others).take(ENTRIES_TRIED_MAX).collect()
    }
}

async fn call(client: &WsClient, method: &'static str, message: &impl Serialize) -> bool {
    client.request::<(), _>(method, rpc_params![message]).await.is_ok()
}

/// Returns the next answer, or none when another entry has to be asked before one arrives.
async fn next_answer(calls: &mut FuturesUnordered<LocalBoxFuture<'_, bool>>) -> Option<bool> {
    tokio::time::timeout(NEXT_ENTRY_AFTER, calls.next()).await.ok().flatten()
}
