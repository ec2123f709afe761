//! What endpoints say of themselves, passed on to the entries.

use std::{cell::RefCell, net::SocketAddr, sync::Arc, time::Duration};

use jsonrpsee::{
    core::client::ClientT as _,
    rpc_params,
    ws_client::{WsClient, WsClientBuilder},
};
use serde::Serialize;
use wasabi_protocol::{command::View, endpoint::Announcement, id, rpc::method};

use crate::Local;

/// Longest time for one entry to answer. Endpoints wait a second before they call another host.
const ANSWER_BOUND: Duration = Duration::from_millis(300);

/// Entries that are tried for one message.
const TRIED_MAX: usize = 3;

/// The way to the entries: the one of the own host first, then others of the view.
#[derive(Debug)]
pub struct Relay {
    local: Option<Local>,
    own: String,
    open: RefCell<Option<(String, Arc<WsClient>)>>,
}

impl Relay {
    /// Returns the way to the entries; `own` is where the entry of this host listens for peers.
    /// Without a control member on this host that is the only one.
    pub fn new(local: Option<Local>, own: SocketAddr) -> Self {
        Self { local, own: own.to_string(), open: RefCell::default() }
    }

    /// Passes an announcement on; returns whether an entry took it.
    pub async fn register(&self, announcement: &Announcement) -> bool {
        self.tell(method::REGISTER, announcement).await
    }

    /// Passes on that an endpoint leaves; returns whether an entry took it.
    pub async fn retire(&self, endpoint: &id::Endpoint) -> bool {
        self.tell(method::RETIRE, endpoint).await
    }

    async fn tell(&self, method: &'static str, message: &impl Serialize) -> bool {
        let last = self.open.borrow().clone();
        if let Some((_, client)) = last.filter(|(_, client)| client.is_connected())
            && call(&client, method, message).await
        {
            return true;
        }
        *self.open.borrow_mut() = None;
        for address in self.candidates().await {
            let client = WsClientBuilder::default().build(format!("ws://{address}"));
            let Ok(Ok(client)) = tokio::time::timeout(ANSWER_BOUND, client).await else { continue };
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
        std::iter::once(self.own.clone()).chain(others).take(TRIED_MAX).collect()
    }
}

async fn call(client: &WsClient, method: &'static str, message: &impl Serialize) -> bool {
    let answer = client.request::<(), _>(method, rpc_params![message]);
    matches!(tokio::time::timeout(ANSWER_BOUND, answer).await, Ok(Ok(())))
}
