//! Tests of the planner: assignment of samples, reports of hosts, and the loss of hosts, engines
//! and messages.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use chicoryford_fleet::Config;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::Sample;
use chicoryford_fleet::Step;
use chicoryford_fleet::plan::AfterRun;
use chicoryford_fleet::plan::EngineState;
use chicoryford_fleet::plan::FINAL_LIST_DELAY_MS;
use chicoryford_fleet::plan::LIST_DELAY_MS;
use chicoryford_fleet::plan::MAX_LIST_DELAY_MS;
use chicoryford_fleet::plan::Planner;
use chicoryford_fleet::plan::ReportAction;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::run;
use chicoryford_fleet::run::RunReport;
use chicoryford_types::Epoch;
use chicoryford_types::Millis;

use support::planner::NOW;
use support::planner::assign;
use support::planner::engine;
use support::planner::planner;
use support::planner::report;
use support::planner::step;
use support::steps_config;

#[test]
fn engines_respect_their_slots_and_the_minimum_version() {
    let engines = [engine("e1", 2, 1), engine("e2", 1, 1), engine("old", 9, 0)];
    let mut planner = planner(&engines, &[step("a", &[1; 8])]);
    let assigned = assign(&mut planner, NOW);
    let on = |id: &str| assigned.iter().filter(|one| one.endpoint == id).count();
    assert_eq!((on("e1"), on("e2"), on("old")), (2, 1, 0));
    assert!(assign(&mut planner, NOW).is_empty());
}

/// About one sample in ten takes several times as long as the others, and the longest take most of
/// the time of a step. A step is late if it starts one of them last.
#[test]
fn the_longest_samples_start_first() {
    let mut planner = planner(&[engine("e1", 2, 1)], &[step("a", &[10, 900, 20, 800])]);
    let first: Vec<u32> = assign(&mut planner, NOW).iter().map(|one| one.index).collect();
    assert_eq!(first, [1, 3]);
}

/// The longest samples of a step finish in time only on an engine with few other runs. Every
/// concurrent run makes them half a percent slower.
#[test]
fn samples_of_a_group_are_spread_over_engines() {
    let mut group = Step::clone(&step("a", &[900, 30, 20, 10]));
    group.samples.iter_mut().for_each(|sample| sample.group = "g".to_owned());
    let mut planner = planner(&[engine("e1", 4, 1), engine("e2", 4, 1)], &[Arc::new(group)]);
    let other_runs: Vec<u32> = assign(&mut planner, NOW).iter().map(|run| run.other_runs).collect();
    assert_eq!(other_runs, [0, 0, 1, 1]);
}

/// Two trainers share the engines, and one of them has a higher priority by its route.
#[test]
fn steps_are_ordered_by_priority_and_then_by_due_time() {
    let late = step("late", &[1]);
    let urgent = Arc::new(Step { priority: 0, ..(*step("urgent", &[1])).clone() });
    let mut planner = planner(&[engine("e1", 1, 1)], &[]);
    planner.open_step(late, Millis(500), Millis::default(), |_| false);
    planner.open_step(step("later", &[1]), NOW, Millis::default(), |_| false);
    planner.open_step(urgent, NOW, Millis::default(), |_| false);
    let mut order = Vec::new();
    for _ in 0..3 {
        let run = assign(&mut planner, NOW).remove(0);
        order.push(run.step.id.clone());
        assert_eq!(
            planner.record_report("a", &report(&run, run::RunStatus::Scoring, &["x"]), NOW),
            ReportAction::Continue
        );
    }
    assert_eq!(order, ["urgent", "late", "later"]);
}

/// Guards against a sample that never ends, so that its trainer waits until it gives up. A run was
/// moved away from a slow engine, and its report that all events had arrived crossed the stop
/// command. The sample was already running again on the same host; the report was taken for one of
/// the new run, which was then stopped.
#[test]
fn a_report_that_crosses_a_stop_command_does_not_affect_the_next_run() {
    let mut planner = planner(&[engine("e1", 1, 1), engine("e2", 1, 1)], &[step("a", &[1])]);
    let first = assign(&mut planner, NOW).remove(0);
    assert_eq!(planner.record_run_end("a", 0, RunEnd::Taken, NOW), AfterRun::Again);
    let second = assign(&mut planner, NOW).remove(0);
    assert_ne!(first.endpoint, second.endpoint, "its engine was too slow");
    assert_eq!(
        planner.record_report("a", &report(&first, run::RunStatus::Scoring, &["x"]), NOW),
        ReportAction::Stop
    );
    assert_eq!(
        planner.record_report("a", &report(&second, run::RunStatus::Running, &["y"]), NOW),
        ReportAction::Continue
    );
    assert_eq!(planner.output("a", 0).unwrap().events, ["y"]);
}

