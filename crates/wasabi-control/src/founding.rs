//! What a member starts from: its folder, a new group, or nothing until it is added.

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
    rpc::{Hello, Met, method},
};
use wasabi_wal::{Log, identity, replica};

use crate::{
    heard::{self, Heard},
    options::Options,
};

/// Time between two rounds of questions to the other founders, in milliseconds.
const ASK_EVERY: Duration = Duration::from_millis(200);

/// Longest time for one question, in milliseconds.
const ASK_BOUND: Duration = Duration::from_millis(1_000);

/// What a member starts from.
#[derive(Debug)]
pub(crate) struct Start {
    pub(crate) name: id::Member,
    pub(crate) log: Log,
    pub(crate) restored: PersistentState,
}

/// Why the folder cannot be used.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The log cannot be used.
    #[snafu(display("{source}"))]
    Log {
        /// The cause.
        source: wasabi_wal::Error,
    },
    /// A file cannot be read or written.
    #[snafu(display("cannot use a file in {}: {source}", folder.display()))]
    File {
        /// The folder.
        folder: std::path::PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The log is gone although the folder belongs to a member.
    #[snafu(display(
        "the folder belongs to {member} but holds no log; empty it and add the host as a new member"
    ))]
    Lost {
        /// The member.
        member: id::Member,
    },
}

impl Error {
    /// Returns whether the disk refused an operation, which may be over soon.
    pub(crate) const fn is_of_disk(&self) -> bool {
        match self {
            Self::Log { source } => matches!(source, wasabi_wal::Error::Io { .. }),
            Self::File { .. } => true,
            Self::Lost { .. } => false,
        }
    }
}

/// Returns what a member starts from whose folder was in use before.
///
/// # Errors
///
/// Returns an error when the folder cannot be used. One without the member's name is not that of a
/// new member: its disk may not be mounted.
pub(crate) fn reopen(options: &Options) -> Result<Start, Error> {
    let folder = &options.data;
    std::fs::metadata(folder.join(identity::FILE_NAME)).context(FileSnafu { folder })?;
    let identity =
        identity::load_or_create(&options.data, options.name.as_str()).context(LogSnafu)?;
    let (log, restored) = open(&options.data)?;
    Ok(Start { name: identity.member, log, restored })
}

/// Returns what the member starts from. A founder waits here until every other founder answered.
///
/// # Errors
///
/// Returns an error when the folder cannot be used.
pub(crate) async fn start(options: &Options, heard: &Mutex<Heard>) -> Result<Start, Error> {
    let folder = &options.data;
    std::fs::create_dir_all(folder).context(FileSnafu { folder })?;
    let is_blank = !folder.join(identity::FILE_NAME).exists();
    let founds = options.members.iter().any(|(name, _)| *name == options.name);
    if is_blank && founds && is_first_start(options).await {
        let text =
            format!("{} {:08x}\n", options.name, crc32fast::hash(options.name.as_str().as_bytes()));
        heard::replace(folder, identity::FILE_NAME, text.as_bytes())
            .context(FileSnafu { folder })?;
        info!(member = %options.name, "founding a new group");
        return found(options, folder);
    }
    let identity = identity::load_or_create(folder, options.name.as_str()).context(LogSnafu)?;
    let (log, restored) = open(folder)?;
    let has_members = !restored.snapshot.membership.voters.is_empty();
    if identity.member == options.name && !has_members && founds {
        // Stopped after it wrote its name and before it wrote the first snapshot.
        drop(log);
        let took_part = heard.lock().unwrap_or_else(PoisonError::into_inner).has_any();
        if took_part || !is_first_start(options).await {
            return LostSnafu { member: identity.member }.fail();
        }
        return found(options, folder);
    }
    if !has_members {
        let remedy = if options.contacts.get().is_empty() {
            "add this member with `wasabi members add`"
        } else {
            "it asks to be taken in"
        };
        warn!(member = %identity.member, address = %options.listen, remedy, "not in a group");
    }
    Ok(Start { name: identity.member, log, restored })
}

fn found(options: &Options, folder: &Path) -> Result<Start, Error> {
    let (mut log, _) = open(folder)?;
    let restored = PersistentState::bootstrap(options.members.iter().map(|(name, _)| name.clone()));
    replica::bootstrap(&mut log, &restored).context(LogSnafu)?;
    Ok(Start { name: options.name.clone(), log, restored })
}

fn open(folder: &Path) -> Result<(Log, PersistentState), Error> {
    let recovered = Log::open(folder).context(LogSnafu)?;
    replica::restore(recovered).context(LogSnafu)
}

/// Returns whether no other founder ever heard this one. Waits until all of them answered.
async fn is_first_start(options: &Options) -> bool {
    let mut open: Vec<_> =
        options.members.iter().filter(|(name, _)| *name != options.name).collect();
    let mut rounds = 0_u64;
    while !open.is_empty() {
        let mut unanswered = Vec::new();
        for founder in open {
            match ask(&options.name, &founder.1).await {
                Some(Met::Before) => {
                    let asked = &founder.0;
                    warn!(%asked, "this member took part before: its disk was lost");
                    return false;
                }
                Some(Met::Never) => {}
                None => unanswered.push(founder),
            }
        }
        open = unanswered;
        if !open.is_empty() {
            if rounds.is_multiple_of(25) {
                let names: Vec<_> = open.iter().map(|(name, _)| name.as_str()).collect();
                info!(waiting_for = names.join(","), "waiting for the other founders");
            }
            rounds += 1;
            actix_rt::time::sleep(ASK_EVERY).await;
        }
    }
    true
}

async fn ask(name: &id::Member, address: &str) -> Option<Met> {
    let client =
        WsClientBuilder::default().request_timeout(ASK_BOUND).build(format!("ws://{address}"));
    let client = actix_rt::time::timeout(ASK_BOUND, client).await.ok()?.ok()?;
    client.request(method::HELLO, rpc_params![Hello { from: name.clone() }]).await.ok()
}
