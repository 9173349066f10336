//! Costs of samples that the next leader knows.

use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::run::Job;
use chicoryford_fleet::run::RunReport;
use chicoryford_fleet::run::RunStatus;
use chicoryford_node::frame::encode;
use chicoryford_node::message::MemberMessage;
use futures_util::SinkExt;

use crate::fleet::Fleet;
use crate::fleet::wait_until;
use crate::grants::announce_engine;
use crate::grants::connect_host;
use crate::grants::fleet;
use crate::grants::next_leaders_job;
use crate::grants::receive_job;
use crate::grants::scoring;
use crate::grants::submit;
use crate::member::Member;
use crate::member::Socket;
use crate::member::StoredParts;

/// Starts a fleet with a step whose sample has failed once, and returns it with its store, its host
/// and the order of the sample's second run.
async fn with_failed_sample(parts: &StoredParts) -> (Fleet, Member, Socket, Job) {
    let fleet = fleet().await;
    let store = fleet.store(parts).await;
    submit(&fleet, "a").await;
    let mut host = connect_host(&fleet, "h").await;
    let job = receive_job(&mut host).await;
    let failed = RunReport { status: RunStatus::Ended(RunEnd::Failed), ..scoring(&job) };
    host.send(encode(&MemberMessage::Report(failed))).await.unwrap();
    let again = receive_job(&mut host).await;
    assert_eq!(again.cost.failures, 1);
    (fleet, store, host, again)
}

/// Guards against a leader that counts the failures of an open step's sample from zero because the
/// host of its next run was lost together with the previous leader.
#[actix_rt::test]
async fn the_next_leader_knows_the_failures_of_an_open_step() {
    let parts = StoredParts::default();
    let (fleet, store, host, _) = with_failed_sample(&parts).await;
    drop((store, host));
    let job = next_leaders_job(&fleet, &parts, &[]).await;
    assert_eq!(job.cost.failures, 1);
}

/// Guards against a leader that counts the failures of a sample from zero because they occurred in
/// an earlier step, under the previous leader.
#[actix_rt::test]
async fn the_next_leader_knows_the_failures_of_ended_steps() {
    let parts = StoredParts::default();
    let (fleet, _store, host, _) = with_failed_sample(&parts).await;
    fleet.end("a").await;
    drop(host);
    fleet.next_leader();
    let _store = fleet.store(&parts).await;
    announce_engine(&fleet).await;
    submit(&fleet, "b").await;
    let job = receive_job(&mut connect_host(&fleet, "h2").await).await;
    assert_eq!(job.cost.failures, 1);
}

/// Guards against a scorer's call whose failures are lost together with its host and the leader.
#[actix_rt::test]
async fn the_next_leader_knows_the_failures_of_a_scorers_call() {
    let parts = StoredParts::default();
    let (fleet, store, mut host, job) = with_failed_sample(&parts).await;
    let mut report = scoring(&job);
    report.cost.scorer.failures = 2;
    host.send(encode(&MemberMessage::Report(report))).await.unwrap();
    let recorded = || fleet.replica.state().costs.get("s").map(|one| one.cost.scorer.failures);
    wait_until("the failures are recorded", || recorded() == Some(2)).await;
    drop((store, host));
    let job = next_leaders_job(&fleet, &parts, &[]).await;
    assert_eq!(job.cost.scorer.failures, 2);
}
