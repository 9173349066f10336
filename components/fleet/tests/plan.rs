//! The planner: which sample runs where, and what follows when hosts, engines and words get lost.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use chicoryford_fleet::Announcement;
use chicoryford_fleet::Config;
use chicoryford_fleet::Endpoint;
use chicoryford_fleet::EndpointStatus;
use chicoryford_fleet::Sample;
use chicoryford_fleet::Step;
use chicoryford_fleet::plan::AfterRun;
use chicoryford_fleet::plan::Assignment;
use chicoryford_fleet::plan::EngineState;
use chicoryford_fleet::plan::FINAL_LIST_DELAY_MS;
use chicoryford_fleet::plan::LIST_DELAY_MS;
use chicoryford_fleet::plan::MAX_LIST_DELAY_MS;
use chicoryford_fleet::plan::Planner;
use chicoryford_fleet::plan::ReportAction;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_fleet::plan::SampleOutput;
use chicoryford_fleet::run;
use chicoryford_fleet::run::RunReport;
use chicoryford_types::Epoch;
use chicoryford_types::Millis;

use support::steps_config;

const NOW: Millis = Millis(1_000);

fn engine(id: &str, slots: u32, version: u64) -> Endpoint {
    let said = Announcement {
        id: id.to_owned(),
        started_ms: 0,
        service: "engines".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "z".to_owned(),
        slots,
        draining: false,
        models: BTreeMap::from([("m".to_owned(), version)]),
        sequence: 1,
    };
    Endpoint { announcement: said, status: EndpointStatus::Ready }
}

fn step(id: &str, expected: &[u64]) -> Arc<Step> {
    let sample = |(index, expected): (usize, &u64)| Sample {
        id: format!("{id}{index}"),
        path: "/s/1".to_owned(),
        expected_tokens: *expected,
        tokens: *expected,
        ..Sample::default()
    };
    Arc::new(Step {
        id: id.to_owned(),
        host: "h".to_owned(),
        model: "m".to_owned(),
        min_version: 1,
        due_ms: 7_500,
        age_ms: 40_000,
        attempts: 3,
        priority: 1,
        samples: expected.iter().enumerate().map(sample).collect(),
        ..Step::default()
    })
}

fn plan(engines: &[Endpoint], steps: &[Arc<Step>]) -> Planner {
    let mut plan = Planner::new(Epoch(1));
    for engine in engines {
        plan.update_engine(engine);
    }
    for step in steps {
        plan.open_step(step.clone(), NOW, Millis::default(), |_| false);
    }
    plan
}

/// Assigns what can be, to the host "a".
fn assign(plan: &mut Planner, now: Millis) -> Vec<Assignment> {
    let assigned = plan.assign(&steps_config(), now);
    for one in &assigned {
        plan.set_host(&one.step.id, one.index, "a");
    }
    assigned
}

fn report(run: &Assignment, standing: run::RunStatus, events: &[&str]) -> RunReport {
    RunReport {
        run: run.run,
        step: run.step.id.clone(),
        index: run.index,
        endpoint: run.endpoint.clone(),
        status: standing,
        from: 0,
        output: SampleOutput {
            events: events.iter().map(|event| (*event).to_owned()).collect(),
            last_id: Some(events.len().to_string()),
            versions: vec![1],
        },
        gap_ms: 0,
        cost: run::Cost::default(),
        remaining_ms: 40_000,
    }
}

#[test]
fn no_engine_gets_more_than_its_slots_or_too_old_work() {
    let engines = [engine("e1", 2, 1), engine("e2", 1, 1), engine("old", 9, 0)];
    let mut plan = plan(&engines, &[step("a", &[1; 8])]);
    let assigned = assign(&mut plan, NOW);
    let on = |id: &str| assigned.iter().filter(|one| one.endpoint == id).count();
    assert_eq!((on("e1"), on("e2"), on("old")), (2, 1, 0));
    assert!(assign(&mut plan, NOW).is_empty());
}

