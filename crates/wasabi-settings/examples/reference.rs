//! Writes the reference pages of the settings to a directory.

use std::{env, fs, io, path::PathBuf};

use wasabi_settings::{control, entry, reference};

fn main() -> io::Result<()> {
    let directory = PathBuf::from(env::args().nth(1).unwrap_or_else(|| "docs/settings".to_owned()));
    fs::create_dir_all(&directory)?;
    let pages = [
        ("entryd.md", reference::markdown::<entry::Settings>("wasabi-entryd")),
        ("controld.md", reference::markdown::<control::Settings>("wasabi-controld")),
    ];
    for (name, page) in pages {
        fs::write(directory.join(name), page)?;
    }
    Ok(())
}
