//! Reading a settings file.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use garde::Validate;
use serde::de::DeserializeOwned;
use snafu::{ResultExt as _, Snafu};

/// Why a settings file is refused.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// The file cannot be read. Remedy: correct the path or its permissions.
    #[snafu(display("cannot read the settings file {}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The settings have faults. Remedy: correct each of them as the message says.
    #[snafu(display(
        "{} has {} fault(s):\n  {}", path.display(), faults.len(), faults.join("\n  ")
    ))]
    Faulty {
        /// The file.
        path: PathBuf,
        /// Every fault, with its place.
        faults: Vec<String>,
    },
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns one error that lists every unknown key and every wrong value. A file whose YAML is
/// broken, or in which a list stands where a value belongs, is refused with the first such place.
pub fn read<T>(path: &Path) -> Result<T, Error>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    parse(&text).map_err(|faults| Error::Faulty { path: path.to_owned(), faults })
}

/// Reads and checks settings from text.
///
/// # Errors
///
/// Returns every fault, as [`read`] does.
pub fn parse<T>(text: &str) -> Result<T, Vec<String>>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let mut faults = Vec::new();
    let parsed = serde_saphyr::with_deserializer_from_str(text, |deserializer| {
        serde_ignored::deserialize(deserializer, |key| {
            faults.push(format!("{key}: unknown key; the reference lists the known ones"));
        })
    });
    let settings: T = match parsed {
        Ok(settings) => settings,
        Err(error) => {
            faults.push(error.to_string());
            return Err(faults);
        }
    };
    if let Err(report) = settings.validate() {
        faults.extend(report.iter().map(|(path, error)| format!("{path}: {error}")));
    }
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}

/// Refuses a path that is not an existing folder.
pub(crate) fn existing_folder(path: &Path, (): &()) -> garde::Result {
    if path.as_os_str().is_empty() {
        return Err(garde::Error::new("is required"));
    }
    if path.is_dir() {
        return Ok(());
    }
    let path = path.display();
    Err(garde::Error::new(format!("{path} is not an existing folder; create it first")))
}

/// Refuses a path that is not an existing file.
pub(crate) fn existing_file(path: &Path, (): &()) -> garde::Result {
    if path.is_file() {
        return Ok(());
    }
    let path = path.display();
    Err(garde::Error::new(format!("{path} is not an existing file")))
}

/// Refuses addresses that two services of one process would share.
pub(crate) fn distinct_addresses(
    addresses: &[(&str, std::net::SocketAddr)],
    parent: &mut dyn FnMut() -> garde::Path,
    report: &mut garde::Report,
) {
    for (index, (name, address)) in addresses.iter().enumerate() {
        // Port 0 asks the system for a free port, so it never overlaps.
        let overlap = addresses[..index].iter().find(|(_, other)| {
            address.port() != 0
                && address.port() == other.port()
                && (address.ip() == other.ip()
                    || address.ip().is_unspecified()
                    || other.ip().is_unspecified())
        });
        if let Some((other, _)) = overlap {
            let error = garde::Error::new(format!("{address} overlaps with `{other}`"));
            report.append(parent().join(*name), error);
        }
    }
}
