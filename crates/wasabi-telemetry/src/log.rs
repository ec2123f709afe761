//! Logs in logfmt: one line of key=value pairs per event.

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

/// Why logging could not be started.
#[derive(Debug)]
#[derive(Snafu)]
pub enum Error {
    /// The level is not a valid filter. Remedy: use a level such as `info`.
    #[snafu(display("log.level `{level}` is not a valid filter such as `info`: {source}"))]
    Level {
        /// The value of the setting.
        level: String,
        /// The cause.
        source: ParseError,
    },
    /// The trace file can't be opened. Remedy: correct the path or its permissions.
    #[snafu(display("cannot open the trace file {}: {source}", path.display()))]
    Traces {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Logging is already started. Remedy: start it only once per process.
    #[snafu(display("logging is already started"))]
    Started,
}

/// Maximum number of buffered lines. If standard output is not read fast enough, further lines are
/// dropped and counted.
const BUFFERED_LINES_MAX: usize = 8_192;

/// Keeps logging running. Flushes buffered lines when dropped.
#[derive(Debug)]
#[must_use]
pub struct Guard {
    _writer: WorkerGuard,
}

/// Starts logging to standard output and, if the settings name a trace file, writing spans to it.
///
/// Log lines are written by a separate thread, so that a slow reader of standard output blocks no
/// other thread.
///
/// # Errors
///
/// Returns an error if the level is invalid, the trace file can't be opened, or logging is already
/// started.
pub fn start(settings: &Log) -> Result<Guard, Error> {
    let level = &settings.level;
    let filter = EnvFilter::try_new(level).context(LevelSnafu { level })?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFERED_LINES_MAX)
        .thread_name("logs")
        .finish(io::stdout());
    let logs = layer()
        .event_format(tracing_logfmt::EventsFormatter::default())
        .fmt_fields(tracing_logfmt::FieldsFormatter::default())
        .with_ansi(false)
        .with_writer(writer)
        .with_filter(filter)
        .with_filter(filter_fn(|event| event.target() != trace::TARGET));
    let spans = settings.traces.as_ref().map(open_trace_file).transpose()?.map(|file| {
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

fn open_trace_file(path: &PathBuf) -> Result<File, Error> {
    OpenOptions::new().create(true).append(true).open(path).context(TracesSnafu { path })
}
