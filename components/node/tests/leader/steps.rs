//! Runs after the end of a step.

use std::time::Duration;

use chicoryford_fleet::run::HostCommand;
use chicoryford_node::clock;
use chicoryford_node::frame::decode;
use chicoryford_node::frame::encode;
use chicoryford_node::message::Answer;
use chicoryford_node::message::Call;
use chicoryford_node::message::LeaderMessage;
use chicoryford_node::message::MemberMessage;
use chicoryford_types::Unix;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::pause;
use crate::fleet::scoring_report;
use crate::fleet::step;
use crate::fleet::wait_until;
use crate::member::STOP_LIMIT;
use crate::member::StoredParts;
use crate::member::connect_store;

/// A host reports a run to the next leader before its step is read, and the step ends while it is
/// unread. The host must be asked again once the step has been examined.
#[actix_rt::test]
async fn a_run_reported_before_its_step_was_read_is_stopped_when_the_step_has_ended() {
    let (fleet, parts) = (Fleet::start().await, StoredParts::default());
    let store = fleet.store(&parts).await;
    fleet.submit("a").await;
    drop(store);
    fleet.next_leader();
    let host = fleet.host(vec![scoring_report("a")]).await;
    host.reported();
    pause(100).await;
    fleet.end("a").await;
    assert!(host.stops("a").await, "the step has ended, and its scorer is called");
}

/// Guards against steps whose time limits are extended by the time without a leader.
#[actix_rt::test]
async fn the_fleets_clock_continues_without_a_leader_and_never_runs_ahead() {
    let (fleet, parts) = (Fleet::start().await, StoredParts::default());
    let _store = fleet.store(&parts).await;
    fleet.submit("a").await;
    let before = fleet.leader();
    let read = before.fleet_now();
    before.stop();
    pause(900).await;
    let next = fleet.next_leader();
    let (clock, most) = (next.fleet_now(), before.fleet_now());
    assert!(clock >= read + 800, "{clock} is {} ms after {read}", clock - read);
    assert!(clock <= most, "{clock} is ahead of {most}");
}

/// The leader changes, and the part of an open step is on a missing store. Guards against asking
/// all hosts to report everything at each attempt to read the step, twenty times a second: hosts
/// and leader fell behind by seconds, orders were read late, and the leadership was lost again.
#[actix_rt::test]
async fn hosts_are_not_asked_for_all_runs_at_each_look_at_a_step_that_cannot_be_read() {
    let (fleet, parts) = (Fleet::start().await, StoredParts::default());
    let store = fleet.store(&parts).await;
    fleet.submit("a").await;
    drop(store);
    fleet.next_leader();
    let host = fleet.host(Vec::new()).await;
    host.reported();
    pause(100).await;
    let before = host.report_requests.get();
    pause(2_000).await;
    let asked = host.report_requests.get() - before;
    assert!(asked <= 4, "asked {asked} times in two seconds without any change");
}

/// Frames are queued for a host that reads slowly when the leadership ends. Guards against still
/// sending the queued orders: the host started runs of a leader that no longer led.
#[actix_rt::test]
async fn orders_that_wait_when_the_leadership_ends_are_not_sent() {
    let fleet = Fleet::start().await;
    let (mut stream, heartbeats) = fleet.slow_host().await;
    // The last of them are in the queue, and those before in socket buffers.
    let sent = fleet.fill_queue().await - 1_000;
    fleet.leader().stop();
    let mut received = Vec::new();
    let limit = Duration::from_secs(2);
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(limit, stream.next()).await {
        if let LeaderMessage::Work { work: HostCommand::Run(job), .. } = decode(&frame).unwrap() {
            received.push(job.run);
        }
    }
    heartbeats.abort();
    let late = received.iter().filter(|run| **run >= sent).count();
    assert_eq!(late, 0, "of the last thousand orders, of {} received in total", received.len());
}

/// A host's queue is full when a step ends of which it has a run; the host continues to read, and
/// stays connected. Guards against dropping the order to stop without repeating it: the scorer was
/// called more than three seconds after the end.
#[actix_rt::test]
async fn a_word_to_stop_that_finds_no_room_in_the_queue_is_repeated() {
    let (fleet, leader, _store) = Fleet::with_adopted_step().await;
    let (mut stream, heartbeats) = fleet.slow_host().await;
    leader.handle_report("h", &scoring_report("a"));
    leader.host_ready("h", "here", u64::MAX);
    assert_eq!(leader.plan.borrow().host("a", 0), Some(("h".to_owned(), 1)));
    fleet.fill_queue().await;
    fleet.end("a").await;
    let ended = Instant::now();
    let (mut stopped, mut open) = (false, true);
    while open && !stopped && ended.elapsed() < STOP_LIMIT {
        match tokio::time::timeout(STOP_LIMIT, stream.next()).await {
            Ok(Some(Ok(frame))) => {
                let message: LeaderMessage = decode(&frame).unwrap();
                stopped = matches!(
                    message,
                    LeaderMessage::Work { work: HostCommand::Stop { .. } | HostCommand::Tell, .. }
                );
            }
            Ok(_) => open = false,
            Err(_) => {}
        }
    }
    heartbeats.abort();
    assert!(stopped || !open, "the host is connected, and continues the run");
}

