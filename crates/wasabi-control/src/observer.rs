//! A control address on a host without a disk, which has no member and redirects to the leader.
//!
//! Processes may know only this address, so it names the leader to each caller. It finds the group
//! through its own contacts and through members that introduce themselves.

use std::sync::Arc;

use actix_rt::task::JoinHandle;
use jsonrpsee::{
    RpcModule,
    server::{Server, ServerConfig, ServerHandle},
    types::{ErrorObjectOwned, Params},
};
use snafu::ResultExt as _;
use wasabi_protocol::rpc::{
    CheckinReply, Join, Joined, LeaderInfo, MESSAGE_BYTES_MAX, Proposed, method,
};

use crate::{
    leader_client::LeaderClient,
    leader_tracker::LeaderTracker,
    options::Options,
    server::{Error, ListenSnafu, MethodsSnafu},
};

/// A running observer. Clones share it; it stops when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct Observer {
    tracker: LeaderTracker,
    leader_client: LeaderClient,
    _server: ServerHandle,
    _tracker_task: Arc<TrackerTask>,
}

impl Observer {
    /// Starts the server and the tracking of the group. Options that concern the log are ignored.
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
        let tracker = LeaderTracker::new(options.contacts.clone());
        let mut module = RpcModule::new(tracker.clone());
        module
            .register_method(method::JOIN, |params: Params<'_>, tracker, _| {
                let join: Join = params.one()?;
                let leader = tracker.leader_or_member();
                tracker.add(join.address, join.leader);
                Ok::<_, ErrorObjectOwned>(Joined::NotLeader { leader })
            })
            .context(MethodsSnafu)?;
        module
            .register_method(method::LEADER, |_, tracker, _| {
                Ok::<LeaderInfo, ErrorObjectOwned>(tracker.lead_answer())
            })
            .context(MethodsSnafu)?;
        module
            .register_method(method::CONTROL_HEARTBEAT, |_, tracker, _| {
                Ok::<_, ErrorObjectOwned>(CheckinReply::NotLeader {
                    leader: tracker.leader_or_member(),
                })
            })
            .context(MethodsSnafu)?;
        module
            .register_method(method::PROPOSE, |_, tracker, _| {
                Ok::<_, ErrorObjectOwned>(Proposed::NotLeader {
                    leader: tracker.leader_or_member(),
                })
            })
            .context(MethodsSnafu)?;
        let server = server.start(module);
        let task = actix_rt::spawn(tracker.clone().run());
        let leader_client = LeaderClient::new(None, tracker.clone(), options);
        Ok(Self {
            tracker,
            leader_client,
            _server: server,
            _tracker_task: Arc::new(TrackerTask(task)),
        })
    }

    /// Returns the address of the leader, or of a member that sent a message recently.
    pub fn member(&self) -> Option<String> {
        self.tracker.leader_or_member()
    }

    /// Returns a client of the leader for other servers of this process.
    pub fn leader_client(&self) -> LeaderClient {
        self.leader_client.clone()
    }
}

/// The task that tracks the group; it is aborted on drop.
#[derive(Debug)]
struct TrackerTask(JoinHandle<()>);

impl Drop for TrackerTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}
