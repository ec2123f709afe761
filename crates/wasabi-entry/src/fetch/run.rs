//! Runs fetches of newer configurations, on dedicated connections.

use std::{
    cell::RefCell,
    io,
    pin::{Pin, pin},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use jsonrpsee::{
    core::client::ClientT as _,
    rpc_params,
    ws_client::{WsClient, WsClientBuilder},
};
use tokio::{
    io::{AsyncRead, ReadBuf},
    net::TcpStream,
};
use wasabi_protocol::{
    clock::Millis,
    command::Config,
    id,
    rpc::{ConfigVersion, Extent, MESSAGE_BYTES_MAX, Update, method},
};

use crate::{
    fetch::plan::{ControlAccess, End, Locality, PROGRESS_CHECK_INTERVAL, Plan, Source},
    pass::pass_writes,
    shell::Shell,
};

/// Timeout for connecting to a source.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The fetch plan and the connection of the last fetch.
#[derive(Debug, Default)]
pub(crate) struct Fetcher {
    plan: RefCell<Plan>,
    connection: RefCell<Option<SourceConnection>>,
}

/// A connection to a source.
#[derive(Debug, Clone)]
struct SourceConnection {
    address: String,
    client: Arc<WsClient>,
    /// Number of bytes received on it.
    received: Arc<AtomicU64>,
}

/// Records that a source announced its active revision, and starts a fetch if it is newer.
pub(crate) fn revision_announced(shell: &Rc<Shell>, source: Source, revision: id::Revision) {
    let now = shell.now();
    update_held_revision(shell, now);
    let locality = locality(shell, &source);
    let next = {
        let mut plan = shell.fetcher.plan.borrow_mut();
        plan.add_available(now, source, locality, revision);
        plan.start_fetch(now)
    };
    if let Some(source) = next {
        actix_rt::spawn(run(Rc::clone(shell), source));
    }
}

/// Fetches from one source after another until no source has a newer revision.
async fn run(shell: Rc<Shell>, first: Source) {
    let mut next = Some(first);
    while let Some(source) = next {
        let end = fetch(&shell, &source).await;
        let now = shell.now();
        let behind = update_held_revision(&shell, now).unwrap_or_default();
        let held = shell.shared.in_force().config.revision;
        let mut plan = shell.fetcher.plan.borrow_mut();
        let took = plan.fetch_age(now).unwrap_or_default();
        shell.shared.metrics.fetched(&source, end);
        tracing::info!(
            ?source,
            ?end,
            revision = %held,
            took_ms = took.0,
            behind_ms = behind.0,
            "fetch ended"
        );
        plan.end_fetch(now, end);
        next = plan.start_fetch(now);
    }
}

/// Updates the plan with the active revision. If that is newer than at the last call, returns the
/// time since it was first announced.
fn update_held_revision(shell: &Shell, now: Millis) -> Option<Millis> {
    let in_force = shell.shared.in_force();
    let has_peers = !in_force.config.view.entries.is_empty();
    let prefers_peers = has_peers && !shell.peers.borrow().is_coordinating();
    let control_access =
        if prefers_peers { ControlAccess::AfterPeers } else { ControlAccess::Immediate };
    let behind = shell.fetcher.plan.borrow_mut().set_held_revision(
        now,
        in_force.config.revision,
        control_access,
    )?;
    shell.shared.metrics.behind(behind);
    Some(behind)
}

/// Returns the locality of a source according to the view.
fn locality(shell: &Shell, source: &Source) -> Locality {
    let Source::Peer(name) = source else { return Locality::Remote };
    let in_force = shell.shared.in_force();
    let mut entries = in_force.config.view.entries.iter();
    let is_local = entries
        .any(|entry| entry.name == *name && entry.data_centre == shell.shared.entry.data_centre);
    if is_local { Locality::Local } else { Locality::Remote }
}

async fn fetch(shell: &Rc<Shell>, source: &Source) -> End {
    let Some(address) = address(shell, source) else { return End::Gone };
    let Some(connection) = shell.fetcher.connection(&address).await else { return End::Failed };
    // The update omits what this configuration holds, so it must be applied to this one even if
    // another becomes active meanwhile.
    let before = shell.shared.in_force();
    let held = shell.answers.borrow().latest_version();
    // A source sends the complete configuration to an entry that holds none.
    let nothing = Config::default();
    for (held, before) in [(held, &before.config), (ConfigVersion::default(), &nothing)] {
        let update = match request_update(shell, &connection, held).await {
            Ok(update) => update,
            Err(reason) => {
                tracing::warn!(?source, %reason, "fetching the configuration failed");
                shell.fetcher.connection.replace(None);
                return End::Failed;
            }
        };
        match update.apply_to(before) {
            Ok(config) => {
                let held = shell.shared.in_force().config.revision;
                shell.apply(&config);
                return if held < config.revision { End::Taken } else { End::Failed };
            }
            Err(error) => {
                shell.shared.metrics.unfit.inc();
                tracing::error!(
                    ?source, %error,
                    "cannot apply the update; fetching the complete configuration"
                );
            }
        }
    }
    End::Failed
}

/// Requests an update and counts the bytes received for it. There is no overall timeout; only a
/// transfer without progress is given up.
async fn request_update(
    shell: &Shell,
    connection: &SourceConnection,
    held: ConfigVersion,
) -> Result<Update, String> {
    let before = connection.received.load(Ordering::Relaxed);
    let result = request_with_stall_check(shell, connection, held).await;
    let received = connection.received.load(Ordering::Relaxed).saturating_sub(before);
    let extent = result.as_ref().map_or(Extent::Nothing, Update::extent);
    shell.shared.metrics.fetched_bytes(extent, received);
    result
}

async fn request_with_stall_check(
    shell: &Shell,
    connection: &SourceConnection,
    held: ConfigVersion,
) -> Result<Update, String> {
    let mut request =
        pin!(connection.client.request::<Update, _>(method::CONFIG, rpc_params![held]));
    let mut checks = tokio::time::interval(PROGRESS_CHECK_INTERVAL.duration());
    checks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            result = &mut request => return result.map_err(|error| error.to_string()),
            _ = checks.tick() => {
                let received = connection.received.load(Ordering::Relaxed);
                if shell.fetcher.plan.borrow_mut().is_stalled(shell.now(), received) {
                    return Err("no bytes were received within the stall timeout".to_owned());
                }
            }
        }
    }
}