/// The load: one sample in some ten takes several times as long as the others, and the longest
/// most of the time that a step has. Begun last, it makes the whole step late.
#[test]
fn the_longest_samples_start_first() {
    let mut plan = plan(&[engine("e1", 2, 1)], &[step("a", &[10, 900, 20, 800])]);
    let first: Vec<u32> = assign(&mut plan, NOW).iter().map(|one| one.index).collect();
    assert_eq!(first, [1, 3]);
}

/// The load: the longest samples of a step have as much time as they need on an engine that has few
/// other runs. Each run beside them makes them half a percent slower.
#[test]
fn the_samples_of_a_group_are_spread_over_the_engines() {
    let mut group = Step::clone(&step("a", &[900, 30, 20, 10]));
    group.samples.iter_mut().for_each(|sample| sample.group = "g".to_owned());
    let mut plan = plan(&[engine("e1", 4, 1), engine("e2", 4, 1)], &[Arc::new(group)]);
    let beside: Vec<u32> = assign(&mut plan, NOW).iter().map(|run| run.other_runs).collect();
    assert_eq!(beside, [0, 0, 1, 1]);
}

/// The load: two trainers share the engines, and one of them is ranked first by its route.
#[test]
fn steps_go_by_rank_and_then_by_the_time_at_which_they_are_due() {
    let late = step("late", &[1]);
    let urgent = Arc::new(Step { priority: 0, ..(*step("urgent", &[1])).clone() });
    let mut plan = plan(&[engine("e1", 1, 1)], &[]);
    plan.open_step(late, Millis(500), Millis::default(), |_| false);
    plan.open_step(step("later", &[1]), NOW, Millis::default(), |_| false);
    plan.open_step(urgent, NOW, Millis::default(), |_| false);
    let mut order = Vec::new();
    for _ in 0..3 {
        let run = assign(&mut plan, NOW).remove(0);
        order.push(run.step.id.clone());
        assert_eq!(
            plan.record_report("a", &report(&run, run::RunStatus::Scoring, &["x"]), NOW),
            ReportAction::Continue
        );
    }
    assert_eq!(order, ["urgent", "late", "later"]);
}

/// Symptom: a sample of a step never ends, and its trainer waits until it gives up.
/// Sequence: a run is moved away from a slow engine; its report that all events came crosses the
/// word to stop; the sample is already running again, on the same host.
/// Cause: the report was taken for one of the new run, which was then stopped.
#[test]
fn a_report_that_crosses_a_word_to_stop_does_not_touch_the_next_run() {
    let mut plan = plan(&[engine("e1", 1, 1), engine("e2", 1, 1)], &[step("a", &[1])]);
    let first = assign(&mut plan, NOW).remove(0);
    assert_eq!(plan.record_run_end("a", 0, RunEnd::Taken, NOW), AfterRun::Again);
    let second = assign(&mut plan, NOW).remove(0);
    assert_ne!(first.endpoint, second.endpoint, "it was too slow there");
    assert_eq!(
        plan.record_report("a", &report(&first, run::RunStatus::Scoring, &["x"]), NOW),
        ReportAction::Stop
    );
    assert_eq!(
        plan.record_report("a", &report(&second, run::RunStatus::Running, &["y"]), NOW),
        ReportAction::Continue
    );
    assert_eq!(plan.output("a", 0).unwrap().events, ["y"]);
}

