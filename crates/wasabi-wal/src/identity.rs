//! The identity of the member that a folder belongs to.

use std::{fs, io, path::Path};

use snafu::ResultExt;
use wasabi_protocol::id;

use crate::{Error, Result, error::IoSnafu, file, log::Options};

/// Name of the file that holds the member's id.
pub const FILE_NAME: &str = "member";

/// The member that a folder belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The member's id.
    pub member: id::Member,
    /// Whether the folder was empty, so that this is a new member, which must not vote before it
    /// was added and has caught up.
    pub is_new: bool,
}

/// Returns the identity in the folder. An empty folder gets a new one, `{host}-{8 hex digits}`:
/// a host that lost its disk must not vote under its old id, since it forgot what it promised.
///
/// # Errors
///
/// Fails when the file is damaged, or is missing while the folder holds a log.
pub fn load_or_create(dir: impl AsRef<Path>, host: &str) -> Result<Identity> {
    let dir = dir.as_ref();
    fs::create_dir_all(dir).context(IoSnafu { action: "create", path: dir })?;
    let path = dir.join(FILE_NAME);
    match fs::read_to_string(&path) {
        Ok(text) => {
            let member = parse(&text).map(id::Member::from);
            let reason = "the member id's checksum is wrong";
            let member = member.ok_or(Error::Damaged { path, offset: 0, reason })?;
            Ok(Identity { member, is_new: false })
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => create(dir, host),
        Err(source) => Err(Error::Io { action: "read", path, source }),
    }
}

fn create(dir: &Path, host: &str) -> Result<Identity> {
    let holds_log = !file::names(dir, ".log")?.is_empty() || !file::names(dir, ".snap")?.is_empty();
    if holds_log {
        let missing = format!("the file {FILE_NAME}, which names the owner of the log in it");
        return Err(Error::Missing { path: dir.to_owned(), missing });
    }
    let name = format!("{host}-{:08x}", fastrand::u32(..));
    let text = format!("{name} {:08x}\n", crc32fast::hash(name.as_bytes()));
    file::replace(dir, FILE_NAME, &[text.as_bytes()], Options::default().sync)?;
    Ok(Identity { member: name.into(), is_new: true })
}

fn parse(text: &str) -> Option<&str> {
    let (name, crc) = text.strip_suffix('\n')?.rsplit_once(' ')?;
    let crc = u32::from_str_radix(crc, 16).ok()?;
    (crc32fast::hash(name.as_bytes()) == crc).then_some(name)
}
