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
    access::Access,
    answers::Answers,
    founding,
    guide::Guide,
    heard::Heard,
    input::Input,
    join, link,
    link::Links,
    local::Local,
    member::{self, Member},
    methods::{Shared, methods},
    options::{Contacts, Options},
    peers::Peers,
};

/// Most connections at one time: entries, members and operators.
const CONNECTIONS_MAX: u32 = 4_096;

/// Pause before a disk that refused a write is used again.
const DISK_AGAIN_AFTER: Duration = Duration::from_millis(300);

/// Longest time of a planned stop: what the control thread takes for it when its disk answers, and a
/// second.
const STOP_TIME: Duration = Duration::from_secs(4);

/// Why a member cannot start or had to end.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The address cannot be bound. Remedy: correct `listen`, or end the process that uses it.
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
    /// The data folder cannot be used.
    #[snafu(display("{source}"))]
    Folder {
        /// The cause.
        source: founding::Error,
    },
    /// The member had to end.
    #[snafu(display("{source}"))]
    Member {
        /// The cause.
        source: member::Error,
    },
    /// The control thread ended by a fault of its own.
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
    access: Access,
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
        let heard = Heard::open(&options.data)
            .context(founding::FileSnafu { folder: &options.data })
            .context(FolderSnafu)?;
        let heard = Arc::new(Mutex::new(heard));
        let (known, identity) = watch::channel(None);
        let callers = Contacts::default();
        let shared = Shared {
            inputs: inputs.clone(),
            heard: Arc::clone(&heard),
            name: identity,
            proofs: options.proofs().into(),
            callers: callers.clone(),
            assembly: Arc::default(),
        };
        let server = server.start(methods(shared).context(MethodsSnafu)?);
        // Founders answer each other's questions while each of them waits here.
        let start = loop {
            match founding::start(&options, &heard).await {
                Ok(start) => break start,
                // A disk that is full or stalled takes writes again; nobody else repairs it.
                Err(error) if options.self_repair && error.is_of_disk() => {
                    warn!(%error, "the folder cannot be used now; trying again");
                    actix_rt::time::sleep(DISK_AGAIN_AFTER).await;
                }
                Err(error) => return Err(error).context(FolderSnafu),
            }
        };
        let _ = known.send(Some(start.name.clone()));
        let (parcels, outgoing) = tokio::sync::mpsc::unbounded_channel();
        let own = options.members.iter().find(|(name, _)| *name == start.name);
        let own = own.map_or_else(|| address.to_string(), |(_, address)| address.clone());
        let answers = Answers::start();
        let links = Links {
            name: start.name.clone(),
            own_address: own.clone(),
            proofs: options.proofs(),
            answers: answers.clone(),
            metrics: options.metrics.clone(),
        };
        actix_rt::spawn(link::run(links, outgoing));
        if !options.contacts.get().is_empty() {
            actix_rt::spawn(join::run(
                (start.name.clone(), own),
                options.clone(),
                callers,
                inputs.clone(),
            ));
        }
        let guide = Guide::new(options.contacts.clone());
        let access = Access::new(Some(Local::new(inputs.clone())), guide, &options);
        let (end, ended) = oneshot::channel();
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                let peers = Peers { heard, parcels, answers };
                let _ = end.send(run(&options, start, &peers, &receiver));
            })
            .context(ThreadSnafu)?;
        Ok(Self { address, server, inputs, access, stopping: None, ended })
    }

    /// Returns the address that is listened on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the way to the control thread for other parts of this process.
    pub fn local(&self) -> Local {
        Local::new(self.inputs.clone())
    }

    /// Returns the way to the leader for other servers of this process.
    pub fn access(&self) -> Access {
        self.access.clone()
    }

    /// Starts a planned stop.
    pub fn stop(&mut self) {
        self.stopping.get_or_insert_with(Instant::now);
        let _ = self.inputs.send(Input::Stop);
    }

    /// Waits until the control thread has ended, or a planned stop has taken too long: a thread that
    /// waits for its disk must not keep the process from its end. Nothing is lost by that, as by a
    /// crash.
    ///
    /// # Errors
    ///
    /// Returns why the process must end, unless a stop was asked for.
    pub async fn ended(&mut self) -> Result<(), Error> {
        let end = match self.stopping {
            None => (&mut self.ended).await,
            Some(since) => {
                let left = STOP_TIME.saturating_sub(since.elapsed());
                match tokio::time::timeout(left, &mut self.ended).await {
                    Ok(end) => end,
                    Err(_) => {
                        warn!("the member waits for its disk; ending without it");
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

/// Runs the member. One that repairs itself starts anew from its disk after an error of the disk,
/// as a new process would: nothing in memory is trusted any more.
fn run(
    options: &Options,
    mut start: founding::Start,
    peers: &Peers,
    inputs: &mpsc::Receiver<Input>,
) -> Result<(), member::Error> {
    loop {
        let member = Member::new(options.clone(), start, peers.clone());
        match member.run(inputs) {
            Err(error @ member::Error::Disk { is_stopping: false, .. }) if options.self_repair => {
                error!(%error, "the member starts anew from its disk");
            }
            Err(error @ member::Error::Disk { is_stopping: true, .. }) if options.self_repair => {
                error!(%error, "the member stops without its disk");
                return Ok(());
            }
            end => return end,
        }
        start = loop {
            if !discard(inputs) {
                return Ok(());
            }
            thread::sleep(DISK_AGAIN_AFTER);
            match founding::reopen(options) {
                Ok(start) => break start,
                Err(error) => warn!(%error, "the folder cannot be used now; trying again"),
            }
        };
    }
}

/// Discards what waits, so that whoever sent it is answered that nothing is known. Returns whether
/// the member goes on: without a log there is nothing to hand over before a stop.
fn discard(inputs: &mpsc::Receiver<Input>) -> bool {
    loop {
        match inputs.try_recv() {
            Ok(Input::Stop) | Err(TryRecvError::Disconnected) => return false,
            Ok(_) => {}
            Err(TryRecvError::Empty) => return true,
        }
    }
}
