//! Client of the control group: connections to its members, and the search for the leader.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt as _, stream::FuturesUnordered};
use jsonrpsee::{
    core::client::ClientT as _,
    rpc_params,
    ws_client::{WsClient, WsClientBuilder},
};
use tokio::{net::TcpStream, sync::Mutex};
use wasabi_protocol::{
    command::Command,
    rpc::{Checkin, CheckinReply, MESSAGE_BYTES_MAX, Propose, Proposed, method},
};

use crate::shared::SERVING_DURATION;

/// Time after which an answer is late. Another member is then called beside the one that is late,
/// whose answer still counts: it proves that the leader heard this entry when it was asked.
const LATE_AFTER: Duration = Duration::from_millis(700);

/// Time after which a check-in ends without an answer. A later one would not extend the serving time.
const CHECKIN_TIMEOUT: Duration = Duration::from_millis(SERVING_DURATION.0);

/// Timeout for the answer to a proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout for a connection on which a proposal is sent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of members called for one check-in or proposal, redirects included.
const MEMBERS_CALLED_MAX: usize = 8;

/// Maximum number of concurrent calls on a connection.
const CONCURRENT_CALLS_MAX: usize = 16_384;

/// The control members and the open connections to them.
#[derive(Debug, Default)]
pub(crate) struct ControlClient {
    /// The members from the settings.
    members: Vec<String>,
    /// The members that the leader last announced.
    announced: RefCell<Vec<String>>,
    connections: RefCell<HashMap<String, Rc<Connection>>>,
    /// Locks under which a connection to a member is opened, so that concurrent calls share it.
    connecting: RefCell<HashMap<String, Rc<Mutex<()>>>>,
    leader: RefCell<Option<String>>,
    /// The members whose last answer was late or did not come.
    late: RefCell<HashSet<String>>,
    second_connection: RefCell<Backoff>,
}

/// An open connection to a member.
#[derive(Debug)]
struct Connection {
    client: WsClient,
    /// When the last answer arrived on it.
    answered: Cell<Instant>,
}

/// How a check-in reaches a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// On the open connection, which is opened if there is none.
    Shared,
    /// On a new connection beside the open one, which it replaces once it is answered.
    Beside,
}

impl ControlClient {
    /// Returns a client of these members that has no connections yet.
    pub(crate) fn new(members: &[SocketAddr]) -> Self {
        let members = members.iter().map(ToString::to_string).collect();
        Self { members, ..Self::default() }
    }

    /// Sets the addresses of the members in force.
    pub(crate) fn set_members(&self, members: Vec<String>) {
        *self.announced.borrow_mut() = members;
    }

    /// Checks in with the leader and returns its answer.
    ///
    /// The presumed leader is called first, and other members when its answer is no or late. Calls
    /// that are late go on, and the first answer of a leader counts.
    pub(crate) async fn check_in(&self, checkin: &Checkin) -> Option<CheckinReply> {
        let asked = Instant::now();
        let checking_in = self.check_in_at_any(checkin);
        let Ok(checked) = tokio::time::timeout(CHECKIN_TIMEOUT, checking_in).await else {
            self.drop_silent_connections(asked);
            return None;
        };
        checked
    }

    async fn check_in_at_any(&self, checkin: &Checkin) -> Option<CheckinReply> {
        let asked = Instant::now();
        let (mut called, mut answered) = (Vec::new(), Vec::new());
        let mut calls = FuturesUnordered::new();
        let mut calls_wanted = if self.is_leader_late() { 2 } else { 1 };
        loop {
            while 0 < calls_wanted
                && let Some(member) = self.next_member(&called)
            {
                called.push(member.clone());
                calls.push(self.check_in_at(member, checkin, Way::Shared));
                calls_wanted -= 1;
            }
            if calls.is_empty() {
                return None;
            }
            calls_wanted = 1;
            let Ok(next) = tokio::time::timeout(LATE_AFTER, calls.next()).await else {
                self.late.borrow_mut().extend(self.leader());
                if let Some(leader) = self.silent_leader(asked) {
                    calls.push(self.check_in_at(leader, checkin, Way::Beside));
                }
                continue;
            };
            match next {
                Some((member, Some(CheckinReply::NotLeader { leader }))) => {
                    answered.push(member);
                    // A leader that has not answered yet is only late, as far as this member knows.
                    let is_awaited = |leader| called.contains(leader) && !answered.contains(leader);
                    if leader.as_ref().is_some_and(is_awaited) {
                        calls_wanted = 0;
                    }
                    self.set_leader(leader);
                }
                Some((member, Some(checked))) => {
                    if asked.elapsed() < LATE_AFTER {
                        self.second_connection.borrow_mut().reset();
                    }
                    self.set_leader(Some(member));
                    return Some(checked);
                }
                Some((member, None)) => answered.push(member),
                None => {}
            }
        }
    }