/// The leader changes. While a host is reporting its runs, the leader reads the step and asks all
/// hosts again; then the host completes its reports, and the step ends. Guards against not asking a
/// host again that is still reporting, although its earlier reports were ignored because the step
/// was unread: the scorer was called more than three seconds after the end.
#[actix_rt::test]
async fn a_host_that_is_telling_when_a_step_is_read_is_asked_again() {
    let (fleet, parts) = (Fleet::start().await, StoredParts::default());
    let store = fleet.store(&parts).await;
    fleet.submit("a").await;
    drop(store);
    let leader = fleet.next_leader();
    let host = fleet.host(vec![scoring_report("a")]).await;
    pause(100).await;
    assert!(!leader.plan.borrow().has_step("a"), "the step cannot be read yet");
    let _store = fleet.store(&parts).await;
    wait_until("the step is read", || leader.plan.borrow().has_step("a")).await;
    pause(100).await;
    host.reported();
    pause(100).await;
    fleet.end("a").await;
    assert!(host.stops("a").await, "the step has ended, and its scorer is called");
}

/// The leader changes. A host reports a run whose scorer it calls, before the step is read; the
/// checkpoints of another step are on a store that does not answer; the first step ends. Guards
/// against reading steps and their checkpoints one after the other: the runs of an unread step were
/// stopped only after its turn, more than three seconds after the end.
#[actix_rt::test]
async fn the_runs_of_an_ended_step_are_stopped_though_another_step_is_slow_to_read() {
    let (fleet, parts) = (Fleet::start().await, StoredParts::default());
    let store = fleet.store(&parts).await;
    fleet.submit("a").await;
    fleet.submit("b").await;
    fleet.commit_checkpoints("a").await;
    drop(store);
    fleet.next_leader();
    let _store = fleet.store(&parts).await;
    let host = fleet.host(vec![scoring_report("b")]).await;
    host.reported();
    pause(300).await;
    fleet.end("b").await;
    assert!(host.stops("b").await, "the step has ended, and its scorer is called");
}

/// A host's connection breaks, and the time to reconnect expires while the host is reporting its
/// runs on a new connection; then the reports are complete, and the step ends. Guards against
/// taking the reported runs away: a run whose scorer is being called is not reported again, so the
/// scorer was called more than three seconds after the end.
#[actix_rt::test]
async fn a_host_that_is_telling_when_its_time_is_up_keeps_its_runs() {
    let (fleet, leader, _store) = Fleet::with_adopted_step().await;
    let first = fleet.host(vec![scoring_report("a")]).await;
    first.reported();
    wait_until("the run is known", || leader.plan.borrow().host("a", 0).is_some()).await;
    drop(first);
    pause(100).await;
    let host = fleet.host(vec![scoring_report("a")]).await;
    pause(500).await;
    host.reported();
    pause(100).await;
    fleet.end("a").await;
    assert!(host.stops("a").await, "the step has ended, and its scorer is called");
}

/// A step is on its way to the stores, one of which does not answer; its trainer has lost the
/// connection and ends the step; then the write times out, and the step is committed. Guards
/// against looking only at the steps in the log: the end was answered with "no such step", and the
/// samples ran without anyone to end them.
#[actix_rt::test]
async fn an_end_that_comes_while_its_step_is_being_submitted_is_not_answered_as_unknown() {
    let fleet = Fleet::start().await;
    let leader = fleet.leader();
    // It answers nothing.
    let _store = connect_store(fleet.links, "s").await;
    wait_until("the store is connected", || leader.copies.count(|node| node == "s") == 1).await;
    let submitting = leader.clone();
    let submitted =
        actix_rt::spawn(async move { submitting.answer(Call::Submit(step("a"))).await });
    pause(200).await;
    let ended = leader.answer(Call::End("a".to_owned())).await;
    let submitted = submitted.await.unwrap();
    let runs = leader.plan.borrow().has_step("a");
    assert!(
        !(runs && matches!(ended, Answer::Unknown)),
        "submission: {submitted:?}, end: {ended:?}, and its samples run"
    );
}

