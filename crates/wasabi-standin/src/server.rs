//! Start and shutdown of a stand-in, and the state that its connections share.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc,
    },
    thread::JoinHandle,
};

use actix_http::HttpService;
use actix_server::{Server, ServerHandle};
use actix_service::fn_service;
use wasabi_protocol::clock;

use crate::{
    announce,
    counts::{Counters, Counts},
    handle,
    settings::{Faults, Settings},
};

/// Callback that stops the stand-in immediately, as a crash would.
pub type Crash = Arc<dyn Fn() + Send + Sync>;

/// Number of threads that serve requests.
const WORKER_THREADS: usize = 2;

/// State shared by the connections of a stand-in.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) incarnation: u64,
    pub(crate) counters: Arc<Counters>,
    pub(crate) crash: Crash,
    pub(crate) received: AtomicU64,
    faults: Mutex<Faults>,
    entries: RwLock<Vec<String>>,
    is_announcing: AtomicBool,
}

impl Shared {
    /// Returns the fault modes for the next request and counts the request against their limit.
    pub(crate) fn next_faults(&self) -> Faults {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let current = faults.clone();
        if current.requests == 1 {
            *faults = Faults::default();
        } else if current.requests != 0 {
            faults.requests -= 1;
        }
        current
    }

    /// Sets the fault modes.
    pub(crate) fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Returns the addresses of the entries to announce to.
    pub(crate) fn entries(&self) -> Vec<String> {
        self.entries.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns whether the stand-in still announces itself.
    pub(crate) fn is_announcing(&self) -> bool {
        self.is_announcing.load(Ordering::Acquire)
    }

    /// Stops announcing.
    pub(crate) fn stop_announcing(&self) {
        self.is_announcing.store(false, Ordering::Release);
    }

    /// Returns the number of open requests.
    pub(crate) fn open_requests(&self) -> u32 {
        let counts = self.counters.snapshot();
        let ended = counts.finished + counts.dropped;
        u32::try_from(counts.requests.saturating_sub(ended)).unwrap_or(u32::MAX)
    }
}

/// A running stand-in, which serves requests on its own threads.
pub struct Standin {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: ServerHandle,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Standin {
    /// Starts a stand-in. A simulated crash stops its server and its announcements.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound or the thread cannot be started.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let server: Arc<Mutex<Option<ServerHandle>>> = Arc::default();
        let server_to_stop = Arc::clone(&server);
        let crash: Crash = Arc::new(move || {
            let handle = server_to_stop.lock().unwrap_or_else(PoisonError::into_inner).clone();
            if let Some(handle) = handle {
                actix_rt::spawn(handle.stop(false));
            }
        });
        let standin = Self::start_with_crash(settings, crash)?;
        *server.lock().unwrap_or_else(PoisonError::into_inner) = Some(standin.server.clone());
        Ok(standin)
    }

    /// Starts a stand-in that calls `crash` for a request that is set to crash it.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound or the thread cannot be started.
    pub fn start_with_crash(settings: Settings, crash: Crash) -> io::Result<Self> {
        let listener = TcpListener::bind(&settings.listen)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            incarnation: clock::unix_now().0,
            counters: Arc::default(),
            crash,
            received: AtomicU64::new(0),
            faults: Mutex::new(settings.faults.clone()),
            entries: RwLock::new(settings.entries.clone()),
            is_announcing: AtomicBool::new(true),
            settings,
        });
        let (handle_sender, handle_receiver) = mpsc::channel();
        let shared_with_thread = Arc::clone(&shared);
        let thread = std::thread::Builder::new()
            .name("standin".into())
            .spawn(move || serve(listener, address, shared_with_thread, &handle_sender))?;
        let Ok(server) = handle_receiver.recv() else {
            return Err(io::Error::other("the server thread of the stand-in ended during startup"));
        };
        Ok(Self { address, shared, server, thread: Some(thread) })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the current counts.
    pub fn counts(&self) -> Counts {
        self.shared.counters.snapshot()
    }

    /// Sets the fault modes for the requests that follow.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Stops announcing without deregistering, as a frozen endpoint would.
    pub fn stop_announcing(&self) {
        self.shared.stop_announcing();
    }

    /// Replaces the addresses of the entries to announce to.
    pub fn announce_to(&self, entries: Vec<String>) {
        *self.shared.entries.write().unwrap_or_else(PoisonError::into_inner) = entries;
    }

    /// Deregisters at the entries and waits for their responses. Open requests continue.
    pub async fn leave(&self) {
        self.shared.stop_announcing();
        announce::deregister(&self.shared.entries(), &self.shared.settings.name).await;
    }

    /// Stops immediately and closes open connections.
    pub fn kill(&mut self) {
        self.shared.stop_announcing();
        drop(self.server.stop(false));
        self.join();
    }

    /// Waits until the server has stopped.
    pub fn join(&mut self) {
        let Some(thread) = self.thread.take() else { return };
        match thread.join() {
            Ok(Ok(())) => {}
            Ok(Err(error)) => tracing::error!(%error, "stand-in server failed"),
            Err(_) => tracing::error!("stand-in server thread panicked"),
        }
    }

    /// Returns a handle that stops the server.
    pub fn server(&self) -> ServerHandle {
        self.server.clone()
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.kill();
    }
}

fn serve(
    listener: TcpListener,
    address: SocketAddr,
    shared: Arc<Shared>,
    handle_sender: &mpsc::Sender<ServerHandle>,
) -> io::Result<()> {
    actix_rt::System::new().block_on(async move {
        let shared_with_workers = Arc::clone(&shared);
        let server = Server::build()
            .workers(WORKER_THREADS)
            .disable_signals()
            .shutdown_timeout(1)
            .listen("standin", listener, move || {
                let shared = Arc::clone(&shared_with_workers);
                HttpService::build()
                    .tcp_nodelay(true)
                    .finish(fn_service(move |request| handle::handle(Arc::clone(&shared), request)))
                    .tcp()
            })?
            .run();
        let announcements =
            actix_rt::spawn(announce::run(Arc::clone(&shared), address.to_string()));
        if handle_sender.send(server.handle()).is_err() {
            tracing::debug!("nothing waits for the server handle");
        }
        let result = server.await;
        announcements.abort();
        result
    })
}
