//! Calls from other parts of the same process, such as a server for an operator's own protocol.

use std::sync::mpsc;

use tokio::sync::oneshot;
use wasabi_protocol::{
    command::{Move, View},
    id,
    rpc::{MoveOrder, Proposed, Read},
    site,
};

use crate::input::Input;

/// A client of the control thread of this process.
#[derive(Debug, Clone)]
pub struct LocalClient {
    inputs: mpsc::Sender<Input>,
}

impl LocalClient {
    pub(crate) fn new(inputs: mpsc::Sender<Input>) -> Self {
        Self { inputs }
    }

    /// Applies a site configuration; answered once it is committed.
    pub async fn put_site(&self, document: site::Document) -> Proposed {
        let ask = |reply| Input::PutSite(Box::new(document), reply);
        self.ask(ask).await.unwrap_or(Proposed::Unknown)
    }

    /// Returns the site configuration in force.
    pub async fn site(&self) -> Read<Option<site::Document>> {
        self.ask(Input::Site).await.unwrap_or(Read::Elsewhere(None))
    }

    /// Starts a version move; answered once it is committed. Repeating an order has no further
    /// effect.
    pub async fn start_move(&self, order: MoveOrder) -> Proposed {
        let ask = |reply| Input::StartMove(order, reply);
        self.ask(ask).await.unwrap_or(Proposed::Unknown)
    }

    /// Returns the last move of a model or service.
    pub async fn last_move(&self, backend: id::Backend) -> Read<Option<Move>> {
        let ask = |reply| Input::LastMove(backend, reply);
        self.ask(ask).await.unwrap_or(Read::Elsewhere(None))
    }

    /// Returns the entries that this member knows; the view may be stale.
    pub async fn view(&self) -> View {
        self.ask(Input::View).await.unwrap_or_default()
    }

    /// Returns the addresses of the other members, starting with the likely leader.
    pub(crate) async fn addresses(&self) -> Vec<String> {
        self.ask(Input::Addresses).await.unwrap_or_default()
    }

    async fn ask<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> Input) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.inputs.send(input(reply)).ok()?;
        answer.await.ok()
    }
}
