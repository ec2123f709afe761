//! Which members this one ever got a message from, kept durably.

use std::{
    collections::BTreeSet,
    fs::{self, File},
    io::{self, Write as _},
    path::{Path, PathBuf},
};

use wasabi_protocol::id;

/// The name of the file, with one member a line.
const FILE_NAME: &str = "heard";

/// The members that this one ever got a message from.
///
/// A member with an empty folder asks the others for it before it founds a group: one that took
/// part before has lost its disk and must not vote under its old name, since it forgot what it
/// promised.
#[derive(Debug)]
pub(crate) struct Heard {
    folder: PathBuf,
    members: BTreeSet<id::Member>,
}

impl Heard {
    /// Reads the members from the folder.
    ///
    /// # Errors
    ///
    /// Returns the error of the file.
    pub(crate) fn open(folder: &Path) -> io::Result<Self> {
        let members = match fs::read_to_string(folder.join(FILE_NAME)) {
            Ok(text) => text.lines().map(Into::into).collect(),
            Err(error) if error.kind() == io::ErrorKind::NotFound => BTreeSet::new(),
            Err(error) => return Err(error),
        };
        Ok(Self { folder: folder.to_owned(), members })
    }

    /// Returns whether a message of the member ever came.
    pub(crate) fn contains(&self, member: &id::Member) -> bool {
        self.members.contains(member)
    }

    /// Returns whether a message of any member ever came.
    pub(crate) fn has_any(&self) -> bool {
        !self.members.is_empty()
    }

    /// Remembers the member; it is durable on return.
    ///
    /// # Errors
    ///
    /// Returns the disk's error; the member's message must then not be used.
    pub(crate) fn add(&mut self, member: &id::Member) -> io::Result<()> {
        if self.members.contains(member) {
            return Ok(());
        }
        let mut members = self.members.clone();
        members.insert(member.clone());
        let text: String = members.iter().map(|member| format!("{member}\n")).collect();
        replace(&self.folder, FILE_NAME, text.as_bytes())?;
        self.members = members;
        Ok(())
    }
}

/// Replaces a file whole; it is durable on return.
///
/// # Errors
///
/// Returns the disk's error.
pub(crate) fn replace(folder: &Path, name: &str, content: &[u8]) -> io::Result<()> {
    let draft = folder.join(format!("{name}.new"));
    let mut file = File::create(&draft)?;
    file.write_all(content)?;
    file.sync_all()?;
    fs::rename(&draft, folder.join(name))?;
    File::open(folder)?.sync_all()
}
