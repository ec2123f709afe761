//! Links to peers, and one-way messages on them.

use std::{rc::Rc, sync::Arc, time::Duration};

use jsonrpsee::{
    core::{client::ClientT as _, params::ArrayParams},
    ws_client::WsClient,
};
use wasabi_protocol::{clock::Millis, id};

use crate::{control::client, peers::table::HostLocation, shell::Shell};

/// Timeout for a connection to a peer that a call waits for.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for the delivery of a one-way message to a peer.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(800);

impl Shell {
    /// Returns the link to a peer, opened if needed. Concurrent calls share one connection attempt.
    pub(crate) async fn link(&self, name: &id::Entry) -> Option<Arc<WsClient>> {
        if let Some(client) = self.peers.borrow().link(name) {
            return Some(client);
        }
        let lock = self.peers.borrow().connect_lock(name)?;
        let _guard = lock.lock().await;
        let (open, has_just_failed) = {
            let peers = self.peers.borrow();
            (peers.link(name), peers.failed_recently(self.now(), name))
        };
        if open.is_some() || has_just_failed {
            return open;
        }
        self.open_link(name, CONNECT_TIMEOUT).await
    }

    /// Opens a new connection to a peer. It becomes the link when there is none;
    /// [`Self::replace_link`] makes it replace a dead one.
    pub(crate) async fn open_link(
        &self,
        name: &id::Entry,
        timeout: Duration,
    ) -> Option<Arc<WsClient>> {
        let address = self.peers.borrow().address(name)?;
        let opened = client::open(&address, timeout).await;
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
            Err(error) => {
                peers.record_connect_failure(now, name, error);
                None
            }
        }
    }

    /// Makes a connection the link to a peer.
    pub(crate) fn replace_link(&self, name: &id::Entry, client: Arc<WsClient>) {
        self.peers.borrow_mut().set_link(name, client);
    }

    /// Records an answer of the control leader, which proves that this host's network works.
    pub(crate) fn record_control_answer(&self, now: Millis) {
        let leader = self.control.leader();
        let own = &self.shared.entry.peer_address;
        let leader = leader.map_or(HostLocation::Other, |leader| HostLocation::of(own, &leader));
        self.peers.borrow_mut().record_control_answer(now, self.answered_checkin.get(), leader);
    }

    /// Records an answer of a peer. Even a late one proves that its process runs.
    pub(crate) fn record_answer(&self, name: &id::Entry) {
        let now = self.now();
        self.peers.borrow_mut().record_answer(now, name);
    }

    /// Resolves when a peer is no longer live.
    pub(crate) async fn until_lost(&self, name: &id::Entry) {
        loop {
            let signal = self.peers.borrow().lost_signal(name);
            let Some(signal) = signal else { return };
            if !self.peers.borrow().is_live(self.now(), name) {
                return;
            }
            signal.notified().await;
        }
    }

    /// Sends a one-way message to a peer in the background.
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

    /// Calls a method of a peer that returns nothing; returns whether the peer acknowledged it.
    pub(crate) async fn call(&self, name: &id::Entry, method: &str, params: ArrayParams) -> bool {
        let Some(client) = self.link(name).await else { return false };
        let call = client.request::<(), _>(method, params);
        let is_delivered = matches!(tokio::time::timeout(NOTIFY_TIMEOUT, call).await, Ok(Ok(())));
        if is_delivered {
            self.record_answer(name);
        }
        is_delivered
    }
}
