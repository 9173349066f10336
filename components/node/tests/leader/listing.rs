//! When results are listed and read: the last results of a step together.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_fleet::Sample;
use chicoryford_fleet::SampleResult;
use chicoryford_fleet::Step;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::run::RunReport;
use chicoryford_fleet::run::RunStatus;
use chicoryford_fleet::step::StoredResult;
use chicoryford_node::leader::Leader;
use chicoryford_node::listing::SampleVerdict;
use chicoryford_node::message::Answer;
use chicoryford_node::message::Call;
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::pause;
use crate::fleet::scoring_report;
use crate::fleet::step;
use crate::fleet::wait_until;

/// Number of samples of the step, in two groups, both of which its trainer waits for.
const SAMPLES: u32 = 20;
/// How long a trainer's read waits, in milliseconds.
const WAIT_MS: u64 = 1_000;

fn two_groups() -> Arc<Step> {
    let plain = step("a");
    let samples = (0..SAMPLES).map(|index| Sample {
        id: format!("a{index}"),
        group: format!("g{}", index / 10),
        ..plain.samples[0].clone()
    });
    Arc::new(Step { samples: samples.collect(), wanted_groups: 2, ..(*plain).clone() })
}

fn queue_verdict(leader: &Leader, index: u32) {
    let sample = leader.plan.borrow_mut().settle("a", index).unwrap();
    leader.outbox().put("a", SampleVerdict { index, sample, verdict: SampleResult::GivenUp });
}

/// Starts a fleet in which all samples of the step are listed except the last two, of which one has
/// its verdict.
async fn with_one_unsettled() -> (Fleet, Rc<Leader>) {
    let fleet = Fleet::start().await;
    let leader = fleet.leader();
    let answer = leader.answer(Call::Submit(two_groups())).await;
    assert!(matches!(answer, Answer::Done), "{answer:?}");
    for index in 0..SAMPLES - 2 {
        queue_verdict(&leader, index);
    }
    wait_until("the others are listed", || fleet.replica.state().steps["a"].results.len() == 18)
        .await;
    queue_verdict(&leader, SAMPLES - 2);
    (fleet, leader)
}

/// Reads from a position on as a trainer does. Returns the number of results, and the time until
/// the reply.
async fn read(leader: &Rc<Leader>, after: u64) -> (usize, Duration) {
    let began = Instant::now();
    let call = Call::Read { step: "a".to_owned(), after, wait_ms: WAIT_MS, near: String::new() };
    let Answer::Results { listed, .. } = leader.answer(call).await else { panic!("results") };
    (listed.len(), began.elapsed())
}

/// Guards against a sample that is given up and never listed, so that its step waits forever.
#[actix_rt::test]
async fn a_sample_that_its_engine_rejects_is_listed_as_given_up() {
    let (fleet, leader, _store) = Fleet::with_adopted_step().await;
    leader.handle_report("h", &report("a", RunStatus::Running));
    leader.handle_report("h", &report("a", RunStatus::Ended(RunEnd::Unfit)));
    wait_until("the sample is listed", || fleet.replica.state().steps["a"].results.len() == 1)
        .await;
    assert_eq!(fleet.replica.state().steps["a"].results[0].result, StoredResult::GivenUp);
}

fn report(step: &str, standing: RunStatus) -> RunReport {
    RunReport { status: standing, ..scoring_report(step) }
}

/// A result is listed just before the last ones, the trainer's read is answered with it at once,
/// and its next read starts half a second later. Guards against listing each result separately,
/// which delayed the whole step by this half second.
#[actix_rt::test]
async fn the_last_results_of_a_step_come_with_one_read() {
    let (_fleet, leader) = with_one_unsettled().await;
    let last = {
        let leader = leader.clone();
        actix_rt::spawn(async move {
            pause(300).await;
            queue_verdict(&leader, SAMPLES - 1);
        })
    };
    let (count, waited) = read(&leader, 18).await;
    last.await.unwrap();
    assert_eq!(count, 2, "the read was answered after {waited:?}");
    assert!(waited < Duration::from_millis(WAIT_MS / 2), "{waited:?}");
}

/// A result that does not complete the step waits until the end of the read and is returned with
/// it. The trainer loses nothing by this, and never waits in vain.
#[actix_rt::test]
async fn a_read_returns_the_waiting_results_at_its_deadline() {
    let (_fleet, leader) = with_one_unsettled().await;
    let (count, waited) = read(&leader, 18).await;
    assert_eq!(count, 1, "the read was answered after {waited:?}");
    assert!(waited >= Duration::from_millis(WAIT_MS * 4 / 5), "{waited:?}");
}