/// Symptom: the longest samples are late whenever a host is lost.
/// Sequence: a host tells of progress and is lost; the sample runs elsewhere.
/// Cause: it began anew, though any engine can go on after the last event.
#[test]
fn a_lost_hosts_runs_go_on_after_the_last_event_that_it_told() {
    let mut plan = plan(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    let run = assign(&mut plan, NOW).remove(0);
    assert_eq!(
        plan.record_report("a", &report(&run, run::RunStatus::Running, &["x", "y"]), NOW),
        ReportAction::Continue
    );
    assert_eq!(plan.orphan_runs("a"), 1);
    let again = assign(&mut plan, NOW).remove(0);
    assert_eq!(again.output.events, ["x", "y"]);
    assert_eq!(again.output.last_id.as_deref(), Some("2"));
}

/// Symptom: a step has all its samples but one, and its trainer waits until it gives up.
/// Sequence: a host loses power while it calls a scorer, and is back before the leader notices; as
/// the new process is connected, the leader does not count the host as lost.
/// Cause: what the process before was doing was taken for what the new one does.
#[test]
fn a_host_that_starts_anew_has_only_the_runs_that_it_tells() {
    let engines = [engine("e1", 1, 1), engine("e2", 1, 1), engine("e3", 1, 1)];
    let mut plan = plan(&engines, &[step("a", &[3, 2, 1])]);
    let runs = assign(&mut plan, NOW);
    assert_eq!(
        plan.record_report("a", &report(&runs[0], run::RunStatus::Scoring, &["x"]), NOW),
        ReportAction::Continue
    );
    assert_eq!(
        plan.record_report("a", &report(&runs[1], run::RunStatus::Running, &["y"]), NOW),
        ReportAction::Continue
    );
    plan.mark_unreported("a");
    assert_eq!(
        plan.record_report("a", &report(&runs[2], run::RunStatus::Running, &["z"]), NOW),
        ReportAction::Continue
    );
    assert_eq!(plan.orphan_unreported_runs("a"), 2);
    let mut again: Vec<u32> = assign(&mut plan, NOW).iter().map(|one| one.index).collect();
    again.sort_unstable();
    assert_eq!(again, [0, 1]);
    assert_eq!(plan.orphan_unreported_runs("a"), 0, "the third goes on");
}

/// Symptom: a sample runs on two engines at once after a change of leader.
/// Sequence: a leader is lost; its hosts go on; the next leader begins the samples anew before
/// the hosts have found it.
/// Cause: the new leader did not wait for what hosts may still be running.
#[test]
fn a_step_that_was_taken_over_waits_for_its_hosts() {
    let mut before = plan(&[engine("e1", 1, 1), engine("e2", 1, 1)], &[step("a", &[5, 1])]);
    let runs = assign(&mut before, NOW);
    let mut plan = plan(&[engine("e1", 1, 1), engine("e2", 1, 1)], &[]);
    plan.open_step(step("a", &[5, 1]), NOW, NOW + 500, |_| false);
    assert!(assign(&mut plan, NOW + 100).is_empty());
    assert_eq!(
        plan.record_report("a", &report(&runs[0], run::RunStatus::Running, &["x"]), NOW + 100),
        ReportAction::Continue
    );
    let rest = assign(&mut plan, NOW + 500);
    assert_eq!(rest.len(), 1);
    assert_eq!(rest[0].index, runs[1].index);
    assert_ne!(rest[0].endpoint, runs[0].endpoint, "that engine is taken");
    let late = report(&runs[1], run::RunStatus::Running, &["z"]);
    assert_eq!(
        plan.record_report("a", &late, NOW + 600),
        ReportAction::Stop,
        "it was begun anew meanwhile"
    );
}

/// Symptom: after a change of leader a third of the runs begin anew, and the longest are late.
/// Sequence: a host tells the next leader of a run before the leader has read its step; the host's next
/// telling, of what came since, arrives when the step has been read, before all is told once more.
/// Cause: the leader knew nothing of the run and had it stopped.
#[test]
fn a_run_of_the_leader_before_is_not_stopped_before_all_of_it_is_told() {
    let mut before = plan(&[engine("e1", 1, 1)], &[step("a", &[5])]);
    let run = assign(&mut before, NOW).remove(0);
    let mut plan = plan(&[engine("e1", 1, 1)], &[]);
    plan.open_step(step("a", &[5]), NOW, NOW + 500, |_| false);
    let news = RunReport { from: 2, ..report(&run, run::RunStatus::Running, &["c"]) };
    assert_eq!(plan.record_report("a", &news, NOW + 10), ReportAction::Defer);
    let all = report(&run, run::RunStatus::Running, &["a", "b", "c"]);
    assert_eq!(plan.record_report("a", &all, NOW + 20), ReportAction::Continue);
    assert_eq!(plan.output("a", 0).unwrap().events.len(), 3);
}

/// Symptom: after the loss of all processes the samples wait half a second more than they must.
/// Sequence: all hosts are back and have told the next leader that they run nothing.
/// Cause: the leader waited for a fixed time, as if some host had not told yet.
#[test]
fn a_step_that_was_taken_over_starts_once_all_hosts_have_told() {
    let mut plan = plan(&[engine("e1", 2, 1)], &[]);
    plan.open_step(step("a", &[5]), NOW, NOW + 500, |_| false);
    plan.record_host_reported("h1");
    assert!(assign(&mut plan, NOW + 10).is_empty(), "nobody was asked about the step yet");
    plan.await_hosts(BTreeSet::from(["h1".to_owned(), "h2".to_owned()]), NOW + 10);
    plan.open_step(step("b", &[5]), NOW, NOW + 500, |_| false);
    plan.record_host_reported("h1");
    assert!(assign(&mut plan, NOW + 20).is_empty(), "the other may still run it");
    plan.record_host_reported("h2");
    let runs = assign(&mut plan, NOW + 30);
    assert_eq!(runs.iter().map(|run| run.step.id.as_str()).collect::<Vec<_>>(), ["a"]);
}

#[test]
fn a_report_that_does_not_fit_what_is_known_is_not_added() {
    let mut plan = plan(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    let run = assign(&mut plan, NOW).remove(0);
    let ahead = RunReport { from: 3, ..report(&run, run::RunStatus::Running, &["w"]) };
    assert_eq!(plan.record_report("a", &ahead, NOW), ReportAction::Stop);
    assert!(plan.output("a", 0).unwrap().events.is_empty());
}

/// Symptom: a sample is given up though it could have been made.
/// Sequence: connections break, engines are full, addresses move; none of them failed at it.
/// Cause: every end without success was counted as a failure of the sample.
#[test]
fn only_failures_of_the_engine_count_against_a_sample() {
    let mut plan = plan(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    let mut now = NOW;
    for end in [RunEnd::Broken, RunEnd::Full, RunEnd::Taken, RunEnd::Broken, RunEnd::Full] {
        now = now + 10_000;
        plan.update_engine(&engine("e2", 1, 1));
        assert_eq!(assign(&mut plan, now).len(), 1);
        assert_eq!(plan.record_run_end("a", 0, end, now), AfterRun::Again);
    }
    for next in [AfterRun::Again, AfterRun::Again, AfterRun::GiveUp] {
        now = now + 10_000;
        assert_eq!(assign(&mut plan, now).len(), 1);
        assert_eq!(plan.record_run_end("a", 0, RunEnd::Failed, now), next);
    }
    assert_eq!(plan.settle("a", 0).as_deref(), Some("a0"), "its verdict is to be listed");
    assert!(assign(&mut plan, now + 10_000).is_empty());
}

#[test]
fn a_sample_that_can_never_be_made_is_given_up_at_once() {
    let mut plan = plan(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    assign(&mut plan, NOW);
    assert_eq!(plan.record_run_end("a", 0, RunEnd::Unfit, NOW), AfterRun::GiveUp);
    assert_eq!(plan.settle("a", 0).as_deref(), Some("a0"), "its verdict is to be listed");
    assert_eq!(plan.settle("a", 0), None, "it has its verdict");
    assert!(assign(&mut plan, NOW + 10_000).is_empty());
    assert_eq!(plan.engines().map(EngineState::load).sum::<u32>(), 0, "its engine is free");
}

/// Guards against a content that crashes the engine that runs it, and is given to one after the other for as
/// long as its step lives.
#[test]
fn a_sample_that_crashes_engines_is_run_again_three_times_at_most() {
    let mut plan = plan(&[engine("e1", 4, 1), engine("e2", 4, 1)], &[step("a", &[1])]);
    let mut runs = Vec::new();
    for ms in (0..39_000).step_by(50) {
        for run in assign(&mut plan, NOW + ms) {
            runs.push(ms);
            plan.record_run_end("a", run.index, RunEnd::Crashed, NOW + ms);
        }
    }
    assert_eq!(runs.len(), 6, "{runs:?}");
    assert!(runs[2] < 3_000, "the first runs, before it is suspected: {runs:?}");
    assert!(runs[2..].windows(2).all(|two| two[1] - two[0] >= 4_000), "{runs:?}");
    assert!(plan.exhausted_samples().is_empty(), "no engine has said that it fails");
}

/// Guards against a sample that rests because engines crashed beside it, while it was being made.
#[test]
fn a_sample_of_which_events_come_is_not_suspected_for_crashes() {
    let mut plan = plan(&[engine("e1", 4, 1)], &[step("a", &[1])]);
    for crash in 0..6 {
        let now = NOW + crash * 4_000;
        let run = assign(&mut plan, now).remove(0);
        let events = vec!["x"; crash as usize / 2 + 1];
        // Each second run makes an event, and both tell once more when nothing is new.
        for _ in 0..2 {
            let told = report(&run, run::RunStatus::Running, &events);
            let told = RunReport { cost: run.cost.clone(), ..told };
            assert_eq!(plan.record_report("a", &told, now), ReportAction::Continue);
        }
        plan.record_run_end("a", 0, RunEnd::Crashed, now);
    }
    assert_eq!(assign(&mut plan, NOW + 24_000).len(), 1);
}

/// Guards against a content that fails each time and runs again in each step in which it comes.
#[test]
fn a_sample_that_comes_again_in_another_step_is_judged_by_all_its_runs() {
    let again = |id: &str| Arc::new(Step { id: id.to_owned(), ..(*step("a", &[1])).clone() });
    for (end, runs) in [(RunEnd::Unfit, 1), (RunEnd::Failed, 3)] {
        let mut plan = plan(&[engine("e1", 1, 1)], &[again("a")]);
        for run in 0..runs {
            let now = NOW + run * 10_000;
            assert_eq!(assign(&mut plan, now).len(), 1);
            plan.record_run_end("a", 0, end, now);
        }
        plan.close_step("a", NOW + 40_000);
        plan.open_step(again("b"), NOW + 50_000, Millis::default(), |_| false);
        assert_eq!(plan.exhausted_samples(), [("b".to_owned(), 0)]);
        plan.settle("b", 0).expect("a verdict");
        assert!(assign(&mut plan, NOW + 60_000).is_empty(), "{end:?}");
    }
}

/// Guards against a run that is given, late in the life of its step, the time that the first one had.
#[test]
fn a_later_run_of_a_sample_ends_no_later_than_the_first() {
    let mut plan = plan(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    let first = assign(&mut plan, NOW).remove(0);
    plan.record_run_end("a", 0, RunEnd::Broken, NOW + 9_000);
    let second = assign(&mut plan, NOW + 10_000).remove(0);
    assert_eq!((first.remaining_ms, second.remaining_ms), (40_000, 30_000));
}

/// Guards against time without a leader that is added to what endpoints were told.
#[test]
fn runs_under_the_next_leader_end_no_later_than_those_before() {
    let mut next = plan(&[engine("e1", 1, 1)], &[]);
    next.open_step(step("a", &[1]), NOW, NOW + 500, |_| false);
    let mut before = plan(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    let run = assign(&mut before, NOW).remove(0);
    let told = RunReport { remaining_ms: 39_000, ..report(&run, run::RunStatus::Running, &["x"]) };
    assert_eq!(next.record_report("a", &told, NOW), ReportAction::Continue);
    next.record_run_end("a", 0, RunEnd::Broken, NOW);
    assert_eq!(assign(&mut next, NOW + 10_000)[0].remaining_ms, 29_000);
}

/// Guards against a sample that may fail as often again after each change of leader.
#[test]
fn the_next_leader_goes_on_with_a_samples_failures() {
    let mut before = plan(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    for now in [NOW, NOW + 10_000] {
        assign(&mut before, now);
        before.record_run_end("a", 0, RunEnd::Failed, now);
    }
    let run = assign(&mut before, NOW + 20_000).remove(0);
    assert_eq!(run.cost.failures, 2);
    let mut next = Planner::new(Epoch(2));
    next.open_step(step("a", &[1]), NOW, NOW + 500, |_| false);
    let told = RunReport { cost: run.cost.clone(), ..report(&run, run::RunStatus::Running, &[]) };
    assert_eq!(next.record_report("a", &told, NOW), ReportAction::Continue);
    assert_eq!(next.record_run_end("a", 0, RunEnd::Failed, NOW), AfterRun::GiveUp);
}

/// Guards against a sample whose counts are lost because its run is not wanted any more when its host tells.
#[test]
fn a_run_that_is_refused_still_tells_what_its_sample_has_cost() {
    let mut plan = plan(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    let run = assign(&mut plan, NOW).remove(0);
    let scorer = run::CallCost { failures: 2, endpoints: BTreeSet::from(["d1".to_owned()]) };
    let cost = run::Cost { failures: 1, scorer, ..run::Cost::default() };
    let told = RunReport { cost: cost.clone(), ..report(&run, run::RunStatus::Scoring, &["x"]) };
    assert_eq!(plan.record_report("another", &told, NOW), ReportAction::Stop);
    plan.record_run_end("a", 0, RunEnd::Broken, NOW);
    let run = assign(&mut plan, NOW + 10_000).remove(0);
    assert_eq!(run.cost, cost);
}

/// The load: an engine turns three times slower. Its runs would take most of a step's time; any
/// other engine with room goes on with them. Without room there they stay.
#[test]
fn runs_leave_a_slow_engine_only_for_a_fast_one_with_room() {
    let engines = [engine("e1", 2, 1), engine("e2", 2, 1), engine("e3", 2, 1)];
    let mut plan = plan(&engines, &[step("a", &[1; 6])]);
    let runs = assign(&mut plan, NOW);
    let slow = "e1";
    let later = NOW + 1_000;
    let told = |plan: &mut Planner, now: Millis| {
        for run in &runs {
            let gap_ms = if run.endpoint == slow { 300 } else { 40 };
            for _ in 0..20 {
                let report = report(run, run::RunStatus::Running, &["x"]);
                plan.record_report("a", &RunReport { gap_ms, ..report }, now);
            }
        }
    };
    told(&mut plan, later);
    assert!(plan.slow_runs(later).is_empty(), "nobody else has room");
    let done = runs.iter().find(|run| run.endpoint == "e2").unwrap();
    plan.record_report("a", &report(done, run::RunStatus::Scoring, &["x"]), later);
    let moved = plan.slow_runs(later);
    assert_eq!(moved.len(), 1, "there is room for one");
    let from = runs.iter().find(|run| run.index == moved[0].1).unwrap();
    assert_eq!(from.endpoint, slow);
}

#[test]
fn a_run_of_which_nothing_is_heard_is_begun_anew() {
    let mut plan = plan(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    assign(&mut plan, NOW);
    assert!(plan.lost_runs(NOW + 3_900).is_empty());
    assert_eq!(plan.lost_runs(NOW + 4_000), [("a".to_owned(), 0)]);
}

/// The load: all processes are lost at once while the longest samples of a step are nearly done.
#[test]
fn long_runs_are_noted_and_recalled() {
    let mut plan = plan(&[engine("e1", 1, 1)], &[step("a", &[1])]);
    let run = assign(&mut plan, NOW).remove(0);
    let events: Vec<String> = (0..30).map(|n| n.to_string()).collect();
    let events: Vec<&str> = events.iter().map(String::as_str).collect();
    plan.record_report("a", &report(&run, run::RunStatus::Running, &events[..20]), NOW);
    assert!(plan.take_checkpoints().is_empty(), "most runs are over before they need a note");
    plan.record_report("a", &report(&run, run::RunStatus::Running, &events), NOW);
    let notes = plan.take_checkpoints().remove(0).1;
    assert!(plan.take_checkpoints().is_empty(), "it is noted");
    let mut next = Planner::new(Epoch(2));
    next.update_engine(&engine("e1", 1, 1));
    next.open_step(step("a", &[1]), NOW, NOW + 1, |_| false);
    next.restore_checkpoints("a", notes);
    let again = assign(&mut next, NOW + 1).remove(0);
    assert_eq!(again.output.events.len(), 30);
}

#[test]
fn samples_are_given_up_by_age_or_when_their_route_is_gone() {
    let plan = plan(&[], &[step("a", &[1])]);
    assert!(plan.expired_samples(&steps_config(), NOW + 39_999).is_empty());
    assert_eq!(plan.expired_samples(&steps_config(), NOW + 40_000).len(), 1);
    assert_eq!(plan.expired_samples(&Config::default(), NOW).len(), 1);
}

/// Symptom: a sample of a step that wants one version a sample names two.
/// Sequence: a run is taken over by another engine, which has a newer version.
/// Cause: what the first engine made was kept.
#[test]
fn a_sample_of_one_version_begins_anew_under_another() {
    let single = Arc::new(Step { single_version: true, ..(*step("a", &[1])).clone() });
    let mut plan = plan(&[engine("e1", 1, 1)], &[single]);
    assert!(plan.needs_single_version("m") && !plan.needs_single_version("n"));
    let run = assign(&mut plan, NOW).remove(0);
    plan.record_report("a", &report(&run, run::RunStatus::Running, &["x"]), NOW);
    plan.orphan_runs("a");
    plan.remove_engine("e1");
    plan.update_engine(&engine("e2", 1, 2));
    assert!(assign(&mut plan, NOW).remove(0).output.events.is_empty());
}

/// Symptom: whole steps are given up within a second, though most engines are well.
/// Sequence: an engine answers each sample at once that it failed. So it is always the idlest, gets the
/// next samples and those that have just failed there, and each of them fails as often as it may.
/// Cause: a failure counted against the sample only, and the engine was given work again at once.
#[test]
fn an_engine_that_fails_at_once_is_left_alone_for_a_moment() {
    let mut plan = plan(&[engine("bad", 4, 1), engine("good", 4, 1)], &[step("a", &[1; 16])]);
    let (mut on_bad, mut given_up) = (0, 0);
    // A tenth of a second, in which the good engine makes none of its four.
    for ms in 0..100 {
        let now = NOW + ms;
        for run in assign(&mut plan, now).iter().filter(|run| run.endpoint == "bad") {
            on_bad += 1;
            let next = plan.record_run_end("a", run.index, RunEnd::Failed, now);
            given_up += u32::from(next == AfterRun::GiveUp);
        }
    }
    assert_eq!(given_up, 0, "of 16 samples, {on_bad} runs at the bad engine");
    assert!(on_bad <= 4, "{on_bad} runs at an engine that has failed at four");
}

/// A step of `groups` groups of ten, of which its trainer waits for all but one.
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

/// The load: three trainers with steps of 80 to 128 samples, of which the longest three to eight are
/// cut off at the same length and end 30 to 130 ms apart, 7.3 s after they began. A trainer that has
/// read something reads again half a second later, and so had its whole step that much later.
#[test]
fn the_last_results_of_a_step_wait_for_each_other_and_no_others_do() {
    let mut plan = plan(&[engine("e1", 30, 1)], &[grouped("a", 3)]);
    assign(&mut plan, NOW);
    let (soon, last) = (NOW + LIST_DELAY_MS, NOW + FINAL_LIST_DELAY_MS);
    // Two groups are whole but for one sample each, and the third for two.
    let settled: Vec<u32> = (0..30).filter(|index| ![9, 19, 28, 29].contains(index)).collect();
    for index in settled {
        assert_eq!(plan.list_at("a", NOW, None), soon, "{index}");
        plan.settle("a", index);
    }
    plan.settle("a", 9);
    assert_eq!(plan.list_at("a", NOW, None), last, "three of thirty are left");
    plan.settle("a", 28);
    assert_eq!(plan.list_at("a", NOW, None), last);
    plan.settle("a", 19);
    assert_eq!(plan.list_at("a", NOW, None), soon, "its trainer has what it waits for");
}

/// A read that is over goes with what there is, so it is never answered empty for this.
#[test]
fn the_last_results_of_a_step_are_listed_before_a_read_that_waits_for_them_is_over() {
    let mut plan = plan(&[engine("e1", 30, 1)], &[grouped("a", 3)]);
    assign(&mut plan, NOW);
    for index in 0..27 {
        plan.settle("a", if index < 18 { index } else { index + 1 });
    }
    let list_at = |read: u64| plan.list_at("a", NOW, Some(NOW + read)).since(NOW);
    assert_eq!(list_at(700), 650);
    assert_eq!(list_at(20), LIST_DELAY_MS);
    assert_eq!(list_at(5_000), MAX_LIST_DELAY_MS);
}

#[test]
fn the_last_sample_of_a_step_waits_for_nobody() {
    let mut plan = plan(&[engine("e1", 30, 1)], &[grouped("a", 3)]);
    assign(&mut plan, NOW);
    for index in 0..30 {
        plan.settle("a", index);
    }
    let read = Some(NOW + 900);
    assert_eq!(plan.list_at("a", NOW, read), NOW + LIST_DELAY_MS);
    plan.close_step("a", NOW);
    assert_eq!(plan.list_at("a", NOW, read), NOW + LIST_DELAY_MS, "nor does one of a closed step");
}

/// The load: samples that are cut off at the same length, so that the last of a step end together, when
/// can be told from their pace. A trainer reads at most each half second. A read that is over shortly
/// before the last results lets it begin the next one too late to go on when they come.
#[test]
fn a_read_is_answered_early_so_that_the_next_one_awaits_the_last_results() {
    let mut plan = plan(&[engine("e1", 40, 1)], &[step("before", &[1]), grouped("a", 3)]);
    let runs = assign(&mut plan, NOW);
    let events = |count: usize| vec!["x"; count];
    let before = runs.iter().find(|run| run.step.id == "before").unwrap();
    plan.record_report("a", &report(before, run::RunStatus::Scoring, &events(100)), NOW);
    for index in 0..27 {
        plan.settle("a", if index < 18 { index } else { index + 1 });
    }
    let now = NOW + 7_000;
    // One in each group is left; these have 20 events to go, of 50 ms each.
    for index in [18, 28, 29] {
        let run = runs.iter().find(|run| run.step.id == "a" && run.index == index).unwrap();
        let running = report(run, run::RunStatus::Running, &events(80));
        plan.record_report("a", &RunReport { gap_ms: 50, ..running }, now);
    }
    let end = now + 20 * 50;
    let list_at = |read: Millis| plan.list_at("a", now, Some(read));
    let early = list_at(end).0;
    assert!(early + 500 < end.0 && early + 1_000 > end.0 + 100, "{early} for {end:?}");
    // A read that is over long before leaves time for another, one that is over later awaits them.
    assert_eq!(list_at(now + 400), now + 350);
    assert_eq!(list_at(end + 500), now + MAX_LIST_DELAY_MS);
    // What comes so late that the next read would begin too late as well waits for the last ones.
    let late = end.0 - 400;
    assert_eq!(plan.list_at("a", Millis(late), Some(end)).0, end.0 - 50);
}

/// The load: 3,000 engines and a step of 144 samples in groups, beside others that are loaded.
#[test]
fn samples_go_to_the_least_loaded_of_many_engines() {
    let engines: Vec<Endpoint> = (0..3_000).map(|n| engine(&format!("e{n:04}"), 6, 1)).collect();
    let mut plan = plan(&engines, &[grouped("a", 15), grouped("b", 285)]);
    let runs = assign(&mut plan, NOW);
    assert_eq!(runs.len(), 3_000);
    assert!(
        runs.iter().all(|run| run.other_runs == 0),
        "none is beside another while engines are idle"
    );
    let taken: BTreeSet<&str> = runs.iter().map(|run| run.endpoint.as_str()).collect();
    assert_eq!(taken.len(), 3_000);
}