/// Returns the address of a source, or `None` when it is no longer in the view.
fn address(shell: &Shell, source: &Source) -> Option<String> {
    match source {
        Source::Member(address) => Some(address.clone()),
        Source::Peer(name) => {
            let in_force = shell.shared.in_force();
            let mut entries = in_force.config.view.entries.iter();
            entries.find(|entry| entry.name == *name).map(|entry| entry.peer_address.clone())
        }
    }
}

impl Fetcher {
    /// Returns the open connection to an address, or replaces the last connection by a new one.
    async fn connection(&self, address: &str) -> Option<SourceConnection> {
        let last = self.connection.borrow().clone();
        let is_open = |connection: &SourceConnection| {
            connection.address == address && connection.client.is_connected()
        };
        if let Some(connection) = last.filter(is_open) {
            return Some(connection);
        }
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await.ok()?;
        let connection = connection.inspect_err(
            |error| tracing::debug!(%address, %error, "cannot connect to a configuration source"),
        );
        let connection = connection.ok()?;
        self.connection.replace(Some(connection.clone()));
        Some(connection)
    }
}

async fn connect(address: &str) -> io::Result<SourceConnection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let received = Arc::<AtomicU64>::default();
    let counted = CountingStream { io: stream, received: Arc::clone(&received) };
    let client = WsClientBuilder::default()
        .max_response_size(MESSAGE_BYTES_MAX)
        // Practically no timeout: a fetch ends when it stalls, not when it takes long.
        .request_timeout(Duration::from_secs(24 * 60 * 60))
        .build_with_stream(format!("ws://{address}"), counted)
        .await
        .map_err(io::Error::other)?;
    Ok(SourceConnection { address: address.to_owned(), client: Arc::new(client), received })
}

/// A TCP stream that counts the bytes received.
#[derive(Debug)]
struct CountingStream {
    io: TcpStream,
    received: Arc<AtomicU64>,
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.io).poll_read(context, buffer);
        self.received.fetch_add((buffer.filled().len() - before) as u64, Ordering::Relaxed);
        poll
    }
}

pass_writes!(CountingStream);
