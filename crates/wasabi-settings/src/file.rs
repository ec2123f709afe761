//! Reading of settings files.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use garde::Validate;
use serde::de::DeserializeOwned;
use snafu::{ResultExt as _, Snafu};

/// Why a settings file was rejected.
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
    /// The settings are invalid. Remedy: correct each error listed in the message.
    #[snafu(display(
        "{} has {} error(s):\n  {}", path.display(), errors.len(), errors.join("\n  ")
    ))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// All errors, each with its location.
        errors: Vec<String>,
    },
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns a single error that lists all unknown keys and invalid values. If the YAML is malformed, or
/// contains a list in place of a scalar, only the first such location is reported.
pub fn read<T>(path: &Path) -> Result<T, Error>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    parse(&text).map_err(|errors| Error::Invalid { path: path.to_owned(), errors })
}

/// Parses and validates settings.
///
/// # Errors
///
/// Returns all errors, like [`read`].
pub fn parse<T>(text: &str) -> Result<T, Vec<String>>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let mut errors = Vec::new();
    let parsed = serde_saphyr::with_deserializer_from_str(text, |deserializer| {
        serde_ignored::deserialize(deserializer, |key| {
            errors.push(format!("{key}: unknown key; see the reference for valid keys"));
        })
    });
    let settings: T = match parsed {
        Ok(settings) => settings,
        Err(error) => {
            errors.push(error.to_string());
            return Err(errors);
        }
    };
    if let Err(report) = settings.validate() {
        errors.extend(report.iter().map(|(path, error)| format!("{path}: {error}")));
    }
    if errors.is_empty() { Ok(settings) } else { Err(errors) }
}

/// Rejects a path that is not an existing directory.
pub(crate) fn existing_directory(path: &Path, (): &()) -> garde::Result {
    if path.as_os_str().is_empty() {
        return Err(garde::Error::new("is required"));
    }
    if path.is_dir() {
        return Ok(());
    }
    let path = path.display();
    Err(garde::Error::new(format!("{path} is not an existing directory; create it first")))
}

/// Rejects a path that is not an existing file.
pub(crate) fn existing_file(path: &Path, (): &()) -> garde::Result {
    if path.is_file() {
        return Ok(());
    }
    let path = path.display();
    Err(garde::Error::new(format!("{path} is not an existing file")))
}

/// Rejects listening addresses of one process that overlap.
pub(crate) fn distinct_addresses(
    addresses: &[(&str, std::net::SocketAddr)],
    parent: &mut dyn FnMut() -> garde::Path,
    report: &mut garde::Report,
) {
    for (index, (name, address)) in addresses.iter().enumerate() {
        // Port 0 lets the operating system choose a free port, so it never overlaps.
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
