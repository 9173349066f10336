//! A test of the collection of log lines in tests.

mod support {
    pub mod log_lines;
}

use support::log_lines::LogLines;

fn log(number: u32) {
    tracing::info!(event = "request_tried", number);
}

/// Guards against a line that is missing because another test of the process, which collects no
/// lines, reached its call site first. The test runners that use threads run tests in one process.
#[test]
fn lines_are_collected_also_if_another_thread_reached_the_call_site_first() {
    let lines = LogLines::collect();
    std::thread::spawn(|| log(1)).join().unwrap();
    log(2);
    let lines = lines.take();
    assert!(lines.len() == 1 && lines[0].contains("number=2"), "{lines:?}");
}