/// An order to stop is queued for a host when the leader's lease expires for a moment, because
/// heartbeats or its own event loop are delayed; then the lease is renewed in the same leadership,
/// and the host stays connected. Guards against skipping queued work while the lease is expired, as
/// if the leadership had ended: the order to stop was never repeated, and the host continued the
/// run.
#[actix_rt::test]
async fn a_word_to_stop_is_not_lost_when_the_lease_runs_out_for_a_moment() {
    let fleet = Fleet::start().await;
    let leader = fleet.leader();
    // The step is unknown. What the host reports by itself was answered when it connected, so it
    // gets the run only after that.
    let host = fleet.host(Vec::new()).await;
    host.reported();
    wait_until("the host is connected", || leader.copies.count(|node| node == "h") == 1).await;
    pause(300).await;
    host.runs.borrow_mut().push(scoring_report("a"));
    leader.handle_report("h", &scoring_report("a"));
    // The leader's event loop is blocked for longer than its lease.
    std::thread::sleep(Duration::from_millis(460));
    assert!(!leader.leads(), "the lease holds");
    wait_until("the lease holds again", || leader.leads()).await;
    let stopped = host.stops("a").await;
    let same = leader.leads() && !host.task.is_finished();
    assert!(stopped || !same, "same leadership and connection, and the run continues");
}

/// A host reads slowly, its queue is full, and a step ends. Guards against removing the follower
/// without ending its connection: all queued frames were still sent first, the sender was blocked
/// by a full socket without noticing, and the host did not get the orders to stop.
#[actix_rt::test]
async fn the_connection_of_a_host_with_a_full_queue_ends() {
    let fleet = Fleet::start().await;
    let leader = fleet.leader();
    let (mut stream, heartbeats) = fleet.slow_host().await;
    fleet.fill_queue().await;
    let began = Instant::now();
    let connected = || leader.copies.count(|node| node == "h") == 1;
    // Reads two hundred frames a second.
    while connected() && began.elapsed() < STOP_LIMIT {
        for _ in 0..10 {
            let _ = tokio::time::timeout(Duration::from_millis(5), stream.next()).await;
        }
        pause(50).await;
    }
    heartbeats.abort();
    assert!(!connected(), "three seconds after its queue was full");
}

/// The leader changes. A host reports a run whose scorer it calls while the step's part or
/// checkpoints are still being read from a store that does not answer; the step ends. Guards
/// against asking the host again only when reading has finished, which takes 0.8 s for each
/// checkpoint: the report had been ignored, and the scorer was called more than three seconds after
/// the end.
#[actix_rt::test]
async fn the_runs_of_an_ended_step_are_stopped_though_it_is_slow_to_read_itself() {
    let (fleet, parts) = (Fleet::start().await, StoredParts::default());
    let store = fleet.store(&parts).await;
    fleet.submit("a").await;
    fleet.commit_checkpoints("a").await;
    drop(store);
    fleet.next_leader();
    let _store = fleet.store(&parts).await;
    let host = fleet.host(vec![scoring_report("a")]).await;
    host.reported();
    pause(300).await;
    fleet.end("a").await;
    assert!(host.stops("a").await, "the step has ended, and its scorer is called");
}

/// A host is reporting its runs on a new connection when the leader reads the last message on the
/// old connection, which says that all runs were reported, and then its end. The time to reconnect
/// expires, the reports on the new connection are complete, and the step ends. Guards against a
/// late message of the old connection that undoes the state of the new one: the runs were taken
/// away, and the scorer was called more than three seconds after the end.
#[actix_rt::test]
async fn a_late_message_on_the_old_connection_does_not_take_a_hosts_runs_away() {
    let (fleet, leader, _store) = Fleet::with_adopted_step().await;
    let first = fleet.host(vec![scoring_report("a")]).await;
    first.reported();
    wait_until("the run is known", || leader.plan.borrow().host("a", 0).is_some()).await;
    let host = fleet.host(vec![scoring_report("a")]).await;
    pause(100).await;
    first.reported();
    pause(100).await;
    drop(first);
    pause(600).await;
    host.reported();
    pause(100).await;
    fleet.end("a").await;
    assert!(host.stops("a").await, "the step has ended, and its scorer is called");
}

/// A host measures an order's age by its own clock, which the leader returns. If the leader kept
/// returning the clock of the hello, each order would be refused as too old two seconds later.
#[actix_rt::test]
async fn the_leader_returns_the_hosts_newest_clock_with_orders_and_heartbeats() {
    let fleet = Fleet::start().await;
    let leader = fleet.leader();
    let (mut sink, mut stream) = connect_store(fleet.links, "h").await.split();
    wait_until("the host is connected", || leader.copies.count(|node| node == "h") == 1).await;
    let clock = clock::now() + 60_000;
    sink.send(encode(&MemberMessage::Beat { clock, wall: Unix::default() })).await.unwrap();
    pause(300).await;
    assert!(fleet.followers.send_work("h", HostCommand::Tell));
    let (mut order, mut heartbeat) = (None, None);
    while order.is_none() || heartbeat != Some(clock) {
        match decode(&stream.next().await.unwrap().unwrap()).unwrap() {
            LeaderMessage::Work { member_clock, .. } => order = Some(member_clock),
            LeaderMessage::Alive { member_clock, .. } => heartbeat = Some(member_clock),
            _ => {}
        }
    }
    assert_eq!(order, Some(clock));
}
