//! Logs: one line of key=value pairs for each event.

use std::{
    fs::{File, OpenOptions},
    io,
    path::PathBuf,
    sync::Arc,
};

use snafu::{ResultExt as _, Snafu};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{
    EnvFilter, Layer as _,
    filter::{ParseError, filter_fn},
    fmt::layer,
    layer::SubscriberExt as _,
    util::SubscriberInitExt as _,
};
use wasabi_settings::log::Log;

use crate::trace;

/// Why logging cannot start.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// The level is not a filter. Remedy: use a level such as `info`.
    #[snafu(display("log.level `{level}` is not a filter such as `info`: {source}"))]
    Level {
        /// The text of the setting.
        level: String,
        /// The cause.
        source: ParseError,
    },
    /// The file for traces cannot be opened. Remedy: correct the path or its permissions.
    #[snafu(display("cannot open the traces file {}: {source}", path.display()))]
    Traces {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Logging was started before. Remedy: start it once in a process.
    #[snafu(display("logging is already started"))]
    Started,
}

/// Lines that wait for the reader of standard output; later ones are dropped and counted.
const WAITING_MAX: usize = 8_192;

/// Running logs. Dropping them writes what waits.
#[derive(Debug)]
#[must_use]
pub struct Guard {
    _writer: WorkerGuard,
}

/// Starts logs to standard output and, when the settings name a file, span lines to that file.
///
/// A thread of its own writes the lines, so that nothing else waits for their reader.
///
/// # Errors
///
/// Returns an error when the level or the file is wrong, or when logging was already started.
pub fn start(settings: &Log) -> Result<Guard, Error> {
    let level = &settings.level;
    let filter = EnvFilter::try_new(level).context(LevelSnafu { level })?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING_MAX)
        .thread_name("logs")
        .finish(io::stdout());
    let logs = layer()
        .event_format(tracing_logfmt::EventsFormatter::default())
        .fmt_fields(tracing_logfmt::FieldsFormatter::default())
        .with_ansi(false)
        .with_writer(writer)
        .with_filter(filter)
        .with_filter(filter_fn(|event| event.target() != trace::TARGET));
    let spans = settings.traces.as_ref().map(open).transpose()?.map(|file| {
        layer()
            .event_format(tracing_logfmt::EventsFormatter::default())
            .fmt_fields(tracing_logfmt::FieldsFormatter::default())
            .with_writer(Arc::new(file))
            .with_filter(filter_fn(|event| event.target() == trace::TARGET))
    });
    let registry = tracing_subscriber::registry().with(logs).with(spans);
    registry.try_init().map_err(|_| Error::Started)?;
    Ok(Guard { _writer: guard })
}

fn open(path: &PathBuf) -> Result<File, Error> {
    OpenOptions::new().create(true).append(true).open(path).context(TracesSnafu { path })
}
