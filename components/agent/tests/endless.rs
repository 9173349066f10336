//! The agent's calls to an engine that sends bytes without end. Each must end with an error.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use chicoryford_agent::engine;
use chicoryford_types::Attempt;
use chicoryford_types::Class;
use chicoryford_types::Fingerprint;
use chicoryford_types::Incarnation;
use chicoryford_types::Model;
use chicoryford_types::RequestId;
use chicoryford_types::Work;
use chicoryford_types::Workspace;
use chicoryford_types::request::Generation;
use chicoryford_types::request::Task;
use chicoryford_wire::Client;

/// Within this time a call must end. Requests other than completions have 2 s.
const LIMIT: Duration = Duration::from_secs(6);
const EVENTS: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Sends the first bytes to each caller, then the second ones again and again until it closes.
fn pour(first: String, again: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (first, again) = (first.clone(), again.clone());
            thread::spawn(move || {
                let mut stream = stream.unwrap();
                let mut request = [0; 4_096];
                let is_read = stream.read(&mut request).is_ok_and(|read| read > 0);
                let mut is_open = is_read && stream.write_all(first.as_bytes()).is_ok();
                while is_open {
                    is_open = stream.write_all(again.as_bytes()).is_ok();
                }
            });
        }
    });
    address
}

fn work(task: &Generation) -> Work {
    Work {
        request: RequestId::default(),
        attempt: Attempt::default(),
        incarnation: Incarnation::default(),
        workspace: Workspace::default(),
        model: Model::default(),
        class: Class::Batch,
        budget_ms: 10_000,
        repeatable: true,
        key: None,
        floor: None,
        fingerprint: Fingerprint::default(),
        suspect: false,
        task: Task::Generate(task.clone()),
    }
}

/// Guards against completions that go on for ever although no event comes, with memory that grows.
#[test]
fn a_completion_without_events_ends_although_bytes_arrive() {
    actix_rt::System::new().block_on(async {
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        for (first, again) in [("data: ", "x".repeat(4_096)), (":", ": none\n".repeat(500))] {
            let address = pour(format!("{EVENTS}{}", chunk(first)), chunk(&again));
            let client = Client::new(None, None);
            let task = Generation::default();
            let work = work(&task);
            let read = async {
                let mut stream = engine::generate(&client, &address, &work, &task).await?;
                stream.next().await
            };
            let read = actix_rt::time::timeout(LIMIT, read).await;
            assert!(read.expect("it has no end").is_err(), "{first:?}");
        }
    });
}

/// Guards against a health check, or the start of a completion, that never ends.
#[test]
fn a_reply_without_end_is_given_up() {
    actix_rt::System::new().block_on(async {
        let json = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n";
        let header = "HTTP/1.1 200 OK\r\nx-a: ";
        let interim = "HTTP/1.1 100 Continue\r\n\r\n";
        for (first, again) in [(json, " "), (header, "x"), ("", interim)] {
            let address = pour(first.to_owned(), again.repeat(1_000));
            let client = Client::new(None, None);
            let health = actix_rt::time::timeout(LIMIT, engine::health(&client, &address)).await;
            assert!(health.expect("it has no end").is_err(), "{first:?}{again:?}");
        }
    });
}
