//! Checkpoints of runs on the stores.

use std::time::Duration;

use chicoryford_fleet::plan::Checkpoint;
use chicoryford_fleet::plan::SampleOutput;
use chicoryford_fleet::run::RunReport;
use chicoryford_fleet::run::RunStatus;
use chicoryford_node::Settings;
use chicoryford_node::message::MemberMessage;
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::scoring_report;
use crate::fleet::wait_until;
use crate::member::Member;
use crate::member::StoredParts;

/// Returns the report of a run with so many events that is not complete.
fn running_report(count: usize) -> RunReport {
    let events: Vec<String> = (0..count).map(|number| number.to_string()).collect();
    let output = SampleOutput { events, last_id: Some(count.to_string()), versions: vec![1] };
    RunReport { status: RunStatus::Running, output, ..scoring_report("a") }
}

/// Guards against a run that begins again from its first event after the loss of all processes,
/// because its first checkpoint found too few stores and the next one began after its events.
#[actix_rt::test]
async fn a_checkpoint_that_finds_no_stores_is_contained_in_the_next_one() {
    let fleet = Fleet::start_with(|settings| Settings { tolerated: 2, ..settings }).await;
    let parts = StoredParts::default();
    let store = fleet.store(&parts).await;
    let other = |node| Member::connect(fleet.links, node, parts.clone(), Vec::new());
    let others = (other("s2").await, other("s3").await);
    wait_until("the stores are connected", || fleet.leader().copies.count(|_| true) == 3).await;
    fleet.submit("a").await;
    drop((store, others));
    let leader = fleet.next_leader();
    let _store = fleet.store(&parts).await;
    wait_until("the step is read", || leader.plan.borrow().has_step("a")).await;
    let host = Member::connect(fleet.links, "h", parts.clone(), vec![running_report(30)]).await;
    host.reported();
    wait_until("the run is known", || leader.plan.borrow().host("a", 0).is_some()).await;
    let known = parts.borrow().len();
    wait_until("a checkpoint was tried", || parts.borrow().len() > known).await;
    let _third = other("s2").await;
    wait_until("the stores are connected", || leader.copies.count(|_| true) == 3).await;
    let (began, mut sent) = (Instant::now(), 30);
    // The first attempt may still be waiting for more stores.
    let recorded = loop {
        sent += 30;
        host.sender.send(MemberMessage::Report(running_report(sent))).unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        let recorded = fleet.replica.state().steps["a"].checkpoints.clone();
        if let [first, ..] = recorded[..] {
            break first;
        }
        assert!(began.elapsed() < Duration::from_secs(5), "no checkpoint is recorded");
    };
    let read: Vec<Checkpoint> = rmp_serde::from_slice(&parts.borrow()[&recorded]).unwrap();
    assert_eq!((read[0].from, read[0].output.events[0].as_str()), (0, "0"));
}