    /// Checks in with one member. Returns it with its answer, if there is one.
    async fn check_in_at(
        &self,
        member: String,
        checkin: &Checkin,
        way: Way,
    ) -> (String, Option<CheckinReply>) {
        let connection = match way {
            Way::Shared => self.connection(&member, CHECKIN_TIMEOUT).await,
            Way::Beside => Connection::open(&member, CHECKIN_TIMEOUT).await.map(Rc::new),
        };
        let Some(connection) = connection else {
            self.late.borrow_mut().insert(member.clone());
            return (member, None);
        };
        let asked = Instant::now();
        let call = connection.client.request(method::CONTROL_HEARTBEAT, rpc_params![checkin]);
        let answer: Result<CheckinReply, _> = call.await;
        let answer = match answer {
            Ok(answer) => {
                self.record_answer(&member, &connection, asked);
                Some(answer)
            }
            Err(error) => {
                self.drop_connection(&member, &connection, &error.to_string());
                None
            }
        };
        (member, answer)
    }

    /// Proposes a command. Returns none when no leader was found, so that nothing was proposed.
    pub(crate) async fn propose(&self, command: Command) -> Option<Proposed> {
        let propose = Propose { command };
        let mut called = Vec::new();
        while let Some(member) = self.next_member(&called) {
            called.push(member.clone());
            let connecting = self.connection(&member, CONNECT_TIMEOUT);
            let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connecting);
            let Some(connection) = connecting.await.ok().flatten() else { continue };
            let asked = Instant::now();
            let call =
                connection.client.request::<Proposed, _>(method::PROPOSE, rpc_params![&propose]);
            match tokio::time::timeout(PROPOSE_TIMEOUT, call).await {
                Ok(Ok(Proposed::NotLeader { leader })) => self.set_leader(leader),
                Ok(Ok(proposed)) => {
                    self.record_answer(&member, &connection, asked);
                    self.set_leader(Some(member));
                    return Some(proposed);
                }
                Ok(Err(error)) => {
                    self.drop_connection(&member, &connection, &error.to_string());
                    return Some(Proposed::Unknown);
                }
                Err(_) => {
                    if connection.answered.get() < asked {
                        self.drop_connection(&member, &connection, "no answer in time");
                    }
                    return Some(Proposed::Unknown);
                }
            }
        }
        None
    }

    /// Returns the members that the leader last announced, or else those from the settings.
    pub(crate) fn members(&self) -> Vec<String> {
        let announced = self.announced.borrow();
        if announced.is_empty() { self.members.clone() } else { announced.clone() }
    }

    /// Returns the address of the member that last answered as the leader.
    pub(crate) fn leader(&self) -> Option<String> {
        self.leader.borrow().clone()
    }

    /// Returns the member to call next: the presumed leader first, then each other member once. Those
    /// whose last answer was late come last.
    fn next_member(&self, called: &[String]) -> Option<String> {
        if MEMBERS_CALLED_MAX <= called.len() {
            return None;
        }
        let (leader, late) = (self.leader.borrow(), self.late.borrow());
        let announced = self.announced.borrow();
        let others = announced.iter().chain(&self.members);
        let (late, prompt): (Vec<_>, Vec<_>) = others.partition(|member| late.contains(*member));
        let mut candidates = leader.iter().chain(prompt).chain(late);
        candidates.find(|member| !called.contains(member)).cloned()
    }

    fn set_leader(&self, leader: Option<String>) {
        *self.leader.borrow_mut() = leader;
    }

    fn is_leader_late(&self) -> bool {
        self.leader().is_some_and(|leader| self.late.borrow().contains(&leader))
    }

    /// Returns the presumed leader when nothing was answered on the connection to it since `asked`,
    /// and another connection may be opened: this one may be silent for good.
    fn silent_leader(&self, asked: Instant) -> Option<String> {
        let leader = self.leader()?;
        let answered = self.connections.borrow().get(&leader)?.answered.get();
        let is_due = answered < asked && self.second_connection.borrow_mut().begin(Instant::now());
        is_due.then_some(leader)
    }

    /// Records an answer to a question asked at `asked`. The connection becomes the one that calls
    /// share.
    fn record_answer(&self, member: &str, connection: &Rc<Connection>, asked: Instant) {
        let now = Instant::now();
        connection.answered.set(now);
        if now.duration_since(asked) < LATE_AFTER {
            self.late.borrow_mut().remove(member);
        }
        self.connections.borrow_mut().insert(member.to_owned(), Rc::clone(connection));
    }

    fn drop_connection(&self, member: &str, dropped: &Rc<Connection>, reason: &str) {
        tracing::info!(%member, %reason, "dropping connection to control member");
        let mut connections = self.connections.borrow_mut();
        if connections.get(member).is_some_and(|open| Rc::ptr_eq(open, dropped)) {
            connections.remove(member);
        }
        let mut leader = self.leader.borrow_mut();
        if leader.as_deref() == Some(member) {
            *leader = None;
        }
    }

    /// Drops the connections on which nothing was answered since `asked`.
    fn drop_silent_connections(&self, asked: Instant) {
        self.connections.borrow_mut().retain(|member, connection| {
            let has_answered = asked <= connection.answered.get();
            if !has_answered {
                tracing::info!(%member, "dropping a silent connection to control member");
            }
            has_answered
        });
    }

    /// Returns the connection to a member, opened if needed. Concurrent calls share one attempt.
    async fn connection(&self, member: &str, timeout: Duration) -> Option<Rc<Connection>> {
        if let Some(open) = self.open_connection(member) {
            return Some(open);
        }
        let lock = Rc::clone(self.connecting.borrow_mut().entry(member.to_owned()).or_default());
        let _guard = lock.lock().await;
        if let Some(open) = self.open_connection(member) {
            return Some(open);
        }
        let connection = Rc::new(Connection::open(member, timeout).await?);
        self.connections.borrow_mut().insert(member.to_owned(), Rc::clone(&connection));
        Some(connection)
    }

    fn open_connection(&self, member: &str) -> Option<Rc<Connection>> {
        let open = self.connections.borrow().get(member).cloned();
        open.filter(|connection| connection.client.is_connected())
    }
}

