//! Tests the log of a fleet process whose output is not read.

use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use chicoryford_standin::ports;
use chicoryford_standin::raw;
use chicoryford_standin::raw::Question;

use crate::fixture::WAIT_TIMEOUT;

/// Requests that each log about 150 bytes, together several times the capacity of a pipe.
const REQUESTS: usize = 1_500;

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }
}

fn submit(address: SocketAddr) -> u16 {
    let question = Question {
        method: "PUT",
        path: "/configuration",
        body: b"{\"Version\": 1, \"Routes\": [{\"Name\": \"no more than this\"}]}",
        ..Question::default()
    };
    raw::ask(address, &question).status
}

/// Guards against requests that all hang when the reader of the process's standard output stops and
/// the pipe fills up. A request must not wait until its log line has been written.
#[test]
fn requests_are_answered_while_the_log_reader_is_stuck() {
    let folder = tempfile::tempdir().unwrap();
    let control = ports::address();
    let link = ports::address().port();
    let settings = folder.path().join("node.yaml");
    let data = folder.path().join("data");
    let text = format!(
        "node: a\nip: {}\ndata_centre: z\nlink_port: {link}\nseeds: [\"{control}\"]\n\
         first_start: true\ndata: {}\ncontrol: \"{control}\"\n",
        control.ip(),
        data.display()
    );
    std::fs::write(&settings, text).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_chicoryfordd"))
        .arg("--node")
        .arg(&settings)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let _process = Process(child);
    let started = Instant::now();
    while submit(control) != 400 {
        assert!(started.elapsed() < WAIT_TIMEOUT, "the process accepts no requests");
        std::thread::sleep(Duration::from_millis(20));
    }
    for number in 0..REQUESTS {
        assert_eq!(submit(control), 400, "request {number}");
    }
}