/// Guards against late long samples after the loss of a host: a sample started from the beginning
/// on another host, though any engine can continue after the last reported event.
#[test]
fn runs_of_a_lost_host_resume_after_the_last_reported_event() {
    let mut planner = planner(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    let run = assign(&mut planner, NOW).remove(0);
    assert_eq!(
        planner.record_report("a", &report(&run, run::RunStatus::Running, &["x", "y"]), NOW),
        ReportAction::Continue
    );
    assert_eq!(planner.orphan_runs("a"), 1);
    let again = assign(&mut planner, NOW).remove(0);
    assert_eq!(again.output.events, ["x", "y"]);
    assert_eq!(again.output.last_id.as_deref(), Some("2"));
}

/// Guards against a sample that is never finished, so that its trainer waits until it gives up. A
/// host lost power during a scorer call and was back before the leader noticed. As the new process
/// was connected, the host was not considered lost, and the runs of the previous process were
/// attributed to the new one.
#[test]
fn a_restarted_host_has_only_the_runs_that_it_reports() {
    let engines = [engine("e1", 1, 1), engine("e2", 1, 1), engine("e3", 1, 1)];
    let mut planner = planner(&engines, &[step("a", &[3, 2, 1])]);
    let runs = assign(&mut planner, NOW);
    assert_eq!(
        planner.record_report("a", &report(&runs[0], run::RunStatus::Scoring, &["x"]), NOW),
        ReportAction::Continue
    );
    assert_eq!(
        planner.record_report("a", &report(&runs[1], run::RunStatus::Running, &["y"]), NOW),
        ReportAction::Continue
    );
    planner.mark_unreported("a");
    assert_eq!(
        planner.record_report("a", &report(&runs[2], run::RunStatus::Running, &["z"]), NOW),
        ReportAction::Continue
    );
    assert_eq!(planner.orphan_unreported_runs("a"), 2);
    let mut again: Vec<u32> = assign(&mut planner, NOW).iter().map(|one| one.index).collect();
    again.sort_unstable();
    assert_eq!(again, [0, 1]);
    assert_eq!(planner.orphan_unreported_runs("a"), 0, "the third run continues");
}

/// Guards against a sample that runs on two engines after a change of leader: the next leader
/// started samples again before the hosts that were still running them had connected to it.
#[test]
fn a_step_from_the_previous_leader_is_held_for_its_hosts() {
    let mut before = planner(&[engine("e1", 1, 1), engine("e2", 1, 1)], &[step("a", &[5, 1])]);
    let runs = assign(&mut before, NOW);
    let mut planner = planner(&[engine("e1", 1, 1), engine("e2", 1, 1)], &[]);
    planner.open_step(step("a", &[5, 1]), NOW, NOW + 500, |_| false);
    assert!(assign(&mut planner, NOW + 100).is_empty());
    assert_eq!(
        planner.record_report("a", &report(&runs[0], run::RunStatus::Running, &["x"]), NOW + 100),
        ReportAction::Continue
    );
    let rest = assign(&mut planner, NOW + 500);
    assert_eq!(rest.len(), 1);
    assert_eq!(rest[0].index, runs[1].index);
    assert_ne!(rest[0].endpoint, runs[0].endpoint, "that engine has no free slot");
    let late = report(&runs[1], run::RunStatus::Running, &["z"]);
    assert_eq!(
        planner.record_report("a", &late, NOW + 600),
        ReportAction::Stop,
        "the sample was started again meanwhile"
    );
}

/// Guards against runs that start again after a change of leader; this happened to a third of them
/// and made the longest ones late. A host reported a run before the new leader had read its step.
/// Its next report, which contained only new events, arrived after the step had been read but
/// before the complete report, and the leader stopped the run as unknown.
#[test]
fn a_run_of_the_previous_leader_is_not_stopped_before_its_complete_report() {
    let mut before = planner(&[engine("e1", 1, 1)], &[step("a", &[5])]);
    let run = assign(&mut before, NOW).remove(0);
    let mut planner = planner(&[engine("e1", 1, 1)], &[]);
    planner.open_step(step("a", &[5]), NOW, NOW + 500, |_| false);
    let news = RunReport { from: 2, ..report(&run, run::RunStatus::Running, &["c"]) };
    assert_eq!(planner.record_report("a", &news, NOW + 10), ReportAction::Defer);
    let all = report(&run, run::RunStatus::Running, &["a", "b", "c"]);
    assert_eq!(planner.record_report("a", &all, NOW + 20), ReportAction::Continue);
    assert_eq!(planner.output("a", 0).unwrap().events.len(), 3);
}

/// Guards against samples that wait half a second too long after the loss of all processes: all
/// hosts had reported that they run nothing, but the leader waited for a fixed time.
#[test]
fn a_step_from_the_previous_leader_starts_once_all_hosts_have_reported() {
    let mut planner = planner(&[engine("e1", 2, 1)], &[]);
    planner.open_step(step("a", &[5]), NOW, NOW + 500, |_| false);
    planner.record_host_reported("h1");
    assert!(assign(&mut planner, NOW + 10).is_empty(), "no host was asked about the step yet");
    planner.await_hosts(BTreeSet::from(["h1".to_owned(), "h2".to_owned()]), NOW + 10);
    planner.open_step(step("b", &[5]), NOW, NOW + 500, |_| false);
    planner.record_host_reported("h1");
    assert!(assign(&mut planner, NOW + 20).is_empty(), "the other host may still run it");
    planner.record_host_reported("h2");
    let runs = assign(&mut planner, NOW + 30);
    assert_eq!(runs.iter().map(|run| run.step.id.as_str()).collect::<Vec<_>>(), ["a"]);
}

#[test]
fn a_report_with_a_gap_in_its_events_is_rejected() {
    let mut planner = planner(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    let run = assign(&mut planner, NOW).remove(0);
    let ahead = RunReport { from: 3, ..report(&run, run::RunStatus::Running, &["w"]) };
    assert_eq!(planner.record_report("a", &ahead, NOW), ReportAction::Stop);
    assert!(planner.output("a", 0).unwrap().events.is_empty());
}

/// Guards against a sample that is given up without having failed: broken connections, full engines
/// and moved addresses were counted as failures of the sample.
#[test]
fn only_failures_of_the_engine_count_against_a_sample() {
    let mut planner = planner(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    let mut now = NOW;
    for end in [RunEnd::Broken, RunEnd::Full, RunEnd::Taken, RunEnd::Broken, RunEnd::Full] {
        now = now + 10_000;
        planner.update_engine(&engine("e2", 1, 1));
        assert_eq!(assign(&mut planner, now).len(), 1);
        assert_eq!(planner.record_run_end("a", 0, end, now), AfterRun::Again);
    }
    for next in [AfterRun::Again, AfterRun::Again, AfterRun::GiveUp] {
        now = now + 10_000;
        assert_eq!(assign(&mut planner, now).len(), 1);
        assert_eq!(planner.record_run_end("a", 0, RunEnd::Failed, now), next);
    }
    assert_eq!(planner.settle("a", 0).as_deref(), Some("a0"), "its result is still to be listed");
    assert!(assign(&mut planner, now + 10_000).is_empty());
}

#[test]
fn a_sample_that_can_never_be_generated_is_given_up_at_once() {
    let mut planner = planner(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    assign(&mut planner, NOW);
    assert_eq!(planner.record_run_end("a", 0, RunEnd::Unfit, NOW), AfterRun::GiveUp);
    assert_eq!(planner.settle("a", 0).as_deref(), Some("a0"), "its result is still to be listed");
    assert_eq!(planner.settle("a", 0), None, "it has a result already");
    assert!(assign(&mut planner, NOW + 10_000).is_empty());
    assert_eq!(planner.engines().map(EngineState::load).sum::<u32>(), 0, "its slot is released");
}

/// Guards against a sample that crashes one engine after another as fast as it can be run, and
/// against one that is not run again after some crashes, although it is still owed.
#[test]
fn a_sample_under_which_engines_crash_is_run_again_after_a_delay_each_time() {
    let mut planner = planner(&[engine("e1", 4, 1), engine("e2", 4, 1)], &[step("a", &[1])]);
    let mut runs = Vec::new();
    for ms in (0..39_000).step_by(50) {
        for run in assign(&mut planner, NOW + ms) {
            runs.push(ms);
            planner.record_run_end("a", run.index, RunEnd::Crashed, NOW + ms);
        }
    }
    assert!(runs[2] < 3_000, "the first runs are not delayed: {runs:?}");
    let delays = runs[2..].windows(2).map(|two| two[1] - two[0]);
    assert!(delays.clone().all(|delay| delay >= 4_000), "{runs:?}");
    assert!(delays.clone().all(|delay| delay < 5_000), "{runs:?}");
    assert!(39_000 - runs[runs.len() - 1] < 5_000, "it was not run again: {runs:?}");
    assert!(planner.exhausted_samples().is_empty(), "no engine reported a failure");
}

/// Guards against a sample that gets no answer from any engine, although all of them are alive, and
/// is run again as often as engines can receive it until its step ends.
#[test]
fn a_sample_without_answers_is_run_again_after_longer_and_longer_delays() {
    let engines: Vec<Endpoint> = (0..9).map(|n| engine(&format!("e{n}"), 4, 1)).collect();
    let mut planner = planner(&engines, &[step("a", &[1])]);
    let mut runs = Vec::new();
    for now in (0..40_000).step_by(50) {
        for _ in assign(&mut planner, NOW + now) {
            runs.push(now);
            let next = planner.record_run_end("a", 0, RunEnd::Unanswered, NOW + now);
            assert_eq!(next, AfterRun::Again, "only an engine's answer permits to give it up");
        }
    }
    assert!((8..=16).contains(&runs.len()), "{runs:?}");
    assert!(runs[2] < 1_000, "answers that are lost by chance cost no delay: {runs:?}");
    let delays = runs.windows(2).map(|two| two[1] - two[0]);
    assert!(delays.clone().all(|delay| delay < 5_000), "it is still owed: {runs:?}");
}

/// Guards against delaying a sample because of engine crashes between which it made progress.
#[test]
fn a_sample_that_makes_progress_is_not_delayed_for_crashes() {
    let mut planner = planner(&[engine("e1", 4, 1)], &[step("a", &[1])]);
    for crash in 0..6 {
        let now = NOW + crash * 4_000;
        let run = assign(&mut planner, now).remove(0);
        let events = vec!["x"; crash as usize / 2 + 1];
        // Every second run produces an event, and each run repeats its report without new events.
        for _ in 0..2 {
            let sent_report = report(&run, run::RunStatus::Running, &events);
            let sent_report = RunReport { cost: run.cost.clone(), ..sent_report };
            assert_eq!(planner.record_report("a", &sent_report, now), ReportAction::Continue);
        }
        planner.record_run_end("a", 0, RunEnd::Crashed, now);
    }
    assert_eq!(assign(&mut planner, NOW + 24_000).len(), 1);
}

/// Guards against a sample that fails every time and runs again in each step that contains it.
#[test]
fn failures_of_a_sample_count_across_steps() {
    let again = |id: &str| Arc::new(Step { id: id.to_owned(), ..(*step("a", &[1])).clone() });
    for (end, runs) in [(RunEnd::Unfit, 1), (RunEnd::Failed, 3)] {
        let mut planner = planner(&[engine("e1", 1, 1)], &[again("a")]);
        for run in 0..runs {
            let now = NOW + run * 10_000;
            assert_eq!(assign(&mut planner, now).len(), 1);
            planner.record_run_end("a", 0, end, now);
        }
        planner.close_step("a", NOW + 40_000);
        planner.open_step(again("b"), NOW + 50_000, Millis::default(), |_| false);
        assert_eq!(planner.exhausted_samples(), [("b".to_owned(), 0)]);
        planner.settle("b", 0).expect("no earlier result");
        assert!(assign(&mut planner, NOW + 60_000).is_empty(), "{end:?}");
    }
}

/// Guards against giving a later run of a sample the full time that the first one had.
#[test]
fn a_later_run_of_a_sample_keeps_the_first_deadline() {
    let mut planner = planner(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    let first = assign(&mut planner, NOW).remove(0);
    planner.record_run_end("a", 0, RunEnd::Broken, NOW + 9_000);
    let second = assign(&mut planner, NOW + 10_000).remove(0);
    assert_eq!((first.remaining_ms, second.remaining_ms), (40_000, 30_000));
}

/// Guards against extending the deadline communicated to endpoints by the time without a leader.
#[test]
fn a_change_of_leader_does_not_extend_a_deadline() {
    let mut next = planner(&[engine("e1", 1, 1)], &[]);
    next.open_step(step("a", &[1]), NOW, NOW + 500, |_| false);
    let mut before = planner(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    let run = assign(&mut before, NOW).remove(0);
    let sent_report =
        RunReport { remaining_ms: 39_000, ..report(&run, run::RunStatus::Running, &["x"]) };
    assert_eq!(next.record_report("a", &sent_report, NOW), ReportAction::Continue);
    next.record_run_end("a", 0, RunEnd::Broken, NOW);
    assert_eq!(assign(&mut next, NOW + 10_000)[0].remaining_ms, 29_000);
}

/// Guards against resetting the failure count of a sample on a change of leader.
#[test]
fn a_change_of_leader_keeps_the_failure_count_of_a_sample() {
    let mut before = planner(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    for now in [NOW, NOW + 10_000] {
        assign(&mut before, now);
        before.record_run_end("a", 0, RunEnd::Failed, now);
    }
    let run = assign(&mut before, NOW + 20_000).remove(0);
    assert_eq!(run.cost.failures, 2);
    let mut next = Planner::new(Epoch(2));
    next.open_step(step("a", &[1]), NOW, NOW + 500, |_| false);
    let sent_report =
        RunReport { cost: run.cost.clone(), ..report(&run, run::RunStatus::Running, &[]) };
    assert_eq!(next.record_report("a", &sent_report, NOW), ReportAction::Continue);
    assert_eq!(next.record_run_end("a", 0, RunEnd::Failed, NOW), AfterRun::GiveUp);
}

/// A leader records the second failure of a sample and is lost before the host forgets the run. Guards
/// against giving the sample up after two failures of three: the next leader counted the second one
/// again.
#[test]
fn a_failure_that_the_previous_leader_recorded_counts_once() {
    let mut planner = planner(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    assign(&mut planner, NOW);
    planner.record_run_end("a", 0, RunEnd::Failed, NOW);
    let run = assign(&mut planner, NOW + 1_000).remove(0);
    let sent = report(&run, run::RunStatus::Ended(RunEnd::Failed), &[]);
    let sent = RunReport { cost: run.cost.clone(), ..sent };
    planner.record_run_end("a", 0, RunEnd::Failed, NOW + 1_000);
    let recorded = planner.limiting_cost("a", 0).expect("a recorded cost");
    assert_eq!(recorded.1.failures, 2);
    let mut next = Planner::new(Epoch(2));
    next.update_engine(&engine("e1", 1, 1));
    next.restore_costs(&[recorded], NOW);
    next.open_step(step("a", &[1]), NOW, NOW + 5_000, |_| false);
    assert_eq!(next.record_report("h", &sent, NOW + 2_000), ReportAction::Continue);
    assert_eq!(next.record_run_end("a", 0, RunEnd::Failed, NOW + 2_000), AfterRun::Again);
    let run = assign(&mut next, NOW + 10_000).remove(0);
    assert_eq!(run.cost.failures, 2);
}

/// Guards against losing the costs of a sample when its run is rejected.
#[test]
fn a_rejected_report_still_adds_its_costs() {
    let mut planner = planner(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    let run = assign(&mut planner, NOW).remove(0);
    let scorer = run::CallCost { failures: 2, endpoints: BTreeSet::from(["d1".to_owned()]) };
    let cost = run::Cost { failures: 1, scorer, ..run::Cost::default() };
    let sent_report =
        RunReport { cost: cost.clone(), ..report(&run, run::RunStatus::Scoring, &["x"]) };
    assert_eq!(planner.record_report("another", &sent_report, NOW), ReportAction::Stop);
    planner.record_run_end("a", 0, RunEnd::Broken, NOW);
    let run = assign(&mut planner, NOW + 10_000).remove(0);
    assert_eq!(run.cost, cost);
}

/// An engine becomes three times slower, so its runs would take most of the time of a step. Engines
/// with free slots take them over; otherwise they stay.
#[test]
fn runs_move_from_a_slow_engine_only_to_a_fast_one_with_free_slots() {
    let engines = [engine("e1", 2, 1), engine("e2", 2, 1), engine("e3", 2, 1)];
    let mut planner = planner(&engines, &[step("a", &[1; 6])]);
    let runs = assign(&mut planner, NOW);
    let slow = "e1";
    let later = NOW + 1_000;
    let report_all = |planner: &mut Planner, now: Millis| {
        for run in &runs {
            let gap_ms = if run.endpoint == slow { 300 } else { 40 };
            for _ in 0..20 {
                let report = report(run, run::RunStatus::Running, &["x"]);
                planner.record_report("a", &RunReport { gap_ms, ..report }, now);
            }
        }
    };
    report_all(&mut planner, later);
    assert!(planner.slow_runs(later).is_empty(), "no other engine has a free slot");
    let done = runs.iter().find(|run| run.endpoint == "e2").unwrap();
    planner.record_report("a", &report(done, run::RunStatus::Scoring, &["x"]), later);
    let moved = planner.slow_runs(later);
    assert_eq!(moved.len(), 1, "one slot is free");
    let from = runs.iter().find(|run| run.index == moved[0].1).unwrap();
    assert_eq!(from.endpoint, slow);
}

/// Guards against rounds that examine every engine for each run, or though nothing waits and no run
/// is slow. Rounds follow each event of a sample, hundreds a second.
#[test]
fn a_round_without_work_examines_each_engine_at_most_once() {
    for size in [1_000, 2_000, 4_000_usize] {
        let engines: Vec<Endpoint> =
            (0..size).map(|number| engine(&format!("e{number:04}"), 1, 1)).collect();
        let mut planner = planner(&engines, &[step("a", &[1; 100])]);
        let runs = assign(&mut planner, NOW);
        assert_eq!(runs.len(), 100);
        assert!(planner.visits() <= 2 * size as u64, "{} of {size}", planner.visits());
        for run in &runs {
            let sent = RunReport { gap_ms: 40, ..report(run, run::RunStatus::Running, &["x"]) };
            planner.record_report("a", &sent, NOW);
        }
        let before = planner.visits();
        assert!(assign(&mut planner, NOW).is_empty());
        assert_eq!(planner.starved_samples("m"), 0);
        assert_eq!(planner.visits(), before, "nothing waits");
        assert!(planner.slow_runs(NOW).is_empty());
        assert!(planner.visits() - before <= size as u64, "no run is slow");
    }
}

/// Guards against examining every engine for each slow run.
#[test]
fn the_engines_that_take_over_slow_runs_are_looked_up_once_for_each_step() {
    for size in [1_000, 2_000, 4_000_usize] {
        let engines: Vec<Endpoint> =
            (0..size).map(|number| engine(&format!("e{number:04}"), 1, 1)).collect();
        let mut planner = planner(&engines, &[step("a", &[1; 100])]);
        let runs = assign(&mut planner, NOW);
        let sent = RunReport { gap_ms: 40, ..report(&runs[0], run::RunStatus::Running, &["x"]) };
        planner.record_report("a", &sent, NOW);
        let before = planner.visits();
        assert!(planner.slow_runs(NOW + 1_500).len() >= 99, "no event arrived");
        assert!(planner.visits() - before <= 2 * size as u64, "{}", planner.visits() - before);
    }
}

#[test]
fn a_run_without_events_is_lost() {
    let mut planner = planner(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    assign(&mut planner, NOW);
    assert!(planner.lost_runs(NOW + 3_900).is_empty());
    assert_eq!(planner.lost_runs(NOW + 4_000), [("a".to_owned(), 0)]);
}

/// All processes are lost at once while the longest samples of a step are nearly finished.
#[test]
fn long_runs_are_checkpointed_and_restored() {
    let mut planner = planner(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    let run = assign(&mut planner, NOW).remove(0);
    let events: Vec<String> = (0..30).map(|n| n.to_string()).collect();
    let events: Vec<&str> = events.iter().map(String::as_str).collect();
    planner.record_report("a", &report(&run, run::RunStatus::Running, &events[..20]), NOW);
    assert!(planner.take_checkpoints().is_empty(), "short runs are not checkpointed");
    planner.record_report("a", &report(&run, run::RunStatus::Running, &events), NOW);
    let checkpoints = planner.take_checkpoints().remove(0).1;
    assert!(planner.take_checkpoints().is_empty(), "there are no new events");
    let mut next = Planner::new(Epoch(2));
    next.update_engine(&engine("e1", 1, 1));
    next.open_step(step("a", &[1]), NOW, NOW + 1, |_| false);
    next.restore_checkpoints("a", checkpoints);
    let again = assign(&mut next, NOW + 1).remove(0);
    assert_eq!(again.output.events.len(), 30);
}

#[test]
fn samples_expire_by_age_or_when_their_route_is_removed() {
    let planner = planner(&[], &[step("a", &[1])]);
    assert!(planner.expired_samples(&steps_config(), NOW + 39_999).is_empty());
    assert_eq!(planner.expired_samples(&steps_config(), NOW + 40_000).len(), 1);
    assert_eq!(planner.expired_samples(&Config::default(), NOW).len(), 1);
}

/// Guards against a sample with two versions in a step that requires a single one: when an engine
/// with a newer version took over a run, the output of the first engine was kept.
#[test]
fn a_single_version_sample_restarts_under_another_version() {
    let single_version = Arc::new(Step { single_version: true, ..(*step("a", &[1])).clone() });
    let mut planner = planner(&[engine("e1", 1, 1)], &[single_version]);
    assert!(planner.needs_single_version("m") && !planner.needs_single_version("n"));
    let run = assign(&mut planner, NOW).remove(0);
    planner.record_report("a", &report(&run, run::RunStatus::Running, &["x"]), NOW);
    planner.orphan_runs("a");
    planner.remove_engine("e1");
    planner.update_engine(&engine("e2", 1, 2));
    assert!(assign(&mut planner, NOW).remove(0).output.events.is_empty());
}

/// Guards against steps that are given up within a second though most engines are healthy. An
/// engine that failed every sample at once always had the lowest load, so it got the next samples
/// and the failed ones again until they reached their failure limit. Failures counted only against
/// the sample, and the engine was assigned work again at once.
#[test]
fn an_engine_that_fails_at_once_gets_no_work_for_a_while() {
    let mut planner = planner(&[engine("bad", 4, 1), engine("good", 4, 1)], &[step("a", &[1; 16])]);
    let (mut bad_runs, mut given_up) = (0, 0);
    // In this tenth of a second, the healthy engine finishes none of its four samples.
    for ms in 0..100 {
        let now = NOW + ms;
        for run in assign(&mut planner, now).iter().filter(|run| run.endpoint == "bad") {
            bad_runs += 1;
            let next = planner.record_run_end("a", run.index, RunEnd::Failed, now);
            given_up += u32::from(next == AfterRun::GiveUp);
        }
    }
    assert_eq!(given_up, 0, "samples given up, with {bad_runs} runs on the bad engine");
    assert!(bad_runs <= 4, "{bad_runs} runs on an engine that has failed four times");
}

/// Returns a step of `groups` groups of ten samples, of which its trainer waits for all but one.
fn grouped(id: &str, groups: usize) -> Arc<Step> {
    let plain = step(id, &vec![1; groups * 10]);
    let samples = plain.samples.iter().enumerate();
    let grouped = samples
        .map(|(index, sample)| Sample { group: format!("g{}", index / 10), ..sample.clone() });
    Arc::new(Step {
        samples: grouped.collect(),
        wanted_groups: groups as u64 - 1,
        ..(*plain).clone()
    })
}

/// Three trainers submit steps of 80 to 128 samples. The longest three to eight samples of a step
/// are cut off at the same length and end 30 to 130 ms apart, 7.3 s after their start. A trainer
/// that has read a result reads again only half a second later, which delayed its whole step by
/// that time.
#[test]
fn only_the_last_results_of_a_step_wait_for_each_other() {
    let mut planner = planner(&[engine("e1", 30, 1)], &[grouped("a", 3)]);
    assign(&mut planner, NOW);
    let (soon, last) = (NOW + LIST_DELAY_MS, NOW + FINAL_LIST_DELAY_MS);
    // Two groups lack one sample each, and the third group lacks two.
    let settled: Vec<u32> = (0..30).filter(|index| ![9, 19, 28, 29].contains(index)).collect();
    for index in settled {
        assert_eq!(planner.list_at("a", NOW, None), soon, "{index}");
        planner.settle("a", index);
    }
    planner.settle("a", 9);
    assert_eq!(planner.list_at("a", NOW, None), last, "three of thirty are left");
    planner.settle("a", 28);
    assert_eq!(planner.list_at("a", NOW, None), last);
    planner.settle("a", 19);
    assert_eq!(planner.list_at("a", NOW, None), soon, "its trainer has all wanted groups");
}

/// A read returns the results listed before it ends, so this delay never makes it return nothing.
#[test]
fn the_last_results_of_a_step_are_listed_before_a_pending_read_ends() {
    let mut planner = planner(&[engine("e1", 30, 1)], &[grouped("a", 3)]);
    assign(&mut planner, NOW);
    for index in 0..27 {
        planner.settle("a", if index < 18 { index } else { index + 1 });
    }
    let list_at = |read: u64| planner.list_at("a", NOW, Some(NOW + read)).since(NOW);
    assert_eq!(list_at(700), 650);
    assert_eq!(list_at(20), LIST_DELAY_MS);
    assert_eq!(list_at(5_000), MAX_LIST_DELAY_MS);
}

#[test]
fn the_last_result_of_a_step_is_listed_without_delay() {
    let mut planner = planner(&[engine("e1", 30, 1)], &[grouped("a", 3)]);
    assign(&mut planner, NOW);
    for index in 0..30 {
        planner.settle("a", index);
    }
    let read = Some(NOW + 900);
    assert_eq!(planner.list_at("a", NOW, read), NOW + LIST_DELAY_MS);
    planner.close_step("a", NOW);
    assert_eq!(
        planner.list_at("a", NOW, read),
        NOW + LIST_DELAY_MS,
        "nor are results of a closed step delayed"
    );
}

/// Samples are cut off at the same length, so the last ones of a step end together at a time that
/// follows from their pace. A trainer reads at most every half second. If a read ends shortly
/// before the last results, the next one starts too late to return them at once.
#[test]
fn a_read_is_answered_early_so_that_the_next_one_returns_the_last_results() {
    let mut planner = planner(&[engine("e1", 40, 1)], &[step("before", &[1]), grouped("a", 3)]);
    let runs = assign(&mut planner, NOW);
    let events = |count: usize| vec!["x"; count];
    let before = runs.iter().find(|run| run.step.id == "before").unwrap();
    planner.record_report("a", &report(before, run::RunStatus::Scoring, &events(100)), NOW);
    for index in 0..27 {
        planner.settle("a", if index < 18 { index } else { index + 1 });
    }
    let now = NOW + 7_000;
    // One sample is left in each group; these have 20 events of 50 ms to go.
    for index in [18, 28, 29] {
        let run = runs.iter().find(|run| run.step.id == "a" && run.index == index).unwrap();
        let running = report(run, run::RunStatus::Running, &events(80));
        planner.record_report("a", &RunReport { gap_ms: 50, ..running }, now);
    }
    let end = now + 20 * 50;
    let list_at = |read: Millis| planner.list_at("a", now, Some(read));
    let early = list_at(end).0;
    assert!(early + 500 < end.0 && early + 1_000 > end.0 + 100, "{early} for {end:?}");
    // A read that ends much earlier leaves time for another one; a read that ends later lasts until
    // the results arrive.
    assert_eq!(list_at(now + 400), now + 350);
    assert_eq!(list_at(end + 500), now + MAX_LIST_DELAY_MS);
    // A result so late that the next read would also start too late waits for the last ones.
    let late = end.0 - 400;
    assert_eq!(planner.list_at("a", Millis(late), Some(end)).0, end.0 - 50);
}

/// 3,000 engines and steps of grouped samples, as a step of 144 samples next to other steps that
/// load the engines.
#[test]
fn samples_go_to_the_least_loaded_of_many_engines() {
    let engines: Vec<Endpoint> = (0..3_000).map(|n| engine(&format!("e{n:04}"), 6, 1)).collect();
    let mut planner = planner(&engines, &[grouped("a", 15), grouped("b", 285)]);
    let runs = assign(&mut planner, NOW);
    assert_eq!(runs.len(), 3_000);
    assert!(
        runs.iter().all(|run| run.other_runs == 0),
        "no engine has two runs while others are idle"
    );
    let taken: BTreeSet<&str> = runs.iter().map(|run| run.endpoint.as_str()).collect();
    assert_eq!(taken.len(), 3_000);
}
