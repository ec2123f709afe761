//! Initial state of a member: its stored log, a new group, or an empty log until it is added.

use std::{
    path::Path,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use jsonrpsee::{core::client::ClientT as _, rpc_params, ws_client::WsClientBuilder};
use snafu::{ResultExt as _, Snafu};
use tracing::{info, warn};
use wasabi_consensus::PersistentState;
use wasabi_protocol::{
    id,
    rpc::{Hello, HelloReply, method},
};
use wasabi_wal::{Log, identity, replica};

use crate::{
    options::Options,
    seen_members::{self, SeenMembers},
};

/// Time between two rounds of requests to the other initial members.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Initial state of a member.
#[derive(Debug)]
pub(crate) struct InitialState {
    pub(crate) name: id::Member,
    pub(crate) log: Log,
    pub(crate) restored: PersistentState,
}

/// Error of loading the data directory.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The log cannot be opened or read.
    #[snafu(display("{source}"))]
    Log {
        /// The cause.
        source: wasabi_wal::Error,
    },
    /// A file cannot be read or written.
    #[snafu(display("cannot access a file in {}: {source}", directory.display()))]
    File {
        /// The directory.
        directory: std::path::PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The log is missing although the directory belongs to a member.
    #[snafu(display(
        "the data directory belongs to {member} but holds no log; empty it and add the host as a new member"
    ))]
    LogMissing {
        /// The member.
        member: id::Member,
    },
}

impl Error {
    /// Returns whether a storage operation failed, which may be temporary.
    pub(crate) const fn is_io(&self) -> bool {
        match self {
            Self::Log { source } => matches!(source, wasabi_wal::Error::Io { .. }),
            Self::File { .. } => true,
            Self::LogMissing { .. } => false,
        }
    }
}

/// Loads the state of a member that has run before.
///
/// # Errors
///
/// Returns an error when the directory cannot be used. A missing identity file does not mean a new
/// member here: the disk may not be mounted.
pub(crate) fn reopen(options: &Options) -> Result<InitialState, Error> {
    let directory = &options.data;
    std::fs::metadata(directory.join(identity::FILE_NAME)).context(FileSnafu { directory })?;
    let identity =
        identity::load_or_create(&options.data, options.name.as_str()).context(LogSnafu)?;
    let (log, restored) = open(&options.data)?;
    Ok(InitialState { name: identity.member, log, restored })
}

/// Loads the state of a member. An initial member of a new group waits here until all other initial
/// members have answered.
///
/// # Errors
///
/// Returns an error when the directory cannot be used.
pub(crate) async fn load(
    options: &Options,
    seen_members: &Mutex<SeenMembers>,
) -> Result<InitialState, Error> {
    let directory = &options.data;
    std::fs::create_dir_all(directory).context(FileSnafu { directory })?;
    let is_new = !directory.join(identity::FILE_NAME).exists();
    let is_initial = options.members.iter().any(|(name, _)| *name == options.name);
    if is_new && is_initial && is_first_start(options).await {
        let text =
            format!("{} {:08x}\n", options.name, crc32fast::hash(options.name.as_str().as_bytes()));
        seen_members::replace_file(directory, identity::FILE_NAME, text.as_bytes())
            .context(FileSnafu { directory })?;
        info!(member = %options.name, "bootstrapping a new control group");
        return bootstrap(options, directory);
    }
    let identity = identity::load_or_create(directory, options.name.as_str()).context(LogSnafu)?;
    let (log, restored) = open(directory)?;
    let has_members = !restored.snapshot.membership.voters.is_empty();
    if identity.member == options.name && !has_members && is_initial {
        // The process stopped after it wrote its identity and before it wrote the first snapshot.
        drop(log);
        let was_member = seen_members.lock().unwrap_or_else(PoisonError::into_inner).has_any();
        if was_member || !is_first_start(options).await {
            return LogMissingSnafu { member: identity.member }.fail();
        }
        return bootstrap(options, directory);
    }
    if !has_members {
        let remedy = if options.contacts.get().is_empty() {
            "add this member with `wasabi members add`"
        } else {
            "none needed: it sends join requests"
        };
        warn!(member = %identity.member, address = %options.listen, remedy, "this member is not in a control group");
    }
    Ok(InitialState { name: identity.member, log, restored })
}

fn bootstrap(options: &Options, directory: &Path) -> Result<InitialState, Error> {
    let (mut log, _) = open(directory)?;
    let restored = PersistentState::bootstrap(options.members.iter().map(|(name, _)| name.clone()));
    replica::bootstrap(&mut log, &restored).context(LogSnafu)?;
    Ok(InitialState { name: options.name.clone(), log, restored })
}

fn open(directory: &Path) -> Result<(Log, PersistentState), Error> {
    let recovered = Log::open(directory).context(LogSnafu)?;
    replica::restore(recovered).context(LogSnafu)
}

/// Returns whether none of the other initial members has ever received a message of this one. Waits
/// until all of them have answered.
async fn is_first_start(options: &Options) -> bool {
    let mut open: Vec<_> =
        options.members.iter().filter(|(name, _)| *name != options.name).collect();
    let mut rounds = 0_u64;
    while !open.is_empty() {
        let mut unanswered = Vec::new();
        for other in open {
            match ask(&options.name, &other.1).await {
                Some(HelloReply::Before) => {
                    warn!(asked = %other.0, "another member has seen this one before: its disk was lost");
                    return false;
                }
                Some(HelloReply::Never) => {}
                None => unanswered.push(other),
            }
        }
        open = unanswered;
        if !open.is_empty() {
            if rounds.is_multiple_of(25) {
                let names: Vec<_> = open.iter().map(|(name, _)| name.as_str()).collect();
                info!(waiting_for = names.join(","), "waiting for the other initial members");
            }
            rounds += 1;
            actix_rt::time::sleep(RETRY_INTERVAL).await;
        }
    }
    true
}

async fn ask(name: &id::Member, address: &str) -> Option<HelloReply> {
    let client = WsClientBuilder::default()
        .request_timeout(REQUEST_TIMEOUT)
        .build(format!("ws://{address}"));
    let client = actix_rt::time::timeout(REQUEST_TIMEOUT, client).await.ok()?.ok()?;
    client.request(method::HELLO, rpc_params![Hello { from: name.clone() }]).await.ok()
}
