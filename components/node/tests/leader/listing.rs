//! When results are listed and read: the last of a step together.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_fleet::Sample;
use chicoryford_fleet::Step;
use chicoryford_fleet::Verdict;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::run::Report;
use chicoryford_fleet::run::Standing;
use chicoryford_fleet::step::Result;
use chicoryford_node::leader::Leader;
use chicoryford_node::listing::SampleVerdict;
use chicoryford_node::message::Answer;
use chicoryford_node::message::Call;
use tokio::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::pause;
use crate::fleet::scoring;
use crate::fleet::step;
use crate::fleet::until;

/// Samples of the step, in two groups, both of which its trainer waits for.
const SAMPLES: u32 = 20;
/// How long a trainer's read waits.
const WAIT_MS: u64 = 1_000;

fn two_groups() -> Arc<Step> {
    let plain = step("a");
    let samples = (0..SAMPLES).map(|index| Sample {
        id: format!("a{index}"),
        group: format!("g{}", index / 10),
        ..plain.samples[0].clone()
    });
    Arc::new(Step { samples: samples.collect(), wanted: 2, ..(*plain).clone() })
}

fn settle(leader: &Leader, index: u32) {
    let sample = leader.plan.borrow_mut().settled("a", index).unwrap();
    leader.outbox().put("a", SampleVerdict { index, sample, verdict: Verdict::GivenUp });
}

/// Starts a fleet in which all of the step is listed but the last two samples, of which one has its
/// verdict.
async fn one_left() -> (Fleet, Rc<Leader>) {
    let fleet = Fleet::start().await;
    let leader = fleet.leader();
    let answer = leader.answer(Call::Submit(two_groups())).await;
    assert!(matches!(answer, Answer::Done), "{answer:?}");
    for index in 0..SAMPLES - 2 {
        settle(&leader, index);
    }
    until("the others are listed", || fleet.replica.state().steps["a"].results.len() == 18).await;
    settle(&leader, SAMPLES - 2);
    (fleet, leader)
}

/// Reads on from a place as a trainer does; gives how many results came, and after how long.
async fn read(leader: &Rc<Leader>, after: u64) -> (usize, Duration) {
    let began = Instant::now();
    let call = Call::Read { step: "a".to_owned(), after, wait_ms: WAIT_MS, near: String::new() };
    let Answer::Results { listed, .. } = leader.answer(call).await else { panic!("results") };
    (listed.len(), began.elapsed())
}

/// Guards against a sample that is given up and never listed, for which its step waits for ever.
#[actix_rt::test]
async fn a_sample_that_its_engine_can_never_make_is_listed_as_given_up() {
    let (fleet, leader, _store) = Fleet::taken_over().await;
    leader.handle_report("h", &told("a", Standing::Running));
    leader.handle_report("h", &told("a", Standing::Ended(RunEnd::Unfit)));
    until("the sample is listed", || fleet.replica.state().steps["a"].results.len() == 1).await;
    assert_eq!(fleet.replica.state().steps["a"].results[0].result, Result::GivenUp);
}

fn told(step: &str, standing: Standing) -> Report {
    Report { standing, ..scoring(step) }
}

/// Symptom: a trainer has its whole step half a second after its last result.
/// Sequence: a result is listed just before the last ones; the trainer's read is answered with it at
/// once, and its next read begins half a second later.
/// Cause: each result was listed by itself as it came.
#[actix_rt::test]
async fn the_last_results_of_a_step_come_with_one_read() {
    let (_fleet, leader) = one_left().await;
    let last = {
        let leader = leader.clone();
        actix_rt::spawn(async move {
            pause(300).await;
            settle(&leader, SAMPLES - 1);
        })
    };
    let (count, waited) = read(&leader, 18).await;
    last.await.unwrap();
    assert_eq!(count, 2, "the read was answered after {waited:?}");
    assert!(waited < Duration::from_millis(WAIT_MS / 2), "{waited:?}");
}

/// A result that nothing completes waits as long as the read does, and is answered with it: a trainer
/// that is not answered before loses nothing, and never waits in vain.
#[actix_rt::test]
async fn a_read_that_is_over_takes_the_results_that_waited_with_it() {
    let (_fleet, leader) = one_left().await;
    let (count, waited) = read(&leader, 18).await;
    assert_eq!(count, 1, "the read was answered after {waited:?}");
    assert!(waited >= Duration::from_millis(WAIT_MS * 4 / 5), "{waited:?}");
}
