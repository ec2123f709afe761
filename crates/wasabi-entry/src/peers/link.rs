//! Links to peers, and messages that have no answer to wait for.

use std::{rc::Rc, sync::Arc, time::Duration};

use jsonrpsee::{
    core::{client::ClientT as _, params::ArrayParams},
    ws_client::WsClient,
};
use wasabi_protocol::id;

use crate::{control::link, shell::Shell};

/// Longest time for a connection to a peer.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// Longest time for a message to a peer that has no answer to wait for.
const TELL_TIME: Duration = Duration::from_millis(800);

impl Shell {
    /// Returns the link to a peer, opened if needed.
    pub(crate) async fn link(&self, name: &id::Entry) -> Option<Arc<WsClient>> {
        let link = self.peers.borrow().link(name)?;
        match link {
            Ok(client) => Some(client),
            Err(address) => {
                let client = Arc::new(link::connect(&address, CONNECT_TIME).await?);
                self.peers.borrow_mut().set_link(name, Some(Arc::clone(&client)));
                Some(client)
            }
        }
    }

    /// Resolves when a peer does not count as live any more.
    pub(crate) async fn lost(&self, name: &id::Entry) {
        loop {
            let signal = self.peers.borrow().lost(name);
            let Some(signal) = signal else { return };
            if !self.peers.borrow().is_live(self.now(), name) {
                return;
            }
            signal.notified().await;
        }
    }

    /// Sends a message to a peer in the background.
    pub(crate) fn tell(
        self: &Rc<Self>,
        name: id::Entry,
        method: &'static str,
        params: ArrayParams,
    ) {
        let shell = Rc::clone(self);
        actix_rt::spawn(async move {
            if !shell.call(&name, method, params).await {
                tracing::debug!(peer = %name, method, "message not delivered");
            }
        });
    }

    pub(crate) async fn call(&self, name: &id::Entry, method: &str, params: ArrayParams) -> bool {
        let Some(client) = self.link(name).await else { return false };
        let call = client.request::<(), _>(method, params);
        matches!(tokio::time::timeout(TELL_TIME, call).await, Ok(Ok(())))
    }
}
