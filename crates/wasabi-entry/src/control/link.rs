//! Connections to the control members, and the search for the leader.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use jsonrpsee::{
    core::client::ClientT as _,
    rpc_params,
    ws_client::{WsClient, WsClientBuilder},
};
use tokio::net::TcpStream;
use wasabi_protocol::{
    command::Command,
    rpc::{Checked, Checkin, MESSAGE_BYTES_MAX, Propose, Proposed, method},
};

/// Longest time for a connection to a member.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Longest time for the answer to a check-in. It leaves room for a second one within the 2 s
/// after which the entry stops serving.
const CHECKIN_TIME: Duration = Duration::from_millis(700);

/// Longest time for the answer to a proposal.
const PROPOSE_TIME: Duration = Duration::from_millis(1_500);

/// Members asked for one call, hints of a leader included.
const ASKED_MAX: usize = 8;

/// Proposals that wait for their answers at one time.
const CALLS_MAX: usize = 16_384;

/// The control members and the open connections to them.
#[derive(Debug, Default)]
pub(crate) struct Link {
    /// The members of the settings.
    members: Vec<String>,
    /// The members that the leader named last.
    learned: RefCell<Vec<String>>,
    clients: RefCell<HashMap<String, Arc<WsClient>>>,
    leader: RefCell<Option<String>>,
}

impl Link {
    /// Returns a link to these members, without any connection yet.
    pub(crate) fn new(members: &[SocketAddr]) -> Self {
        let members = members.iter().map(ToString::to_string).collect();
        Self { members, ..Self::default() }
    }

    /// Takes over the addresses of the members in force.
    pub(crate) fn learn(&self, members: Vec<String>) {
        *self.learned.borrow_mut() = members;
    }

    /// Checks in with the leader and returns its answer.
    pub(crate) async fn check_in(&self, checkin: &Checkin) -> Option<Checked> {
        let mut asked = Vec::new();
        while let Some(member) = self.next(&asked) {
            asked.push(member.clone());
            let Some(client) = self.client(&member).await else { continue };
            let call =
                client.request::<Checked, _>(method::CONTROL_HEARTBEAT, rpc_params![checkin]);
            match tokio::time::timeout(CHECKIN_TIME, call).await {
                Ok(Ok(Checked::NotLeader { leader })) => self.point(leader),
                Ok(Ok(checked)) => {
                    self.point(Some(member));
                    return Some(checked);
                }
                Ok(Err(error)) => self.drop_client(&member, &error.to_string()),
                Err(_) => self.drop_client(&member, "no answer in time"),
            }
        }
        None
    }

    /// Proposes a command. Returns none when no leader was found, so nothing was proposed.
    pub(crate) async fn propose(&self, command: Command) -> Option<Proposed> {
        let propose = Propose { command };
        let mut asked = Vec::new();
        while let Some(member) = self.next(&asked) {
            asked.push(member.clone());
            let Some(client) = self.client(&member).await else { continue };
            let call = client.request::<Proposed, _>(method::PROPOSE, rpc_params![&propose]);
            match tokio::time::timeout(PROPOSE_TIME, call).await {
                Ok(Ok(Proposed::NotLeader { leader })) => self.point(leader),
                Ok(Ok(proposed)) => {
                    self.point(Some(member));
                    return Some(proposed);
                }
                Ok(Err(error)) => {
                    self.drop_client(&member, &error.to_string());
                    return Some(Proposed::Unknown);
                }
                Err(_) => {
                    self.drop_client(&member, "no answer in time");
                    return Some(Proposed::Unknown);
                }
            }
        }
        None
    }

    /// Returns the members that the leader named last, or else those of the settings.
    pub(crate) fn members(&self) -> Vec<String> {
        let learned = self.learned.borrow();
        if learned.is_empty() { self.members.clone() } else { learned.clone() }
    }

    /// Returns the address of the member that answered as the leader last.
    pub(crate) fn leader(&self) -> Option<String> {
        self.leader.borrow().clone()
    }

    /// Returns the member to ask next: the likely leader first, then each other one once.
    fn next(&self, asked: &[String]) -> Option<String> {
        if ASKED_MAX <= asked.len() {
            return None;
        }
        let leader = self.leader.borrow().clone();
        let learned = self.learned.borrow();
        let candidates = leader.iter().chain(learned.iter()).chain(&self.members);
        candidates.into_iter().find(|member| !asked.contains(member)).cloned()
    }

    fn point(&self, leader: Option<String>) {
        *self.leader.borrow_mut() = leader;
    }

    fn drop_client(&self, member: &str, reason: &str) {
        tracing::debug!(%member, %reason, "connection to control is dropped");
        self.clients.borrow_mut().remove(member);
        let mut leader = self.leader.borrow_mut();
        if leader.as_deref() == Some(member) {
            *leader = None;
        }
    }

    async fn client(&self, member: &str) -> Option<Arc<WsClient>> {
        let open = self.clients.borrow().get(member).cloned();
        if let Some(client) = open.filter(|client| client.is_connected()) {
            return Some(client);
        }
        let client = Arc::new(connect(member, CONNECT_TIME).await?);
        self.clients.borrow_mut().insert(member.to_owned(), Arc::clone(&client));
        Some(client)
    }
}

/// Why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Unreached {
    /// Nothing listens at the address.
    Refused,
    /// It did not answer in time, or not as it should.
    Silent,
}

/// Opens a connection for JSON-RPC, or returns none when that fails.
pub(crate) async fn connect(address: &str, time: Duration) -> Option<WsClient> {
    open(address, time).await.ok()
}

/// Opens a connection for JSON-RPC.
///
/// # Errors
///
/// Returns why that failed.
pub(crate) async fn open(address: &str, time: Duration) -> Result<WsClient, Unreached> {
    let builder = WsClientBuilder::default()
        .connection_timeout(time)
        .max_concurrent_requests(CALLS_MAX)
        .max_request_size(MESSAGE_BYTES_MAX)
        .max_response_size(MESSAGE_BYTES_MAX)
        // Each call has a bound of its own; this one only has to be longer than all of them.
        .request_timeout(Duration::from_secs(24 * 60 * 60))
        .set_tcp_no_delay(true);
    let opening = async {
        let stream = TcpStream::connect(address).await.map_err(|error| {
            tracing::debug!(%address, %error, "no connection");
            match error.kind() {
                io::ErrorKind::ConnectionRefused => Unreached::Refused,
                _ => Unreached::Silent,
            }
        })?;
        // The builder sets this only on connections that it opens itself.
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%address, %error, "small messages may wait for larger ones");
        }
        builder.build_with_stream(format!("ws://{address}"), stream).await.map_err(|error| {
            tracing::debug!(%address, %error, "no connection");
            Unreached::Silent
        })
    };
    tokio::time::timeout(time, opening).await.unwrap_or(Err(Unreached::Silent))
}
