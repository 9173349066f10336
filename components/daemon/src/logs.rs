//! Writes one log line of key=value pairs for each event, to standard error or standard output.

use std::fmt;

use thiserror::Error;
use tracing::Event;
use tracing::Subscriber;
use tracing::field::Field;
use tracing::field::Visit;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::FmtContext;
use tracing_subscriber::fmt::FormatEvent;
use tracing_subscriber::fmt::FormatFields;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::registry::LookupSpan;

/// Why logging could not be set up.
#[derive(Debug, Error)]
pub enum LogError {
    /// The filter in the settings is malformed.
    #[error(
        "the `log` setting {0:?} is not a valid filter: use a level (error, warn, info, debug, trace) or target=level pairs"
    )]
    Filter(String, #[source] tracing_subscriber::filter::ParseError),
    /// Logging was already set up.
    #[error("logging is already set up")]
    Twice,
}

/// Starts logging to standard error.
///
/// # Errors
///
/// Returns a [`LogError`] if the filter is malformed or logging is already set up.
pub fn start(filter: &str) -> Result<(), LogError> {
    let parsed = EnvFilter::try_new(filter).map_err(|e| LogError::Filter(filter.to_owned(), e))?;
    tracing_subscriber::fmt()
        .with_env_filter(parsed)
        .with_writer(std::io::stderr)
        .event_format(KeyValue)
        .try_init()
        .map_err(|_| LogError::Twice)
}

/// Number of lines that are queued for a slow reader of standard output. Further lines are dropped
/// and counted, because a request must not wait for its log line.
const MAX_QUEUED_LINES: usize = 8_192;

/// Starts logging to standard output from a separate thread, so that a stuck reader blocks nothing
/// else. Returns a guard that writes the queued lines when it is dropped.
///
/// # Errors
///
/// Returns a [`LogError`] if the filter is malformed or logging is already set up.
pub fn start_stdout(filter: &str) -> Result<WorkerGuard, LogError> {
    let parsed = EnvFilter::try_new(filter).map_err(|e| LogError::Filter(filter.to_owned(), e))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    tracing_subscriber::fmt()
        .with_env_filter(parsed)
        .with_writer(writer)
        .event_format(KeyValue)
        .try_init()
        .map_err(|_| LogError::Twice)?;
    Ok(guard)
}

/// Checks that [`start`] accepts `filter`.
///
/// # Errors
///
/// Returns [`LogError::Filter`] if the filter is malformed.
pub fn check(filter: &str) -> Result<(), LogError> {
    EnvFilter::try_new(filter).map(|_| ()).map_err(|e| LogError::Filter(filter.to_owned(), e))
}

/// Writes an event as `time=… level=… target=… key=value…`.
struct KeyValue;

impl<S, N> FormatEvent<S, N> for KeyValue
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let metadata = event.metadata();
        let now = chicoryford_kernel::unix().0;
        write!(writer, "time={}.{:03}", now / 1_000, now % 1_000)?;
        write!(writer, " level={} target={}", metadata.level(), metadata.target())?;
        let mut fields = FieldWriter { writer: &mut writer, result: Ok(()) };
        event.record(&mut fields);
        fields.result?;
        writeln!(writer)
    }
}

/// Writes the fields of an event and keeps the first error.
struct FieldWriter<'a, 'w> {
    writer: &'a mut Writer<'w>,
    result: fmt::Result,
}

impl FieldWriter<'_, '_> {
    fn write_pair(&mut self, name: &str, value: &str) {
        let needs_quotes = value.is_empty() || value.contains([' ', '"', '=', '\n', '\r', '\t']);
        let written = if needs_quotes {
            write!(self.writer, " {name}={value:?}")
        } else {
            write!(self.writer, " {name}={value}")
        };
        self.result = self.result.and(written);
    }
}

impl Visit for FieldWriter<'_, '_> {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.write_pair(field.name(), value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.write_pair(field.name(), &format!("{value:?}"));
    }
}
