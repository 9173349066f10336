//! A host's reports about its runs to the leader, on real sockets.

mod support {
    pub mod job;
}

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::Policy;
use chicoryford_fleet::plan::SampleOutput;
use chicoryford_fleet::run::HostCommand;
use chicoryford_fleet::run::RunReport;
use chicoryford_fleet::run::RunStatus;
use chicoryford_node::clock;
use chicoryford_node::forward::Forwarder;
use chicoryford_node::message::MemberMessage;
use chicoryford_node::runner::Runner;
use chicoryford_node::view::View;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use support::job::job;

/// Number of events in the engine's answer, and the time between two of them, which is long enough
/// for several progress reports.
const EVENTS: usize = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);

/// Answers one request with a stream of events.
async fn engine() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = vec![0; 4_096];
        assert!(stream.read(&mut bytes).await.unwrap() > 0);
        let head = "HTTP/1.1 200 OK\r\nx-attempt-id: s\r\nx-response-stamp: p\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        for number in 0..EVENTS {
            let event = format!("id: {number}\ndata: event {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await.unwrap();
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
        stream.write_all(b"0\r\n\r\n").await.unwrap();
        tokio::time::sleep(Duration::from_secs(5)).await;
    });
    address
}

/// Collects reports until the run has finished.
async fn reports(messages: &mut mpsc::Receiver<MemberMessage>) -> Vec<RunReport> {
    let mut reports: Vec<RunReport> = Vec::new();
    while !reports.last().is_some_and(|last| matches!(last.status, RunStatus::Finished(_))) {
        let message = tokio::time::timeout(Duration::from_secs(5), messages.recv()).await;
        if let MemberMessage::Report(report) =
            message.expect("the run continues").expect("the host runs")
        {
            reports.push(report);
        }
    }
    reports
}

/// Progress is reported four times a second, followed by a final report. Guards against a final
/// report that repeats all events: each text was sent to the leader two or three times, a tenth of
/// all traffic between the fleet's data centres.
#[actix_rt::test]
async fn each_event_is_reported_once_to_the_same_leader() {
    let runner = Runner::new(Rc::new(View::default()), Forwarder::new(Policy::default()));
    let (sender, mut messages) = mpsc::channel(1_024);
    runner.attach(sender);
    actix_rt::spawn(runner.clone().run());
    runner.handle_local(HostCommand::Run(Box::new(job(engine().await))));

    let reports = reports(&mut messages).await;

    let events: usize = reports.iter().map(|report| report.output.events.len()).sum();
    assert_eq!(events, EVENTS);
    let mut known = SampleOutput::default();
    assert!(reports.iter().all(|report| report.append_to(&mut known).is_some()));
    let whole: Vec<String> = (0..EVENTS).map(|number| format!("event {number}")).collect();
    assert_eq!(known.events, whole);
}

/// The reports to the previous leader are lost with it, so the next leader must get all events.
#[actix_rt::test]
async fn all_events_are_reported_to_the_next_leader() {
    let runner = Runner::new(Rc::new(View::default()), Forwarder::new(Policy::default()));
    let (sender, first) = mpsc::channel(1_024);
    runner.attach(sender);
    actix_rt::spawn(runner.clone().run());
    runner.handle_local(HostCommand::Run(Box::new(job(engine().await))));
    tokio::time::sleep(EVENT_INTERVAL * (EVENTS as u32) / 2).await;
    drop(first);
    runner.detach();
    let (sender, mut messages) = mpsc::channel(1_024);
    runner.attach(sender);

    let reports = reports(&mut messages).await;

    let mut known = SampleOutput::default();
    assert!(reports.iter().all(|report| report.append_to(&mut known).is_some()));
    assert_eq!(known.events.len(), EVENTS);
}

/// The queue to the leader may be full at the moment when a run finishes. Guards against dropping
/// the final report then: only runs with new events were reported again, so the leader never
/// received the finished sample.
#[actix_rt::test]
async fn the_end_of_a_run_that_finds_no_room_in_the_queue_is_reported_later() {
    let runner = Runner::new(Rc::new(View::default()), Forwarder::new(Policy::default()));
    let (sender, mut messages) = mpsc::channel(1);
    runner.attach(sender);
    actix_rt::spawn(runner.clone().run());
    runner.handle_local(HostCommand::Run(Box::new(job(engine().await))));
    tokio::time::sleep(EVENT_INTERVAL * (EVENTS as u32) + Duration::from_millis(500)).await;
    let mut finished = false;
    for _ in 0..10 {
        let message = tokio::time::timeout(Duration::from_secs(1), messages.recv()).await;
        let message = message.expect("the host runs").expect("the host runs");
        finished |= matches!(
            message,
            MemberMessage::Report(RunReport { status: RunStatus::Finished(_), .. })
        );
    }
    assert!(finished, "the end of the run was not reported");
}

/// The queue to the leader may be full at the moment when a host has reported all its runs. Guards
/// against dropping the message that says so: the leader assigns nothing to a host before this
/// message, so the host stayed idle.
#[actix_rt::test]
async fn the_end_of_the_reports_is_sent_later_if_the_queue_is_full() {
    let runner = Runner::new(Rc::new(View::default()), Forwarder::new(Policy::default()));
    let (sender, mut messages) = mpsc::channel(1);
    sender.try_send(MemberMessage::Alive(clock::wall())).unwrap();
    runner.attach(sender);
    actix_rt::spawn(runner.clone().run());
    let mut reported = false;
    for _ in 0..6 {
        let message = tokio::time::timeout(Duration::from_secs(1), messages.recv()).await;
        reported |= matches!(message.expect("the host runs"), Some(MemberMessage::Reported));
    }
    assert!(reported, "the end of the reports was not reported");
}
