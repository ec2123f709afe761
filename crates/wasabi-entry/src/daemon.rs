//! Starts and stops an entry.

use std::{
    fs, io,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    sync::{Arc, mpsc},
    thread::JoinHandle,
};

use prometheus_client::registry::Registry;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject as _};
use snafu::{ResultExt as _, Snafu};
use tokio::sync::oneshot;
use wasabi_protocol::{
    clock::unix_now,
    command::{Config, Duty, Entry, View},
    contract::Contract,
    id,
};
use wasabi_settings::{entry::Settings, tls::Tls};
use wasabi_telemetry::metrics;

use crate::{
    callers,
    control::{checkin, client::ControlClient},
    drain,
    forward::{self, dialect::Gateway},
    message::{Handle, Message},
    metrics::Metrics,
    peers,
    shared::{Mode, Shared},
    shell::Shell,
    timing::Timing,
};

/// Why an entry cannot start.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// An address cannot be bound. Remedy: correct it, or end the process that uses it.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The contracts file is invalid. Remedy: correct it as the message says.
    #[snafu(display("cannot read the contracts file {}: {message}", path.display()))]
    Contracts {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        message: String,
    },
    /// The certificate or key is invalid. Remedy: use PEM files that belong together.
    #[snafu(display("cannot use the TLS files: {message}"))]
    Tls {
        /// What is wrong.
        message: String,
    },
    /// A thread or server cannot be started.
    #[snafu(display("cannot start: {source}"))]
    Start {
        /// The cause.
        source: io::Error,
    },
}

/// A running entry, on its own threads.
#[derive(Debug)]
pub struct Daemon {
    callers: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
    handle: Handle,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

/// The bound listeners.
struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    gateway: Option<(Gateway, forward::server::Listeners)>,
}

impl Daemon {
    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Returns an error when an address, a file or a thread cannot be used.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        Self::start_with(settings, None)
    }

    /// Starts an entry that also forwards requests if a gateway is given.
    ///
    /// # Errors
    ///
    /// Returns an error when an address, a file or a thread cannot be used.
    pub fn start_with(settings: Settings, gateway: Option<Gateway>) -> Result<Self, Error> {
        let gateway = gateway.map(bind_gateway).transpose()?;
        let listeners = Listeners {
            callers: bind(*settings.listen.callers)?,
            peers: bind(*settings.listen.peers)?,
            gateway,
        };
        let front = listeners.gateway.as_ref().map(|(gateway, _)| gateway.front);
        let callers = listeners.callers.local_addr().context(StartSnafu)?;
        let peers = listeners.peers.local_addr().context(StartSnafu)?;
        let metrics_listener = bind(*settings.listen.metrics)?;
        let metrics = metrics_listener.local_addr().context(StartSnafu)?;
        let entry = Entry {
            name: settings.name.as_str().into(),
            caller_address: front.unwrap_or(callers).to_string(),
            peer_address: peers.to_string(),
            data_centre: settings.data_centre.as_str().into(),
            region: settings.region.as_str().into(),
            capacity: *settings.capacity,
            started: unix_now(),
            duty: Duty::Serving,
        };
        let stand_alone = stand_alone(&settings, &entry)?;
        let tls = settings.tls.as_ref().map(server_config).transpose()?;
        let mode = if stand_alone.is_some() { Mode::StandAlone } else { Mode::Controlled };
        let mut registry = Registry::default();
        let counters = Metrics::register(&mut registry);
        let directory_lifetime = listeners
            .gateway
            .as_ref()
            .map_or(*settings.callers.list_lifetime, |(gateway, _)| gateway.list_lifetime);
        let timing = Timing::new(&settings, directory_lifetime);
        let shared = Arc::new(Shared::new(entry, settings, timing, mode, counters));
        let for_daemon = Arc::clone(&shared);
        let (handle, messages) = Handle::channel();
        let (started, start) = mpsc::channel();
        let for_thread = handle.clone();
        let run = move || {
            actix_rt::System::new().block_on(async move {
                let serving = serve(shared, for_thread, messages, listeners, tls, stand_alone);
                let result = serving.and_then(|ended| {
                    metrics::serve(metrics_listener, Arc::new(registry))
                        .map(|server| (ended, server))
                });
                match result {
                    Ok((ended, server)) => {
                        drop(started.send(Ok(())));
                        drop(ended.await);
                        server.stop(false).await;
                        Ok(())
                    }
                    Err(error) => {
                        drop(started.send(Err(io::Error::new(error.kind(), error.to_string()))));
                        Err(error)
                    }
                }
            })
        };
        let thread =
            std::thread::Builder::new().name("control".into()).spawn(run).context(StartSnafu)?;
        match start.recv() {
            Ok(Ok(())) => {}
            Ok(Err(source)) => return Err(Error::Start { source }),
            Err(_) => {
                let source = io::Error::other("the control thread ended during its start");
                return Err(Error::Start { source });
            }
        }
        Ok(Self { callers, peers, metrics, handle, shared: for_daemon, thread: Some(thread) })
    }

    /// Returns the address for callers and endpoints.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address for peers.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Returns the address of the metrics.
    pub fn metrics(&self) -> SocketAddr {
        self.metrics
    }

    /// Returns the time bounds in force.
    pub fn timing(&self) -> Timing {
        self.shared.timing()
    }

    /// Sets the time bounds. They do not change a drain that has started.
    pub fn set_timing(&self, timing: Timing) {
        self.shared.set_timing(timing);
    }

    /// Starts to drain. Further calls have no effect.
    pub fn drain(&self) {
        self.handle.send(Message::Drain);
    }

    /// Stops at once: open requests are aborted, and nobody is notified.
    pub fn kill(mut self) {
        self.handle.send(Message::Kill);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            tracing::error!("the control thread panicked");
        }
    }

    /// Returns whether the entry has ended.
    pub fn is_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Waits until the entry has ended, as it does once it has drained.
    ///
    /// # Errors
    ///
    /// Returns the error that ended it.
    pub fn join(mut self) -> io::Result<()> {
        let Some(thread) = self.thread.take() else { return Ok(()) };
        thread.join().unwrap_or_else(|_| Err(io::Error::other("the control thread panicked")))
    }
}

