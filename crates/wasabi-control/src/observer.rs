//! A control address on a host without a disk: it knows who the members are and is none itself.
//!
//! Processes may be given such an address as the only one they know, so it names a member to each
//! caller. It learns of the members since they introduce themselves to every address that they were
//! given.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use jsonrpsee::{
    RpcModule,
    server::{Server, ServerConfig, ServerHandle},
    types::{ErrorObjectOwned, Params},
};
use snafu::ResultExt as _;
use wasabi_protocol::rpc::{Checked, Join, Joined, Proposed, method};

use crate::server::{Error, ListenSnafu, MethodsSnafu};

/// Time after which a member that did not introduce itself again is forgotten.
const FORGET: Duration = Duration::from_secs(10);

/// The addresses of the members, with the time of their last introduction.
type Members = Arc<Mutex<BTreeMap<String, Instant>>>;

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
        let members = Members::default();
        let mut module = RpcModule::new(Arc::clone(&members));
        module
            .register_method(method::JOIN, |params: Params<'_>, members, _| {
                let join: Join = params.one()?;
                let leader = any(members);
                lock(members).insert(join.address, Instant::now());
                Ok::<_, ErrorObjectOwned>(Joined::NotLeader { leader })
            })
            .context(MethodsSnafu)?;
        module
            .register_method(method::CONTROL_HEARTBEAT, |_, members, _| {
                Ok::<_, ErrorObjectOwned>(Checked::NotLeader { leader: any(members) })
            })
            .context(MethodsSnafu)?;
        module
            .register_method(method::PROPOSE, |_, members, _| {
                Ok::<_, ErrorObjectOwned>(Proposed::NotLeader { leader: any(members) })
            })
            .context(MethodsSnafu)?;
        Ok(Self { members, _server: server.start(module) })
    }

    /// Returns the address of a member, if any introduced itself lately.
    pub fn member(&self) -> Option<String> {
        any(&self.members)
    }
}

fn any(members: &Members) -> Option<String> {
    let mut members = lock(members);
    members.retain(|_, heard| heard.elapsed() < FORGET);
    let addresses: Vec<_> = members.keys().cloned().collect();
    drop(members);
    fastrand::choice(addresses)
}

fn lock(members: &Members) -> std::sync::MutexGuard<'_, BTreeMap<String, Instant>> {
    members.lock().unwrap_or_else(PoisonError::into_inner)
}