impl Connection {
    async fn open(member: &str, timeout: Duration) -> Option<Self> {
        let client = connect(member, timeout).await?;
        Some(Self { client, answered: Cell::new(Instant::now()) })
    }
}

/// Shortest pause between two connections that are opened beside a silent one.
const SECOND_CONNECTION_PAUSE_MIN: Duration = Duration::from_millis(1_000);

/// Longest pause between them.
const SECOND_CONNECTION_PAUSE_MAX: Duration = Duration::from_millis(4_000);

/// Pauses between attempts, which double until they are reset. All entries open connections to a
/// leader that is late, and it must not become later by that.
#[derive(Debug, Default)]
struct Backoff {
    /// The last attempt and the pause after it.
    last: Option<(Instant, Duration)>,
}

impl Backoff {
    /// Begins an attempt, unless the pause after the last one has not passed.
    fn begin(&mut self, now: Instant) -> bool {
        let pause = match self.last {
            None => SECOND_CONNECTION_PAUSE_MIN,
            Some((began, pause)) if now < began + pause => return false,
            Some((_, pause)) => (2 * pause).min(SECOND_CONNECTION_PAUSE_MAX),
        };
        self.last = Some((now, pause));
        true
    }

    fn reset(&mut self) {
        self.last = None;
    }
}

/// Why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// Nothing listens at the address.
    Refused,
    /// The peer did not answer in time, or the handshake failed.
    Failed,
}

/// Opens a JSON-RPC connection, or returns none when that fails.
pub(crate) async fn connect(address: &str, timeout: Duration) -> Option<WsClient> {
    open(address, timeout).await.ok()
}

/// Opens a JSON-RPC connection.
///
/// # Errors
///
/// Returns why the connection could not be opened.
pub(crate) async fn open(address: &str, timeout: Duration) -> Result<WsClient, ConnectError> {
    let builder = WsClientBuilder::default()
        .connection_timeout(timeout)
        .max_concurrent_requests(CONCURRENT_CALLS_MAX)
        .max_request_size(MESSAGE_BYTES_MAX)
        .max_response_size(MESSAGE_BYTES_MAX)
        // Each call has its own timeout; this one must only be longer than all of them.
        .request_timeout(Duration::from_secs(24 * 60 * 60))
        .set_tcp_no_delay(true);
    let opening = async {
        let stream = TcpStream::connect(address).await.map_err(|error| {
            tracing::debug!(%address, %error, "connection failed");
            match error.kind() {
                io::ErrorKind::ConnectionRefused => ConnectError::Refused,
                _ => ConnectError::Failed,
            }
        })?;
        // The builder sets this only on connections that it opens itself.
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%address, %error, "cannot set TCP_NODELAY; small messages may be delayed");
        }
        builder.build_with_stream(format!("ws://{address}"), stream).await.map_err(|error| {
            tracing::debug!(%address, %error, "WebSocket handshake failed");
            ConnectError::Failed
        })
    };
    tokio::time::timeout(timeout, opening).await.unwrap_or(Err(ConnectError::Failed))
}
