//! A control address on a host without a disk: it knows who the members are and is none itself.
//!
//! Processes may be given such an address as the only one they know, so it names the leader to each
//! caller. It follows the group by its own contacts, and also learns of members that introduce
//! themselves.

use std::sync::Arc;

use actix_rt::task::JoinHandle;
use jsonrpsee::{
    RpcModule,
    server::{Server, ServerConfig, ServerHandle},
    types::{ErrorObjectOwned, Params},
};
use snafu::ResultExt as _;
use wasabi_protocol::rpc::{Checked, Join, Joined, Lead, MESSAGE_BYTES_MAX, Proposed, method};

use crate::{
    access::Access,
    guide::Guide,
    options::Options,
    server::{Error, ListenSnafu, MethodsSnafu},
};

/// An observer that listens. Clones share it; it ends with the last of them.
#[derive(Debug, Clone)]
pub struct Observer {
    guide: Guide,
    access: Access,
    _server: ServerHandle,
    _following: Arc<Following>,
}

impl Observer {
    /// Starts to listen, and to follow the group of the contacts. Of the options, those of the log
    /// are not used.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(options: &Options) -> Result<Self, Error> {
        let listen = options.listen;
        let config = ServerConfig::builder().max_request_body_size(MESSAGE_BYTES_MAX).build();
        let server = Server::builder()
            .set_config(config)
            .build(listen)
            .await
            .context(ListenSnafu { address: listen })?;
        let guide = Guide::new(options.contacts.clone());
        let mut module = RpcModule::new(guide.clone());
        module
            .register_method(method::JOIN, |params: Params<'_>, guide, _| {
                let join: Join = params.one()?;
                let leader = guide.named();
                guide.add(join.address, join.leader);
                Ok::<_, ErrorObjectOwned>(Joined::NotLeader { leader })
            })
            .context(MethodsSnafu)?;
        module
            .register_method(method::LEADER, |_, guide, _| {
                Ok::<Lead, ErrorObjectOwned>(guide.lead())
            })
            .context(MethodsSnafu)?;
        module
            .register_method(method::CONTROL_HEARTBEAT, |_, guide, _| {
                Ok::<_, ErrorObjectOwned>(Checked::NotLeader { leader: guide.named() })
            })
            .context(MethodsSnafu)?;
        module
            .register_method(method::PROPOSE, |_, guide, _| {
                Ok::<_, ErrorObjectOwned>(Proposed::NotLeader { leader: guide.named() })
            })
            .context(MethodsSnafu)?;
        let server = server.start(module);
        let following = actix_rt::spawn(guide.clone().follow());
        let access = Access::new(None, guide.clone(), options);
        Ok(Self { guide, access, _server: server, _following: Arc::new(Following(following)) })
    }

    /// Returns the address of the leader, or of a member that was heard lately.
    pub fn member(&self) -> Option<String> {
        self.guide.named()
    }

    /// Returns the way to the leader for other servers of this process.
    pub fn access(&self) -> Access {
        self.access.clone()
    }
}

/// The task that follows the group; it ends when this is dropped.
#[derive(Debug)]
struct Following(JoinHandle<()>);

impl Drop for Following {
    fn drop(&mut self) {
        self.0.abort();
    }
}
