//! Log lines of key=value pairs, one for each event, on standard error.

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

/// Logging could not be set up.
#[derive(Debug, Error)]
pub enum LogError {
    /// The filter of the settings is malformed.
    #[error(
        "the `log` setting {0:?} is no filter: use a level (error, warn, info, debug, trace) or target=level pairs"
    )]
    Filter(String, #[source] tracing_subscriber::filter::ParseError),
    /// Logging was set up before.
    #[error("logging is set up already")]
    Twice,
}

/// Sends log lines to standard error.
///
/// # Errors
///
/// [`LogError`] if the filter is malformed or logging was set up before.
pub fn start(filter: &str) -> Result<(), LogError> {
    let parsed = EnvFilter::try_new(filter).map_err(|e| LogError::Filter(filter.to_owned(), e))?;
    tracing_subscriber::fmt()
        .with_env_filter(parsed)
        .with_writer(std::io::stderr)
        .event_format(KeyValue)
        .try_init()
        .map_err(|_| LogError::Twice)
}

/// Lines that wait for a slow reader of standard output; further ones are left out and counted,
/// because a request must not wait for its log line.
const LINES: usize = 8_192;

/// Sends log lines to standard output from a thread of its own, so that a reader that is stuck
/// holds up nothing else. The guard writes what is left when it is dropped.
///
/// # Errors
///
/// [`LogError`] if the filter is malformed or logging was set up before.
pub fn start_stdout(filter: &str) -> Result<WorkerGuard, LogError> {
    let parsed = EnvFilter::try_new(filter).map_err(|e| LogError::Filter(filter.to_owned(), e))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(LINES)
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

/// Tells whether `filter` is one that [`start`] takes.
///
/// # Errors
///
/// [`LogError::Filter`] if not.
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
        let mut fields = Fields { writer: &mut writer, result: Ok(()) };
        event.record(&mut fields);
        fields.result?;
        writeln!(writer)
    }
}

struct Fields<'a, 'w> {
    writer: &'a mut Writer<'w>,
    result: fmt::Result,
}

impl Fields<'_, '_> {
    fn pair(&mut self, name: &str, value: &str) {
        let quoted = value.is_empty() || value.contains([' ', '"', '=', '\n', '\r', '\t']);
        let written = if quoted {
            write!(self.writer, " {name}={value:?}")
        } else {
            write!(self.writer, " {name}={value}")
        };
        self.result = self.result.and(written);
    }
}

impl Visit for Fields<'_, '_> {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.pair(field.name(), value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.pair(field.name(), &format!("{value:?}"));
    }
}
