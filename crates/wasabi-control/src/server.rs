//! Start, run and stop of a member.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        mpsc::{self, TryRecvError},
    },
    thread,
    time::{Duration, Instant},
};

use jsonrpsee::server::{PingConfig, RegisterMethodError, Server, ServerConfig, ServerHandle};
use snafu::{ResultExt as _, Snafu};
use tokio::sync::{oneshot, watch};
use tracing::{error, warn};
use wasabi_protocol::rpc::MESSAGE_BYTES_MAX;

use crate::{
    bootstrap,
    input::Input,
    join,
    last_replies::SharedLastReplies,
    leader_client::LeaderClient,
    leader_tracker::LeaderTracker,
    link,
    link::Links,
    local_client::LocalClient,
    member::{self, Member},
    methods::{Shared, methods},
    options::{Contacts, Options},
    peers::Peers,
    seen_members::SeenMembers,
};

/// Most simultaneous connections of entries, members and operators.
const CONNECTIONS_MAX: u32 = 4_096;

/// Delay before a disk is retried after an I/O error.
const DISK_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Longest duration of a graceful stop: the control thread's own bound for a responsive disk, plus
/// 1 s.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);

/// Error that prevents the start of a member or ends it.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The address cannot be bound. Fix: correct `listen`, or stop the process that uses the
    /// address.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A method is registered twice.
    #[snafu(display("cannot register the methods: {source}"))]
    Methods {
        /// The cause.
        source: RegisterMethodError,
    },
    /// The data directory cannot be used.
    #[snafu(display("{source}"))]
    Directory {
        /// The cause.
        source: bootstrap::Error,
    },
    /// The control thread ended with an error.
    #[snafu(display("{source}"))]
    Member {
        /// The cause.
        source: member::Error,
    },
    /// The control thread panicked.
    #[snafu(display("the control thread panicked"))]
    Panicked,
    /// The control thread cannot be started.
    #[snafu(display("cannot start the control thread: {source}"))]
    Thread {
        /// The cause.
        source: std::io::Error,
    },
}

/// A running member.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    server: ServerHandle,
    inputs: mpsc::Sender<Input>,
    leader_client: LeaderClient,
    stopping: Option<Instant>,
    ended: oneshot::Receiver<Result<(), member::Error>>,
}

