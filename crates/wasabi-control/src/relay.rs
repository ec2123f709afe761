//! Forwarding of endpoint announcements to the entries.

use std::{cell::RefCell, net::SocketAddr, sync::Arc, time::Duration};

use jsonrpsee::{
    core::client::ClientT as _,
    rpc_params,
    ws_client::{WsClient, WsClientBuilder},
};
use serde::Serialize;
use wasabi_protocol::{command::View, endpoint::Announcement, id, rpc::method};

use crate::LocalClient;

/// Timeout of one entry. Endpoints wait 1 s before they call another host.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

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
        let last = self.open.borrow().clone();
        if let Some((_, client)) = last.filter(|(_, client)| client.is_connected())
            && call(&client, method, message).await
        {
            return true;
        }
        *self.open.borrow_mut() = None;
        for address in self.candidates().await {
            let client = WsClientBuilder::default().build(format!("ws://{address}"));
            let Ok(Ok(client)) = tokio::time::timeout(ANSWER_TIMEOUT, client).await else {
                continue;
            };
            let client = Arc::new(client);
            if call(&client, method, message).await {
                *self.open.borrow_mut() = Some((address, client));
                return true;
            }
        }
        false
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
    let answer = client.request::<(), _>(method, rpc_params![message]);
    matches!(tokio::time::timeout(ANSWER_TIMEOUT, answer).await, Ok(Ok(())))
}
