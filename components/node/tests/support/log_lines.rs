//! Collects the log lines of a test.

use std::cell::RefCell;
use std::io::Write;
use std::sync::Once;

static SUBSCRIBER: Once = Once::new();

thread_local! {
    static LINES: RefCell<Option<Vec<u8>>> = const { RefCell::new(None) };
}

/// Collects the log lines of the thread that created it until it is dropped.
///
/// All tests of a process share one subscriber, which never ends. A call site caches whether any
/// subscriber wants its lines, also when it is first reached on a thread without one. With a
/// subscriber per thread, a test that runs at the same time could therefore suppress the lines of
/// another.
pub struct LogLines(());

impl LogLines {
    /// Starts to collect the log lines of this thread.
    pub fn collect() -> Self {
        SUBSCRIBER.call_once(|| {
            let log = tracing_subscriber::fmt().with_ansi(false).with_writer(|| ThreadWriter);
            tracing::subscriber::set_global_default(log.finish()).unwrap();
            // Call sites that were reached while the subscriber was installed may have cached that
            // there is none.
            tracing::callsite::rebuild_interest_cache();
        });
        LINES.with_borrow_mut(|lines| assert!(lines.replace(Vec::new()).is_none()));
        Self(())
    }

    /// Returns the lines about the attempts of requests since the last call.
    pub fn take(&self) -> Vec<String> {
        let bytes = LINES.with_borrow_mut(|lines| lines.replace(Vec::new())).unwrap_or_default();
        let text = String::from_utf8(bytes).unwrap();
        let lines = text.lines().filter(|line| line.contains("request_tried"));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for LogLines {
    fn drop(&mut self) {
        LINES.take();
    }
}

/// Appends to the lines of the current thread, if they are collected.
struct ThreadWriter;

impl Write for ThreadWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        LINES.with_borrow_mut(|lines| lines.iter_mut().for_each(|lines| lines.extend(bytes)));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
