//! Files and folders whose names are durable.

use std::{
    fs::{self, File},
    io::Write,
    path::Path,
};

use snafu::ResultExt;

use crate::{Result, error::IoSnafu, log::SyncFn};

/// Syncs the entries of a folder.
pub(crate) fn sync_dir(dir: &Path, sync: SyncFn) -> Result<()> {
    let file = File::open(dir).context(IoSnafu { action: "open", path: dir })?;
    sync(&file).context(IoSnafu { action: "sync", path: dir })
}

/// Writes a whole file under a temporary name, syncs it, renames it and syncs the folder.
pub(crate) fn replace(dir: &Path, name: &str, parts: &[&[u8]], sync: SyncFn) -> Result<()> {
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
pub(crate) fn remove(path: &Path) -> Result<()> {
    fs::remove_file(path).context(IoSnafu { action: "remove", path })
}

/// Returns the names of the files in a folder that end in `suffix`, sorted.
pub(crate) fn names(dir: &Path, suffix: &str) -> Result<Vec<String>> {
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
