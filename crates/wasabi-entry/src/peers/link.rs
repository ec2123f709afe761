//! Links to peers, and messages that have no answer to wait for.

use std::{rc::Rc, sync::Arc, time::Duration};

use jsonrpsee::{
    core::{client::ClientT as _, params::ArrayParams},
    ws_client::WsClient,
};
use wasabi_protocol::{clock::Millis, id};

use crate::{control::link, peers::table::Where, shell::Shell};

/// Longest time for a connection to a peer that work waits for.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// Longest time for a message to a peer that has no answer to wait for.
const TELL_TIME: Duration = Duration::from_millis(800);

impl Shell {
    /// Returns the link to a peer, opened if needed. All that need it at one time share one try.
    pub(crate) async fn link(&self, name: &id::Entry) -> Option<Arc<WsClient>> {
        if let Some(client) = self.peers.borrow().link(name) {
            return Some(client);
        }
        let opening = self.peers.borrow().opening(name)?;
        let _one = opening.lock().await;
        let (open, has_failed) = {
            let peers = self.peers.borrow();
            (peers.link(name), peers.has_failed(self.now(), name))
        };
        if open.is_some() || has_failed {
            return open;
        }
        self.open_link(name, CONNECT_TIME).await
    }

    /// Opens a new connection to a peer. It becomes the link when there is none.
    ///
    /// [`Self::keep_link`] puts it in the place of one that is silent.
    pub(crate) async fn open_link(
        &self,
        name: &id::Entry,
        time: Duration,
    ) -> Option<Arc<WsClient>> {
        let address = self.peers.borrow().address(name)?;
        let opened = link::open(&address, time).await;
        let now = self.now();
        let mut peers = self.peers.borrow_mut();
        match opened {
            Ok(client) => {
                let client = Arc::new(client);
                if peers.link(name).is_none() {
                    peers.set_link(name, Arc::clone(&client));
                }
                Some(client)
            }
            Err(unreached) => {
                peers.failed(now, name, unreached);
                None
            }
        }
    }

    /// Makes a connection the link to a peer.
    pub(crate) fn keep_link(&self, name: &id::Entry, client: Arc<WsClient>) {
        self.peers.borrow_mut().set_link(name, client);
    }

    /// Notes whether the control leader answered, which proves that the link of this host works.
    pub(crate) fn note_control(&self, now: Millis) {
        let leader = self.control.leader();
        let own = &self.shared.entry.peer_address;
        let leader = leader.map_or(Where::Elsewhere, |leader| Where::of(own, &leader));
        self.peers.borrow_mut().control_heard(now, self.control_heard.get(), leader);
    }

    /// Notes an answer of a peer: however late it is, its process runs.
    pub(crate) fn answered(&self, name: &id::Entry) {
        let now = self.now();
        self.peers.borrow_mut().answered(now, name);
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
    pub(crate) fn notify(
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
        let is_taken = matches!(tokio::time::timeout(TELL_TIME, call).await, Ok(Ok(())));
        if is_taken {
            self.answered(name);
        }
        is_taken
    }
}
