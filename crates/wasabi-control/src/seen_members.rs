//! Durable set of the members that this member has received messages from.

use std::{
    collections::BTreeSet,
    fs::{self, File},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

use wasabi_protocol::id;

/// Name of the file, which holds one member per line.
const FILE_NAME: &str = "heard";

/// The members that this member has received messages from.
///
/// A member with an empty data directory asks the others whether they have seen it before it
/// bootstraps a group. If so, it has lost its disk and must not vote under its old name, because
/// its earlier votes and acknowledgements are lost.
#[derive(Debug)]
pub(crate) struct SeenMembers {
    directory: PathBuf,
    members: BTreeSet<id::Member>,
}

impl SeenMembers {
    /// Loads the members from the directory.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read.
    pub(crate) fn open(directory: &Path) -> io::Result<Self> {
        let members = match fs::read_to_string(directory.join(FILE_NAME)) {
            Ok(text) => text.lines().map(Into::into).collect(),
            Err(error) if error.kind() == io::ErrorKind::NotFound => BTreeSet::new(),
            Err(error) => return Err(error),
        };
        Ok(Self { directory: directory.to_owned(), members })
    }

    /// Returns whether a message of the member was ever received.
    pub(crate) fn contains(&self, member: &id::Member) -> bool {
        self.members.contains(member)
    }

    /// Returns whether a message of any member was ever received.
    pub(crate) fn has_any(&self) -> bool {
        !self.members.is_empty()
    }

    /// Adds the member; it is durable on return.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be written; the member's message must then be dropped.
    pub(crate) fn add(&mut self, member: &id::Member) -> io::Result<()> {
        if self.members.contains(member) {
            return Ok(());
        }
        let mut members = self.members.clone();
        members.insert(member.clone());
        let text: String = members.iter().map(|member| format!("{member}\n")).collect();
        replace_file(&self.directory, FILE_NAME, text.as_bytes())?;
        self.members = members;
        Ok(())
    }
}

/// Replaces a file atomically; its content is durable on return.
///
/// # Errors
///
/// Returns the I/O error.
pub(crate) fn replace_file(directory: &Path, name: &str, content: &[u8]) -> io::Result<()> {
    let temporary = directory.join(format!("{name}.new"));
    let mut file = File::create(&temporary)?;
    file.write_all(content)?;
    file.sync_all()?;
    fs::rename(&temporary, directory.join(name))?;
    File::open(directory)?.sync_all()
}
