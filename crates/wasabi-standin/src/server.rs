//! Start and stop of a stand-in, and the state that its connections share.

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
    counts::{Counts, Ledger},
    handle,
    settings::{Faults, Settings},
};

/// Ends the stand-in at once, as a crash would.
pub type Crash = Arc<dyn Fn() + Send + Sync>;

/// Threads that serve requests.
const WORKERS: usize = 2;

/// State that the connections of one stand-in share.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) incarnation: u64,
    pub(crate) ledger: Arc<Ledger>,
    pub(crate) crash: Crash,
    pub(crate) received: AtomicU64,
    faults: Mutex<Faults>,
    entries: RwLock<Vec<String>>,
    announcing: AtomicBool,
}

impl Shared {
    /// Returns the fault modes for the next request and counts it against their limit.
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

    /// Returns the entries to announce to.
    pub(crate) fn entries(&self) -> Vec<String> {
        self.entries.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns whether the stand-in still announces itself.
    pub(crate) fn is_announcing(&self) -> bool {
        self.announcing.load(Ordering::Acquire)
    }

    /// Stops announcing.
    pub(crate) fn stop_announcing(&self) {
        self.announcing.store(false, Ordering::Release);
    }

    /// Returns the number of requests that have not ended.
    pub(crate) fn running(&self) -> u32 {
        let counts = self.ledger.snapshot();
        let ended = counts.finished + counts.dropped;
        u32::try_from(counts.requests.saturating_sub(ended)).unwrap_or(u32::MAX)
    }
}

/// A running stand-in on threads of its own.
pub struct Standin {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: ServerHandle,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Standin {
    /// Starts a stand-in. A crash stops its server and its announcements.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound or the thread cannot be started.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let server: Arc<Mutex<Option<ServerHandle>>> = Arc::default();
        let slot = Arc::clone(&server);
        let crash: Crash = Arc::new(move || {
            let handle = slot.lock().unwrap_or_else(PoisonError::into_inner).clone();
            if let Some(handle) = handle {
                actix_rt::spawn(handle.stop(false));
            }
        });
        let standin = Self::start_with_crash(settings, crash)?;
        *server.lock().unwrap_or_else(PoisonError::into_inner) = Some(standin.server.clone());
        Ok(standin)
    }

    /// Starts a stand-in that calls `crash` when a request crashes it.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound or the thread cannot be started.
    pub fn start_with_crash(settings: Settings, crash: Crash) -> io::Result<Self> {
        let listener = TcpListener::bind(&settings.listen)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            incarnation: clock::unix_now().0,
            ledger: Arc::default(),
            crash,
            received: AtomicU64::new(0),
            faults: Mutex::new(settings.faults.clone()),
            entries: RwLock::new(settings.entries.clone()),
            announcing: AtomicBool::new(true),
            settings,
        });
        let (started, start) = mpsc::channel();
        let for_thread = Arc::clone(&shared);
        let thread = std::thread::Builder::new()
            .name("standin".into())
            .spawn(move || serve(listener, address, for_thread, &started))?;
        let Ok(server) = start.recv() else {
            return Err(io::Error::other("the stand-in's thread ended before it served"));
        };
        Ok(Self { address, shared, server, thread: Some(thread) })
    }

    /// Returns the address that it serves on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what it ran.
    pub fn counts(&self) -> Counts {
        self.shared.ledger.snapshot()
    }

    /// Sets the fault modes for the requests that follow.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Stops announcing without a word to the entries, as a frozen endpoint would.
    pub fn stop_announcing(&self) {
        self.shared.stop_announcing();
    }

    /// Announces to these entries from now on.
    pub fn announce_to(&self, entries: Vec<String>) {
        *self.shared.entries.write().unwrap_or_else(PoisonError::into_inner) = entries;
    }

    /// Tells the entries that it leaves and waits for their answers; requests go on.
    pub async fn leave(&self) {
        self.shared.stop_announcing();
        announce::leave(&self.shared.entries(), &self.shared.settings.name).await;
    }

    /// Stops at once and cuts open connections.
    pub fn kill(&mut self) {
        self.shared.stop_announcing();
        drop(self.server.stop(false));
        self.join();
    }

    /// Waits until the server has ended.
    pub fn join(&mut self) {
        let Some(thread) = self.thread.take() else { return };
        match thread.join() {
            Ok(Ok(())) => {}
            Ok(Err(error)) => tracing::error!(%error, "stand-in ended with an error"),
            Err(_) => tracing::error!("stand-in thread panicked"),
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
    started: &mpsc::Sender<ServerHandle>,
) -> io::Result<()> {
    actix_rt::System::new().block_on(async move {
        let for_service = Arc::clone(&shared);
        let server = Server::build()
            .workers(WORKERS)
            .disable_signals()
            .shutdown_timeout(1)
            .listen("standin", listener, move || {
                let shared = Arc::clone(&for_service);
                HttpService::build()
                    .tcp_nodelay(true)
                    .finish(fn_service(move |request| {
                        handle::request(Arc::clone(&shared), request)
                    }))
                    .tcp()
            })?
            .run();
        let announcing = actix_rt::spawn(announce::run(Arc::clone(&shared), address.to_string()));
        if started.send(server.handle()).is_err() {
            tracing::debug!("the starter went away");
        }
        let ended = server.await;
        announcing.abort();
        ended
    })
}
