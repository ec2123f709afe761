//! Durable creation and removal of files.

use std::{
    fs::{self, File},
    io::Write,
    path::Path,
};

use snafu::ResultExt;

use crate::{Result, error::IoSnafu, log::SyncFn};

/// Syncs a directory, which makes created, renamed and removed files durable.
pub(crate) fn sync_dir(dir: &Path, sync: SyncFn) -> Result<()> {
    let file = File::open(dir).context(IoSnafu { action: "open", path: dir })?;
    sync(&file).context(IoSnafu { action: "sync", path: dir })
}

/// Writes a file atomically: writes and syncs a temporary file, renames it and syncs the directory.
pub(crate) fn write_atomically(
    dir: &Path,
    name: &str,
    parts: &[&[u8]],
    sync: SyncFn,
) -> Result<()> {
    let temporary = dir.join(format!("{name}.tmp"));
    let path = dir.join(name);
    let mut file =
        File::create(&temporary).context(IoSnafu { action: "create", path: &temporary })?;
    for part in parts {
        file.write_all(part).context(IoSnafu { action: "write", path: &temporary })?;
    }
    sync(&file).context(IoSnafu { action: "sync", path: &temporary })?;
    fs::rename(&temporary, &path).context(IoSnafu { action: "rename", path: &temporary })?;
    sync_dir(dir, sync)
}

/// Removes a file. The removal is durable after the next [`sync_dir`].
pub(crate) fn remove_file(path: &Path) -> Result<()> {
    fs::remove_file(path).context(IoSnafu { action: "remove", path })
}

/// Returns the sorted names of the files in a directory that end in `suffix`.
pub(crate) fn list_with_suffix(dir: &Path, suffix: &str) -> Result<Vec<String>> {
    let read = || IoSnafu { action: "read", path: dir };
    let mut names = Vec::new();
    for entry in fs::read_dir(dir).with_context(|_| read())? {
        let name = entry.with_context(|_| read())?.file_name();
        if let Some(name) = name.to_str().filter(|name| name.ends_with(suffix)) {
            names.push(name.to_owned());
        }
    }
    names.sort_unstable();
    Ok(names)
}
