//! Fetches of newer configurations, on connections that carry nothing else.

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
    rpc::{Extent, Held, MESSAGE_BYTES_MAX, Update, method},
};

use crate::{
    fetch::plan::{ControlAccess, End, Locality, PROGRESS_CHECK_INTERVAL, Plan, Source},
    pass::pass_writes,
    shell::Shell,
};

/// Longest time for a connection to a source.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// What is known of newer configurations, and the connection that the last one came on.
#[derive(Debug, Default)]
pub(crate) struct Fetcher {
    plan: RefCell<Plan>,
    line: RefCell<Option<Line>>,
}

/// An open connection to a source.
#[derive(Debug, Clone)]
struct Line {
    address: String,
    client: Arc<WsClient>,
    /// Bytes received so far.
    received: Arc<AtomicU64>,
}

/// Takes into account that a source has a revision in force, and fetches that if it is newer.
pub(crate) fn revision_announced(shell: &Rc<Shell>, source: Source, revision: id::Revision) {
    let now = shell.now();
    hold(shell, now);
    let place = place(shell, &source);
    let next = {
        let mut plan = shell.fetcher.plan.borrow_mut();
        plan.add_available(now, source, place, revision);
        plan.start_fetch(now)
    };
    if let Some(source) = next {
        actix_rt::spawn(run(Rc::clone(shell), source));
    }
}

/// Fetches from one source after the other until nobody has named a newer revision.
async fn run(shell: Rc<Shell>, first: Source) {
    let mut next = Some(first);
    while let Some(source) = next {
        let end = fetch(&shell, &source).await;
        let now = shell.now();
        let behind = hold(&shell, now).unwrap_or_default();
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

/// Takes into account what is in force. Returns the time since it was first named, if it is newer
/// than at the last call.
fn hold(shell: &Shell, now: Millis) -> Option<Millis> {
    let in_force = shell.shared.in_force();
    let has_peers = !in_force.config.view.entries.is_empty();
    let has_others_first = has_peers && !shell.peers.borrow().is_coordinating();
    let turn = if has_others_first { ControlAccess::AfterPeers } else { ControlAccess::Immediate };
    let behind =
        shell.fetcher.plan.borrow_mut().set_held_revision(now, in_force.config.revision, turn)?;
    shell.shared.metrics.behind(behind);
    Some(behind)
}

/// Returns where a source is, by the view.
fn place(shell: &Shell, source: &Source) -> Locality {
    let Source::Peer(name) = source else { return Locality::Remote };
    let in_force = shell.shared.in_force();
    let mut entries = in_force.config.view.entries.iter();
    let is_here = entries
        .any(|entry| entry.name == *name && entry.data_centre == shell.shared.entry.data_centre);
    if is_here { Locality::Local } else { Locality::Remote }
}

async fn fetch(shell: &Rc<Shell>, source: &Source) -> End {
    let Some(address) = address(shell, source) else { return End::Gone };
    let Some(line) = shell.fetcher.line(&address).await else { return End::Failed };
    // What the answer leaves out is what is in force now, whatever is by then.
    let before = shell.shared.in_force();
    let held = shell.answers.borrow().held();
    // An asker that holds nothing is sent everything.
    let nothing = Config::default();
    for (held, before) in [(held, &before.config), (Held::default(), &nothing)] {
        let update = match answer(shell, &line, held).await {
            Ok(update) => update,
            Err(reason) => {
                tracing::warn!(?source, %reason, "configuration not fetched");
                shell.fetcher.line.replace(None);
                return End::Failed;
            }
        };
        match update.onto(before) {
            Ok(config) => {
                let held = shell.shared.in_force().config.revision;
                shell.apply(&config);
                return if held < config.revision { End::Taken } else { End::Failed };
            }
            Err(error) => {
                shell.shared.metrics.unfit.inc();
                tracing::error!(?source, %error, "an update is not taken; fetching the whole");
            }
        }
    }
    End::Failed
}

/// Returns the answer to a fetch, however long it takes, unless no bytes of it come.
async fn answer(shell: &Shell, line: &Line, held: Held) -> Result<Update, String> {
    let before = line.received.load(Ordering::Relaxed);
    let answer = call(shell, line, held).await;
    let received = line.received.load(Ordering::Relaxed).saturating_sub(before);
    let extent = answer.as_ref().map_or(Extent::Nothing, Update::extent);
    shell.shared.metrics.fetched_bytes(extent, received);
    answer
}

async fn call(shell: &Shell, line: &Line, held: Held) -> Result<Update, String> {
    let mut call = pin!(line.client.request::<Update, _>(method::CONFIG, rpc_params![held]));
    let mut looks = tokio::time::interval(PROGRESS_CHECK_INTERVAL.duration());
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            answer = &mut call => return answer.map_err(|error| error.to_string()),
            _ = looks.tick() => {
                let received = line.received.load(Ordering::Relaxed);
                if shell.fetcher.plan.borrow_mut().is_stalled(shell.now(), received) {
                    return Err("no bytes came".to_owned());
                }
            }
        }
    }
}

/// Returns the address of a source, if it still has one.
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
    /// Returns the connection to an address, opened in place of the last one if needed.
    async fn line(&self, address: &str) -> Option<Line> {
        let last = self.line.borrow().clone();
        let is_open = |line: &Line| line.address == address && line.client.is_connected();
        if let Some(line) = last.filter(is_open) {
            return Some(line);
        }
        let line = tokio::time::timeout(CONNECT_TIME, connect(address)).await.ok()?;
        let line = line.inspect_err(|error| tracing::debug!(%address, %error, "no connection"));
        let line = line.ok()?;
        self.line.replace(Some(line.clone()));
        Some(line)
    }
}

async fn connect(address: &str) -> io::Result<Line> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let received = Arc::<AtomicU64>::default();
    let counted = Counted { io: stream, received: Arc::clone(&received) };
    let client = WsClientBuilder::default()
        .max_response_size(MESSAGE_BYTES_MAX)
        // A fetch ends when no bytes come, and not by its age.
        .request_timeout(Duration::from_secs(24 * 60 * 60))
        .build_with_stream(format!("ws://{address}"), counted)
        .await
        .map_err(io::Error::other)?;
    Ok(Line { address: address.to_owned(), client: Arc::new(client), received })
}

/// A connection that counts the bytes received.
#[derive(Debug)]
struct Counted {
    io: TcpStream,
    received: Arc<AtomicU64>,
}

impl AsyncRead for Counted {
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

pass_writes!(Counted);
