//! A control address on a host without a disk: it knows who the members are and is none itself.
//!
//! Processes may be given such an address as the only one they know, so it names a member to each
//! caller. It learns of the members since they introduce themselves to every address that they were
//! given.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use jsonrpsee::{
    RpcModule,
    server::{Server, ServerConfig, ServerHandle},
    types::{ErrorObjectOwned, Params},
};
use snafu::ResultExt as _;
use wasabi_protocol::{
    clock::Clock,
    rpc::{Checked, Join, Joined, Proposed, method},
};

use crate::{
    introductions::Introductions,
    server::{Error, ListenSnafu, MethodsSnafu},
};

/// What the members said, with the clock that their introductions are timed by.
#[derive(Debug, Clone)]
struct Members {
    clock: Clock,
    known: Arc<Mutex<Introductions>>,
}

/// An observer that listens.
#[derive(Debug, Clone)]
pub struct Observer {
    members: Members,
    _server: ServerHandle,
}

impl Observer {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(listen: SocketAddr) -> Result<Self, Error> {
        let server = Server::builder()
            .set_config(ServerConfig::default())
            .build(listen)
            .await
            .context(ListenSnafu { address: listen })?;
        let members = Members { clock: Clock::start(), known: Arc::default() };
        let mut module = RpcModule::new(members.clone());
        module
            .register_method(method::JOIN, |params: Params<'_>, members, _| {
                let join: Join = params.one()?;
                let leader = members.named();
                members.lock().add(members.clock.now(), join.address, join.leader);
                Ok::<_, ErrorObjectOwned>(Joined::NotLeader { leader })
            })
            .context(MethodsSnafu)?;
        module
            .register_method(method::CONTROL_HEARTBEAT, |_, members, _| {
                Ok::<_, ErrorObjectOwned>(Checked::NotLeader { leader: members.named() })
            })
            .context(MethodsSnafu)?;
        module
            .register_method(method::PROPOSE, |_, members, _| {
                Ok::<_, ErrorObjectOwned>(Proposed::NotLeader { leader: members.named() })
            })
            .context(MethodsSnafu)?;
        Ok(Self { members, _server: server.start(module) })
    }

    /// Returns the address of the leader, or of a member that introduced itself lately.
    pub fn member(&self) -> Option<String> {
        self.members.named()
    }
}

impl Members {
    fn named(&self) -> Option<String> {
        self.lock().named(self.clock.now())
    }

    fn lock(&self) -> MutexGuard<'_, Introductions> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
