//! What a host tells the leader of its runs, on real sockets.

mod support {
    pub mod job;
}

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::Policy;
use chicoryford_fleet::plan::Made;
use chicoryford_fleet::run::Report;
use chicoryford_fleet::run::Standing;
use chicoryford_fleet::run::Work;
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

/// Events of the engine's one answer, and the time between two of them: long enough for the host to
/// tell of progress several times.
const EVENTS: usize = 12;
const GAP: Duration = Duration::from_millis(60);

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
            tokio::time::sleep(GAP).await;
        }
        stream.write_all(b"0\r\n\r\n").await.unwrap();
        tokio::time::sleep(Duration::from_secs(5)).await;
    });
    address
}

/// Takes reports until the run has finished.
async fn reports(told: &mut mpsc::Receiver<MemberMessage>) -> Vec<Report> {
    let mut reports: Vec<Report> = Vec::new();
    while !reports.last().is_some_and(|last| matches!(last.standing, Standing::Finished(_))) {
        let up = tokio::time::timeout(Duration::from_secs(5), told.recv()).await;
        if let MemberMessage::Report(report) = up.expect("the run goes on").expect("the host lives")
        {
            reports.push(report);
        }
    }
    reports
}

/// Symptom: each text crossed to the leader twice, and in part three times, which was a tenth of all
/// that the fleet's data centres sent each other. Sequence: a host tells of progress four times a
/// second, then of the end. Cause: the word of the end brought all events again.
#[actix_rt::test]
async fn each_event_is_told_once_while_the_leader_stays() {
    let runner = Runner::new(Rc::new(View::default()), Forwarder::new(Policy::default()));
    let (up, mut told) = mpsc::channel(1_024);
    runner.attach(up);
    actix_rt::spawn(runner.clone().run());
    runner.handle_local(Work::Run(Box::new(job(engine().await))));

    let reports = reports(&mut told).await;

    let events: usize = reports.iter().map(|report| report.made.events.len()).sum();
    assert_eq!(events, EVENTS);
    let mut known = Made::default();
    assert!(reports.iter().all(|report| report.add_to(&mut known)));
    let whole: Vec<String> = (0..EVENTS).map(|number| format!("event {number}")).collect();
    assert_eq!(known.events, whole);
}

/// The next leader knows nothing of the run, and must be told all of it: what the leader before was
/// told is lost with it.
#[actix_rt::test]
async fn the_next_leader_is_told_all_events() {
    let runner = Runner::new(Rc::new(View::default()), Forwarder::new(Policy::default()));
    let (up, first) = mpsc::channel(1_024);
    runner.attach(up);
    actix_rt::spawn(runner.clone().run());
    runner.handle_local(Work::Run(Box::new(job(engine().await))));
    tokio::time::sleep(GAP * (EVENTS as u32) / 2).await;
    drop(first);
    runner.detach();
    let (up, mut told) = mpsc::channel(1_024);
    runner.attach(up);

    let reports = reports(&mut told).await;

    let mut known = Made::default();
    assert!(reports.iter().all(|report| report.add_to(&mut known)));
    assert_eq!(known.events.len(), EVENTS);
}

/// Symptom: a sample is whole at its host, and the leader never hears of it.
/// Sequence: the way to the leader has no room at the moment at which the run finishes; then it has.
/// Cause: a report that finds no room is dropped, and only runs whose events still come are told of
/// again.
#[actix_rt::test]
async fn the_end_of_a_run_that_finds_no_room_is_told_later() {
    let runner = Runner::new(Rc::new(View::default()), Forwarder::new(Policy::default()));
    let (up, mut told) = mpsc::channel(1);
    runner.attach(up);
    actix_rt::spawn(runner.clone().run());
    runner.handle_local(Work::Run(Box::new(job(engine().await))));
    tokio::time::sleep(GAP * (EVENTS as u32) + Duration::from_millis(500)).await;
    let mut finished = false;
    for _ in 0..10 {
        let up = tokio::time::timeout(Duration::from_secs(1), told.recv()).await;
        let up = up.expect("the host lives").expect("the host lives");
        finished |=
            matches!(up, MemberMessage::Report(Report { standing: Standing::Finished(_), .. }));
    }
    assert!(finished, "the leader was not told that the run has finished");
}

/// Symptom: a host is connected, and no run is given to it.
/// Sequence: the way to the leader has no room at the moment at which the host has told of all its runs.
/// Cause: the word that these were all was dropped, and the leader gives nothing to a host before it.
#[actix_rt::test]
async fn the_word_that_all_runs_were_told_is_said_later_if_it_finds_no_room() {
    let runner = Runner::new(Rc::new(View::default()), Forwarder::new(Policy::default()));
    let (up, mut told) = mpsc::channel(1);
    up.try_send(MemberMessage::Alive(clock::wall())).unwrap();
    runner.attach(up);
    actix_rt::spawn(runner.clone().run());
    let mut reported = false;
    for _ in 0..6 {
        let up = tokio::time::timeout(Duration::from_secs(1), told.recv()).await;
        reported |= matches!(up.expect("the host lives"), Some(MemberMessage::Reported));
    }
    assert!(reported, "the leader was not told that these were all");
}
