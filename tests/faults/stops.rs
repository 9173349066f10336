//! Planned stops under load: no work is cut off, and no new work is accepted, even from an entry
//! that has missed the change.

use std::thread;
use std::time::Duration;

use chicoryford_standin::caller::CallerSettings;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::raw;
use chicoryford_standin::raw::Question;
use chicoryford_standin::record::unix;
use chicoryford_standin::records::EngineLine;
use chicoryford_types::Attempt;
use chicoryford_types::Class;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::Fingerprint;
use chicoryford_types::Incarnation;
use chicoryford_types::Model;
use chicoryford_types::Outcome;
use chicoryford_types::RequestId;
use chicoryford_types::Work;
use chicoryford_types::Workspace;
use chicoryford_types::request::Generation;
use chicoryford_types::request::Task;
use chicoryford_wire::paths;
use serde_json::json;

use crate::calls::check_answered;
use crate::calls::desk_settings;
use crate::standins::CallerRun;
use crate::standins::Engine;
use crate::standins::TEMPLATE;
use crate::standins::check_calls;
use crate::system::System;

/// The time after which an endpoint whose stop is planned must get no new work.
const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(5);
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// Plans a stop of `target`, given as arguments of the client.
fn plan_stop(system: &System, at: std::net::SocketAddr, target: &[&str]) {
    let mut arguments = vec!["stop", "plan", "--id", "stop", "--reason", "test"];
    arguments.extend(target);
    let planned = system.client(&[at], &arguments);
    assert!(planned.status.success(), "{planned:?}");
}

/// Waits until a daemon has the stop in force, and then for [`NO_NEW_WORK_AFTER`].
fn wait_for_stop(system: &System, daemon: &str) {
    system.wait("the stop is in force", || {
        let config = system.get(system.address(daemon), paths::CONFIG);
        config["stops"].as_object().is_some_and(|stops| !stops.is_empty())
    });
    thread::sleep(NO_NEW_WORK_AFTER);
}

/// Checks by an engine's own record that no work was cut off, and that none started after `from`.
fn check_stopped(engine: &Engine, from: u64) {
    let lines = engine.lines();
    let cut = |line: &&_| {
        let line: &EngineLine = line;
        line.event == "end" && line.how != "stop" && line.how != "length"
    };
    let cuts: Vec<_> = lines.iter().filter(cut).collect();
    assert!(cuts.is_empty(), "cut off: {cuts:?}");
    let late: Vec<_> = lines.iter().filter(|l| l.event == "start" && l.at > from).collect();
    assert!(late.is_empty(), "started after the stop: {late:?}");
    assert!(lines.iter().any(|line| line.event == "start"), "the engine never ran a request");
}

#[test]
fn a_stopping_endpoint_gets_nothing_new_even_from_an_entry_that_missed_the_news() {
    // Guards against work that still arrives at an endpoint whose stop is planned, and against
    // cutting off the work that it runs. An entry is frozen, a stop is planned, and the entry
    // resumes with its old configuration and sends work. The agent must refuse new work too,
    // because an entry may have missed the change.
    let mut system = System::start(1);
    let entries = [system.start_entry("e1", "dc-1"), system.start_entry("e2", "dc-1")];
    let mut start = |name| Engine::start(&mut system, name, EngineSettings::default());
    let (leaving, staying) = (start("engine-1"), start("engine-2"));
    system.wait_endpoints(&entries, 2);
    system.apply(&entries, TEMPLATE);
    let caller = CallerRun::start(&system, &entries[..1], desk_settings(10.0));
    let before = CallerRun::start(&system, &entries[1..], desk_settings_named("before", 2.0));
    check_answered(&before.finish().1);
    system.daemon_mut("e2").process.freeze().unwrap();
    plan_stop(&system, entries[0], &["--endpoint", "engine-1"]);
    wait_for_stop(&system, "agent-engine-1");
    let from = unix();
    let refused = send_work(&system, "agent-engine-1");
    let refusal = refused.map(|failure| (failure.code, failure.outcome));
    assert_eq!(refusal, Some((Code::Draining, Outcome::NotRun)));
    // These calls wait in the socket buffers of the entry, which resumes with its old
    // configuration.
    let waiting = CallerRun::start(&system, &entries[1..], desk_settings_named("waiting", 3.0));
    thread::sleep(Duration::from_secs(1));
    system.daemon_mut("e2").process.thaw().unwrap();
    check_answered(&waiting.finish().1);
    check_answered(&caller.finish().1);
    check_stopped(&leaving, from);
    check_calls(&[&leaving, &staying], &system.path("waiting.jsonl"));
    system.check_logs();
}

/// Sends an attempt to an agent, as an entry that has missed the stop does. Returns the refusal.
fn send_work(system: &System, agent: &str) -> Option<Failure> {
    let work = Work {
        request: RequestId(1, 1),
        attempt: Attempt(1),
        incarnation: Incarnation::default(),
        workspace: Workspace::from("desk"),
        model: Model::from("model"),
        class: Class::Urgent,
        budget_ms: 60_000,
        repeatable: true,
        key: None,
        floor: None,
        fingerprint: Fingerprint::of(b"late"),
        suspect: false,
        task: Task::Generate(Generation { max_tokens: 4, ..Generation::default() }),
    };
    let body = rmp_serde::to_vec_named(&work).unwrap();
    let question =
        Question { path: paths::WORK, token: "process-token", body: &body, ..Question::default() };
    rmp_serde::from_slice(&raw::ask_bytes(system.address(agent), &question)).ok()
}