impl Running {
    /// Starts a member. Its connections are served by the runtime of the calling thread.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(options: Options) -> Result<Self, Error> {
        let config = ServerConfig::builder()
            .max_connections(CONNECTIONS_MAX)
            .max_request_body_size(MESSAGE_BYTES_MAX)
            .max_response_body_size(MESSAGE_BYTES_MAX)
            .enable_ws_ping(PingConfig::default())
            .build();
        let listen = options.listen;
        let server = Server::builder()
            .set_config(config)
            .build(listen)
            .await
            .context(ListenSnafu { address: listen })?;
        let address = server.local_addr().context(ListenSnafu { address: listen })?;
        let (inputs, receiver) = mpsc::channel();
        let seen_members = SeenMembers::open(&options.data)
            .context(bootstrap::FileSnafu { directory: &options.data })
            .context(DirectorySnafu)?;
        let seen_members = Arc::new(Mutex::new(seen_members));
        let (name_sender, name) = watch::channel(None);
        let callers = Contacts::default();
        let shared = Shared {
            inputs: inputs.clone(),
            seen_members: Arc::clone(&seen_members),
            name,
            proofs: options.proofs().into(),
            callers: callers.clone(),
            assembly: Arc::default(),
        };
        let server = server.start(methods(shared).context(MethodsSnafu)?);
        // Initial members of a new group wait here until all others have answered, so the server
        // already runs.
        let start = loop {
            match bootstrap::load(&options, &seen_members).await {
                Ok(start) => break start,
                // A full or stalled disk may recover, and no operator is expected to intervene.
                Err(error) if options.self_repair && error.is_io() => {
                    warn!(%error, "cannot use the data directory; retrying");
                    actix_rt::time::sleep(DISK_RETRY_DELAY).await;
                }
                Err(error) => return Err(error).context(DirectorySnafu),
            }
        };
        let _ = name_sender.send(Some(start.name.clone()));
        let (outbound, outbound_queue) = tokio::sync::mpsc::unbounded_channel();
        let own = options.members.iter().find(|(name, _)| *name == start.name);
        let own = own.map_or_else(|| address.to_string(), |(_, address)| address.clone());
        let last_replies = SharedLastReplies::start();
        let links = Links {
            name: start.name.clone(),
            own_address: own.clone(),
            proofs: options.proofs(),
            last_replies: last_replies.clone(),
            metrics: options.metrics.clone(),
        };
        actix_rt::spawn(link::run(links, outbound_queue));
        if !options.contacts.get().is_empty() {
            actix_rt::spawn(join::run(
                (start.name.clone(), own),
                options.clone(),
                callers,
                inputs.clone(),
            ));
        }
        let tracker = LeaderTracker::new(options.contacts.clone());
        let leader_client =
            LeaderClient::new(Some(LocalClient::new(inputs.clone())), tracker, &options);
        let (end, ended) = oneshot::channel();
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                let peers = Peers { seen_members, outbound, last_replies };
                let _ = end.send(run(&options, start, &peers, &receiver));
            })
            .context(ThreadSnafu)?;
        Ok(Self { address, server, inputs, leader_client, stopping: None, ended })
    }

    /// Returns the listen address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a client of the control thread for other parts of this process.
    pub fn local(&self) -> LocalClient {
        LocalClient::new(self.inputs.clone())
    }

    /// Returns a client of the leader for other servers of this process.
    pub fn leader_client(&self) -> LeaderClient {
        self.leader_client.clone()
    }

    /// Requests a graceful stop.
    pub fn stop(&mut self) {
        self.stopping.get_or_insert_with(Instant::now);
        let _ = self.inputs.send(Input::Stop);
    }

    /// Waits until the control thread has ended, or a graceful stop has timed out: a thread that is
    /// blocked on its disk must not keep the process from exiting. Like a crash, this loses no
    /// committed data.
    ///
    /// # Errors
    ///
    /// Returns the error that ended the control thread, unless a stop was requested.
    pub async fn ended(&mut self) -> Result<(), Error> {
        let end = match self.stopping {
            None => (&mut self.ended).await,
            Some(since) => {
                let left = STOP_TIMEOUT.saturating_sub(since.elapsed());
                match tokio::time::timeout(left, &mut self.ended).await {
                    Ok(end) => end,
                    Err(_) => {
                        warn!(
                            "the control thread is blocked on its disk; exiting without waiting for it"
                        );
                        Ok(Ok(()))
                    }
                }
            }
        };
        let _ = self.server.stop();
        match end {
            Ok(end) => end.context(MemberSnafu),
            Err(_) => PanickedSnafu.fail(),
        }
    }
}

/// Runs the member. With self-repair, the member reloads its state from disk after an I/O error,
/// like a restarted process, because its state in memory may differ from the disk.
fn run(
    options: &Options,
    mut start: bootstrap::InitialState,
    peers: &Peers,
    inputs: &mpsc::Receiver<Input>,
) -> Result<(), member::Error> {
    loop {
        let member = Member::new(options.clone(), start, peers.clone());
        match member.run(inputs) {
            Err(error @ member::Error::Disk { is_stopping: false, .. }) if options.self_repair => {
                error!(%error, "disk error; reloading the member's state from disk");
            }
            Err(error @ member::Error::Disk { is_stopping: true, .. }) if options.self_repair => {
                error!(%error, "disk error during a graceful stop; stopping");
                return Ok(());
            }
            end => return end,
        }
        start = loop {
            if !discard_inputs(inputs) {
                return Ok(());
            }
            thread::sleep(DISK_RETRY_DELAY);
            match bootstrap::reopen(options) {
                Ok(start) => break start,
                Err(error) => warn!(%error, "cannot use the data directory; retrying"),
            }
        };
    }
}

/// Discards pending inputs, whose senders are told that the outcome is unknown. Returns `false` if
/// the member has to stop: without a log there is no leadership to transfer.
fn discard_inputs(inputs: &mpsc::Receiver<Input>) -> bool {
    loop {
        match inputs.try_recv() {
            Ok(Input::Stop) | Err(TryRecvError::Disconnected) => return false,
            Ok(_) => {}
            Err(TryRecvError::Empty) => return true,
        }
    }
}
