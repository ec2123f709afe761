//! The identity of the member that a data directory belongs to.

use std::{fs, io, path::Path};

use snafu::ResultExt;
use wasabi_protocol::id;

use crate::{Error, Result, error::IoSnafu, file, log::Options};

/// Name of the file that contains the member id.
pub const FILE_NAME: &str = "member";

/// The member that a data directory belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The member id.
    pub member: id::Member,
    /// Whether the member was just created because the directory was empty. A new member must not
    /// vote before it is added to the group and has caught up.
    pub is_new: bool,
}

/// Loads the identity from the directory, or creates one of the form `{host}-{8 hex digits}` if the
/// directory is empty. A host that lost its disk must not vote under its previous member id because
/// it has lost its earlier votes and acknowledged entries.
///
/// # Errors
///
/// Fails if the identity file is corrupted, or if it is missing although the directory contains a
/// log.
pub fn load_or_create(dir: impl AsRef<Path>, host: &str) -> Result<Identity> {
    let dir = dir.as_ref();
    fs::create_dir_all(dir).context(IoSnafu { action: "create", path: dir })?;
    let path = dir.join(FILE_NAME);
    match fs::read_to_string(&path) {
        Ok(text) => {
            let member = parse(&text).map(id::Member::from);
            let reason = "member id checksum mismatch";
            let member = member.ok_or(Error::Corrupted { path, offset: 0, reason })?;
            Ok(Identity { member, is_new: false })
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => create(dir, host),
        Err(source) => Err(Error::Io { action: "read", path, source }),
    }
}

fn create(dir: &Path, host: &str) -> Result<Identity> {
    let contains_log = !file::list_with_suffix(dir, ".log")?.is_empty()
        || !file::list_with_suffix(dir, ".snap")?.is_empty();
    if contains_log {
        let missing =
            format!("the file {FILE_NAME}, which identifies the member that the log belongs to");
        return Err(Error::Missing { path: dir.to_owned(), missing });
    }
    let name = format!("{host}-{:08x}", fastrand::u32(..));
    let text = format!("{name} {:08x}\n", crc32fast::hash(name.as_bytes()));
    file::write_atomically(dir, FILE_NAME, &[text.as_bytes()], Options::default().sync)?;
    Ok(Identity { member: name.into(), is_new: true })
}

fn parse(text: &str) -> Option<&str> {
    let (name, crc) = text.strip_suffix('\n')?.rsplit_once(' ')?;
    let crc = u32::from_str_radix(crc, 16).ok()?;
    (crc32fast::hash(name.as_bytes()) == crc).then_some(name)
}