fn serve(
    shared: Arc<Shared>,
    handle: Handle,
    messages: tokio::sync::mpsc::UnboundedReceiver<Message>,
    listeners: Listeners,
    tls: Option<rustls::ServerConfig>,
    stand_alone: Option<Config>,
) -> io::Result<oneshot::Receiver<()>> {
    let server = callers::server::start(listeners.callers, &shared, &handle, tls)?;
    let peers = peers::server::start(listeners.peers, &handle)?;
    let (end, ended) = oneshot::channel();
    let members: Vec<_> = shared.settings.control.iter().map(|address| **address).collect();
    let mut servers = vec![server];
    if let Some((gateway, bound)) = listeners.gateway {
        servers.push(forward::server::start(bound, &gateway, &shared, &handle)?);
    }
    let shutdown = drain::Shutdown { servers, ended: end };
    let shell = Shell::new(shared, ControlClient::new(&members), shutdown);
    if let Some(config) = stand_alone {
        shell.apply(&config);
        shell.shared.extend_serving(shell.now());
    } else {
        actix_rt::spawn(checkin::run(std::rc::Rc::clone(&shell)));
        actix_rt::spawn(peers::heartbeat::run(std::rc::Rc::clone(&shell)));
    }
    actix_rt::spawn(async move {
        // The server for peers stops when its handle is dropped.
        let _peers = peers;
        shell.run(messages).await;
    });
    Ok(ended)
}

fn bind_gateway(gateway: Gateway) -> Result<(Gateway, forward::server::Listeners), Error> {
    let listeners = forward::server::Listeners {
        front: bind(gateway.front)?,
        ready: bind(gateway.ready)?,
        directory: bind(gateway.directory)?,
    };
    Ok((gateway, listeners))
}

fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).context(ListenSnafu { address })
}

/// Returns the fixed configuration of stand-alone mode, if the settings ask for it.
fn stand_alone(settings: &Settings, entry: &Entry) -> Result<Option<Config>, Error> {
    let Some(path) = &settings.contracts else { return Ok(None) };
    let fail = |message: String| Error::Contracts { path: path.clone(), message };
    let text = fs::read_to_string(path).map_err(|error| fail(error.to_string()))?;
    let contracts: Vec<Contract> =
        serde_saphyr::from_str(&text).map_err(|error| fail(error.to_string()))?;
    let problems: Vec<_> = contracts
        .iter()
        .flat_map(|contract| {
            let name = &contract.organisation;
            contract
                .problems()
                .into_iter()
                .map(move |problem| format!("{name}: {}: {}", problem.field, problem.message))
        })
        .collect();
    if !problems.is_empty() {
        return Err(fail(problems.join("; ")));
    }
    Ok(Some(Config {
        revision: id::Revision(1),
        view: View { number: id::View(1), entries: vec![entry.clone()] },
        contracts,
        ..Config::default()
    }))
}

fn server_config(tls: &Tls) -> Result<rustls::ServerConfig, Error> {
    let fail = |message: String| Error::Tls { message };
    let certificates = CertificateDer::pem_file_iter(&tls.certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| fail(format!("{}: {error}", tls.certificate.display())))?;
    let key = PrivateKeyDer::from_pem_file(&tls.key)
        .map_err(|error| fail(format!("{}: {error}", tls.key.display())))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| fail(error.to_string()))?
        .with_no_client_auth()
        .with_single_cert(certificates, key)
        .map_err(|error| fail(error.to_string()))
}
