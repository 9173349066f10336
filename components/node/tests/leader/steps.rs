//! What becomes of runs when a step has ended.

use std::time::Duration;

use chicoryford_fleet::run::Work;
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
use crate::fleet::scoring;
use crate::fleet::step;
use crate::fleet::until;
use crate::member::BOUND;
use crate::member::Kept;
use crate::member::greet;

/// A path that is closed: a host tells the next leader of a run before its step is read, and the step
/// ends while it is unread. It is asked again when the step has been looked at.
#[actix_rt::test]
async fn a_run_that_was_told_before_its_step_was_read_is_stopped_when_the_step_has_ended() {
    let (fleet, kept) = (Fleet::start().await, Kept::default());
    let store = fleet.store(&kept).await;
    fleet.submit("a").await;
    drop(store);
    fleet.next_leader();
    let host = fleet.host(vec![scoring("a")]).await;
    host.reported();
    pause(100).await;
    fleet.end("a").await;
    assert!(host.stops("a").await, "the step has ended, and its scorer is called");
}

/// Guards against steps that last longer by the time in which nobody led.
#[actix_rt::test]
async fn the_fleets_clock_goes_on_while_nobody_leads_and_never_runs_ahead() {
    let (fleet, kept) = (Fleet::start().await, Kept::default());
    let _store = fleet.store(&kept).await;
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

/// Symptom: hosts and the leader are behind by seconds, orders and words to stop are read late, and the
/// leadership is lost again.
/// Sequence: the leader changes, and the part of an open step lies on a store that is not there.
/// Cause: with each look at the steps that are still to be read, twenty times a second, all hosts are
/// asked to tell all that they have made of all runs.
#[actix_rt::test]
async fn hosts_are_not_asked_for_all_runs_at_each_look_at_a_step_that_cannot_be_read() {
    let (fleet, kept) = (Fleet::start().await, Kept::default());
    let store = fleet.store(&kept).await;
    fleet.submit("a").await;
    drop(store);
    fleet.next_leader();
    let host = fleet.host(Vec::new()).await;
    host.reported();
    pause(100).await;
    let before = host.asked.get();
    pause(2_000).await;
    let asked = host.asked.get() - before;
    assert!(asked <= 4, "asked {asked} times in two seconds, and nothing had changed");
}

/// Symptom: a host begins a run that a leader ordered which leads no longer.
/// Sequence: frames wait for a host that reads slowly; the leadership ends; the host reads on.
/// Cause: what is queued is still sent.
#[actix_rt::test]
async fn orders_that_wait_when_the_leadership_ends_are_not_sent() {
    let fleet = Fleet::start().await;
    let (mut stream, alive) = fleet.slow_host().await;
    // The last of them lie in the queue, and those before in the sockets.
    let given = fleet.fill().await - 1_000;
    fleet.leader().stop();
    let mut got = Vec::new();
    let limit = Duration::from_secs(2);
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(limit, stream.next()).await {
        if let LeaderMessage::Work { work: Work::Run(job), .. } = decode(&frame).unwrap() {
            got.push(job.run);
        }
    }
    alive.abort();
    let late = got.iter().filter(|run| **run >= given).count();
    assert_eq!(late, 0, "of the last thousand, of {} in all", got.len());
}

/// Symptom: a scorer is called for a step that ended more than three seconds ago.
/// Sequence: so many frames wait for a host that there is room for no more; a step ends of which it has
/// a run; the host reads on, and its connection stays.
/// Cause: a word to stop that finds no room is dropped, and nobody says it again.
#[actix_rt::test]
async fn a_word_to_stop_that_finds_no_room_is_said_again() {
    let (fleet, leader, _store) = Fleet::taken_over().await;
    let (mut stream, alive) = fleet.slow_host().await;
    leader.handle_report("h", &scoring("a"));
    leader.host_ready("h", "here", u64::MAX);
    assert_eq!(leader.plan.borrow().host("a", 0), Some(("h".to_owned(), 1)));
    fleet.fill().await;
    fleet.end("a").await;
    let ended = Instant::now();
    let (mut stopped, mut open) = (false, true);
    while open && !stopped && ended.elapsed() < BOUND {
        match tokio::time::timeout(BOUND, stream.next()).await {
            Ok(Some(Ok(frame))) => {
                let down: LeaderMessage = decode(&frame).unwrap();
                stopped = matches!(
                    down,
                    LeaderMessage::Work { work: Work::Stop { .. } | Work::Tell, .. }
                );
            }
            Ok(_) => open = false,
            Err(_) => {}
        }
    }
    alive.abort();
    assert!(stopped || !open, "the host is connected, and goes on with the run");
}

/// Symptom: a scorer is called for a step that ended more than three seconds ago.
/// Sequence: the leader changes. A host tells of its runs, which takes a moment; meanwhile the leader
/// reads the step and asks all hosts again. The host then tells that these were all. The step ends.
/// Cause: a host that has not told all of its runs yet is not asked again, though what it told so far
/// was passed over because the step was not read.
#[actix_rt::test]
async fn a_host_that_is_telling_when_a_step_is_read_is_asked_again() {
    let (fleet, kept) = (Fleet::start().await, Kept::default());
    let store = fleet.store(&kept).await;
    fleet.submit("a").await;
    drop(store);
    let leader = fleet.next_leader();
    let host = fleet.host(vec![scoring("a")]).await;
    pause(100).await;
    assert!(!leader.plan.borrow().has("a"), "it cannot be read yet");
    let _store = fleet.store(&kept).await;
    until("the step is read", || leader.plan.borrow().has("a")).await;
    pause(100).await;
    host.reported();
    pause(100).await;
    fleet.end("a").await;
    assert!(host.stops("a").await, "the step has ended, and its scorer is called");
}

/// Symptom: a scorer is called for a step that ended more than three seconds ago.
/// Sequence: the leader changes. A host tells of a run whose scorer it calls; the step is not read yet.
/// What was noted of another step lies on a store that does not answer. The first step ends.
/// Cause: open steps and their notes are read one after the other, and the runs of a step that is
/// still to be read are stopped only once its turn has come, also if it has ended meanwhile.
#[actix_rt::test]
async fn the_runs_of_an_ended_step_are_stopped_though_another_step_is_slow_to_read() {
    let (fleet, kept) = (Fleet::start().await, Kept::default());
    let store = fleet.store(&kept).await;
    fleet.submit("a").await;
    fleet.submit("b").await;
    fleet.note("a").await;
    drop(store);
    fleet.next_leader();
    let _store = fleet.store(&kept).await;
    let host = fleet.host(vec![scoring("b")]).await;
    host.reported();
    pause(300).await;
    fleet.end("b").await;
    assert!(host.stops("b").await, "the step has ended, and its scorer is called");
}

/// Symptom: a scorer is called for a step that ended more than three seconds ago.
/// Sequence: a host's connection breaks; it connects again and tells of its runs, which takes a moment,
/// during which the time is up that it has to come back. It tells that these were all. The step ends.
/// Cause: the host's runs were taken away although it had told of them, and a run whose scorer is being
/// called is not told again.
#[actix_rt::test]
async fn a_host_that_is_telling_when_its_time_is_up_keeps_its_runs() {
    let (fleet, leader, _store) = Fleet::taken_over().await;
    let first = fleet.host(vec![scoring("a")]).await;
    first.reported();
    until("the run is known", || leader.plan.borrow().host("a", 0).is_some()).await;
    drop(first);
    pause(100).await;
    let host = fleet.host(vec![scoring("a")]).await;
    pause(500).await;
    host.reported();
    pause(100).await;
    fleet.end("a").await;
    assert!(host.stops("a").await, "the step has ended, and its scorer is called");
}

/// Symptom: samples of a step run whose end was answered with "no such step", and nobody ends it again.
/// Sequence: a step is on its way to the stores, one of which does not answer; its trainer has lost the
/// connection and ends the step; then the stores' time is up, and the step is committed.
/// Cause: an end looks only at the steps that the log holds.
#[actix_rt::test]
async fn an_end_that_comes_while_its_step_is_being_submitted_is_not_answered_as_unknown() {
    let fleet = Fleet::start().await;
    let leader = fleet.leader();
    // It answers nothing.
    let _store = greet(fleet.links, "s").await;
    until("the store is connected", || leader.copies.count(|node| node == "s") == 1).await;
    let submitting = leader.clone();
    let submitted =
        actix_rt::spawn(async move { submitting.answer(Call::Submit(step("a"))).await });
    pause(200).await;
    let ended = leader.answer(Call::End("a".to_owned())).await;
    let submitted = submitted.await.unwrap();
    let runs = leader.plan.borrow().has("a");
    assert!(
        !(runs && matches!(ended, Answer::Unknown)),
        "submission: {submitted:?}, end: {ended:?}, and its samples run"
    );
}

/// Symptom: a host goes on with a run, or calls its scorer, though its step has ended.
/// Sequence: the leader has a word to stop in a host's queue; its lease runs out for a moment, since
/// heartbeats or its own loop are late, and then holds on in the same leadership. The host stays
/// connected.
/// Cause: what is work is skipped while the lease does not hold, as if the leadership had ended; words
/// to stop are skipped too, and nobody says them again.
#[actix_rt::test]
async fn a_word_to_stop_is_not_lost_when_the_lease_runs_out_for_a_moment() {
    let fleet = Fleet::start().await;
    let leader = fleet.leader();
    // Nobody knows its step any more. What it tells by itself was answered when it connected, so it
    // gets the run only after that.
    let host = fleet.host(Vec::new()).await;
    host.reported();
    until("the host is connected", || leader.copies.count(|node| node == "h") == 1).await;
    pause(300).await;
    host.runs.borrow_mut().push(scoring("a"));
    leader.handle_report("h", &scoring("a"));
    // The leader's loop is held up for longer than its lease.
    std::thread::sleep(Duration::from_millis(460));
    assert!(!leader.leads(), "the lease holds");
    until("the lease holds again", || leader.leads()).await;
    let stopped = host.stops("a").await;
    let same = leader.leads() && !host.task.is_finished();
    assert!(stopped || !same, "the same leadership and connection, and the run goes on");
}

/// Symptom: a host whose queue was full is not told to stop runs of steps that end, for as long as it
/// takes to read all that was queued.
/// Sequence: there is no room for more; the host lives and reads slowly; a step ends.
/// Cause: the follower is forgotten, but its connection is not ended: all that is queued is still sent
/// first, and the sender waits in a full socket without noticing.
#[actix_rt::test]
async fn the_connection_of_a_host_with_a_full_queue_ends() {
    let fleet = Fleet::start().await;
    let leader = fleet.leader();
    let (mut stream, alive) = fleet.slow_host().await;
    fleet.fill().await;
    let began = Instant::now();
    let connected = || leader.copies.count(|node| node == "h") == 1;
    // Two hundred frames a second.
    while connected() && began.elapsed() < BOUND {
        for _ in 0..10 {
            let _ = tokio::time::timeout(Duration::from_millis(5), stream.next()).await;
        }
        pause(50).await;
    }
    alive.abort();
    assert!(!connected(), "three seconds after its queue was full");
}

/// Symptom: a scorer is called for a step that ended more than three seconds ago.
/// Sequence: the leader changes. A host tells of a run whose scorer it calls; the step's part is being read
/// still, or its notes are, from a store that does not answer. The step ends.
/// Cause: the run was passed over since its step was still to be read; the host is asked again only when
/// the reading has come to its end, which takes 0.8 s for each note, and an end meanwhile asks nobody.
#[actix_rt::test]
async fn the_runs_of_an_ended_step_are_stopped_though_it_is_slow_to_read_itself() {
    let (fleet, kept) = (Fleet::start().await, Kept::default());
    let store = fleet.store(&kept).await;
    fleet.submit("a").await;
    fleet.note("a").await;
    drop(store);
    fleet.next_leader();
    let _store = fleet.store(&kept).await;
    let host = fleet.host(vec![scoring("a")]).await;
    host.reported();
    pause(300).await;
    fleet.end("a").await;
    assert!(host.stops("a").await, "the step has ended, and its scorer is called");
}

/// Symptom: a scorer is called for a step that ended more than three seconds ago.
/// Sequence: a host has connected anew and tells of its runs; the leader then reads the last word that came
/// on the connection before, that all runs were told, and that this connection has ended. The time is up
/// that the host has to come back. It tells that these were all. The step ends.
/// Cause: a word of an older connection undoes what was noted of the newer one, on which the host is
/// telling.
#[actix_rt::test]
async fn a_late_word_of_the_connection_before_does_not_take_a_hosts_runs_away() {
    let (fleet, leader, _store) = Fleet::taken_over().await;
    let first = fleet.host(vec![scoring("a")]).await;
    first.reported();
    until("the run is known", || leader.plan.borrow().host("a", 0).is_some()).await;
    let host = fleet.host(vec![scoring("a")]).await;
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

/// A host judges an order's age by its own clock, which the leader gives back. Were it the clock of the
/// greeting for ever, each order would be refused as too old two seconds after it.
#[actix_rt::test]
async fn the_leader_gives_the_hosts_newest_clock_back_with_orders_and_signs() {
    let fleet = Fleet::start().await;
    let leader = fleet.leader();
    let (mut sink, mut stream) = greet(fleet.links, "h").await.split();
    until("the host is connected", || leader.copies.count(|node| node == "h") == 1).await;
    let clock = clock::now() + 60_000;
    sink.send(encode(&MemberMessage::Beat { clock, wall: Unix::default() })).await.unwrap();
    pause(300).await;
    assert!(fleet.followers.send_work("h", Work::Tell));
    let (mut order, mut sign) = (None, None);
    while order.is_none() || sign != Some(clock) {
        match decode(&stream.next().await.unwrap().unwrap()).unwrap() {
            LeaderMessage::Work { member_clock, .. } => order = Some(member_clock),
            LeaderMessage::Alive { member_clock, .. } => sign = Some(member_clock),
            _ => {}
        }
    }
    assert_eq!(order, Some(clock));
}