fn desk_settings_named(name: &str, seconds: f64) -> CallerSettings {
    CallerSettings { name: name.to_owned(), ..desk_settings(seconds) }
}

#[test]
fn an_entry_that_is_asked_to_stop_cuts_nothing() {
    // Guards against callers that get half an answer or none when an entry is asked to stop under
    // load; they retry through the other entry. The process must wait for the answers in progress,
    // and must report what it no longer accepts as not run.
    let mut system = System::start(1);
    let entries = [system.start_entry("e1", "dc-1"), system.start_entry("e2", "dc-1")];
    let engine = Engine::start(&mut system, "engine-1", EngineSettings::default());
    system.wait_endpoints(&entries, 1);
    system.apply(&entries, TEMPLATE);
    let caller = CallerRun::start(&system, &entries, desk_settings(6.0));
    system.wait("the engine works", || engine.engine.state().running > 0);
    thread::sleep(Duration::from_secs(1));
    assert!(
        system.daemon_mut("e1").process.stop(STOP_TIMEOUT).unwrap(),
        "the entry did not exit with code 0"
    );
    check_answered(&caller.finish().1);
    check_calls(&[&engine], &system.path("desk.jsonl"));
    // With one endpoint no request gets a second attempt, so none is cancelled because another one
    // was faster.
    let lines = engine.lines();
    let is_cut = |line: &&EngineLine| line.how == "dropped" || line.how == "cancelled";
    let cut: Vec<&EngineLine> = lines.iter().filter(is_cut).collect();
    assert!(cut.is_empty(), "{cut:?}");
    system.check_logs();
}

#[test]
fn a_data_centre_that_stops_cuts_nothing_and_takes_nothing_new() {
    // Guards against calls that are cut off when a data centre is drained, and against a data
    // centre that never becomes empty. A stop of the data centre is planned under load. Its entry
    // and endpoints must accept no new work, and must finish the work that they have.
    let mut system = System::start(1);
    let entries = [system.start_entry("e1", "dc-1"), system.start_entry("e2", "dc-2")];
    let settings = EngineSettings::default;
    let staying = Engine::start(&mut system, "engine-1", settings());
    let leaving = Engine::start_in(&mut system, "dc-2", "engine-2", settings());
    system.wait_endpoints(&entries, 2);
    system.apply(&entries, TEMPLATE);
    let caller = CallerRun::start(&system, &entries, desk_settings(12.0));
    system.wait("the engine works", || leaving.engine.state().running > 0);
    plan_stop(&system, entries[0], &["--data-centre", "dc-2"]);
    wait_for_stop(&system, "agent-engine-2");
    let from = unix();
    let body = json!({"model": "model", "prompt": "x", "max_tokens": 4}).to_string();
    let refused = system.post(entries[1], paths::COMPLETIONS, "caller-token", &body);
    let refusal = (refused.status, refused.code(), refused.outcome());
    assert_eq!(refusal, (503, "draining".to_owned(), "not_run".to_owned()));
    check_answered(&caller.finish().1);
    check_stopped(&leaving, from);
    check_calls(&[&staying, &leaving], &system.path("desk.jsonl"));
    for daemon in ["agent-engine-2", "e2"] {
        assert!(
            system.daemon_mut(daemon).process.stop(STOP_TIMEOUT).unwrap(),
            "{daemon} did not exit with code 0"
        );
    }
    system.check_logs();
}

#[test]
fn an_entry_that_is_asked_to_stop_finishes_its_samples() {
    // Guards against discarding the samples in progress when an entry that owns a step gets
    // SIGTERM, although the grace period is long. No sample is lost then, but all are generated
    // again elsewhere. The trainer opens a step and is not pulling at that moment. Running samples
    // must count as work in progress at the moment of the signal, not only from the next run of the
    // duty of steps.
    let mut system = System::start(1);
    let entry = system.start_entry("e1", "dc-1");
    let slow = EngineSettings { length: 800, ..EngineSettings::default() };
    let engine = Engine::start(&mut system, "engine-1", slow);
    system.wait_endpoints(&[entry], 1);
    system.apply(&[entry], TEMPLATE);
    let step = json!({
        "workspace": "desk", "step": 1, "model": "model", "samples": 4, "max_tokens": 500,
        "groups": [{"prompt": "a route"}],
    });
    system.wait("the step is open", || {
        system.post(entry, paths::STEP_OPEN, "trainer-token", &step.to_string()).status == 200
    });
    let of = |event: &str| engine.lines().into_iter().filter(|l| l.event == event).count();
    system.wait("all samples run", || of("start") == 4);
    assert!(system.daemon_mut("e1").process.stop(STOP_TIMEOUT).unwrap());
    system.wait("the engine has finished all samples", || of("end") == 4);
    check_stopped(&engine, u64::MAX);
    system.check_logs();
}
