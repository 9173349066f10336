//! Planned stops under load: nothing is cut, and new work ceases, also where the news is missed.

use std::thread;
use std::time::Duration;

use chicoryford_standin::caller::CallerSettings;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_standin::raw;
use chicoryford_standin::raw::Question;
use chicoryford_standin::record::unix;
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
use crate::calls::desk;
use crate::standins::Calling;
use crate::standins::Engine;
use crate::standins::TEMPLATE;
use crate::standins::check_calls;
use crate::system::System;

/// The "few seconds" after which a leaving endpoint gets no new work.
const FEW: Duration = Duration::from_secs(5);
const STOP: Duration = Duration::from_secs(60);

/// Plans a stop.
fn plan(system: &System, at: std::net::SocketAddr, target: &[&str]) {
    let mut arguments = vec!["stop", "plan", "--id", "stop", "--reason", "test"];
    arguments.extend(target);
    let planned = system.client(&[at], &arguments);
    assert!(planned.status.success(), "{planned:?}");
}

/// Waits until a daemon has the stop in force, and the few seconds that follow.
fn wait_stop(system: &System, daemon: &str) {
    system.wait("the stop is in force", || {
        let config = system.get(system.address(daemon), paths::CONFIG);
        config["stops"].as_object().is_some_and(|stops| !stops.is_empty())
    });
    thread::sleep(FEW);
}

/// Checks by an engine's own record that nothing was cut, and that nothing began after `from`.
fn check_stopped(engine: &Engine, from: u64) {
    let lines = engine.lines();
    let cut = |line: &&_| {
        let line: &chicoryford_standin::records::EngineLine = line;
        line.event == "end" && line.how != "stop" && line.how != "length"
    };
    let cuts: Vec<_> = lines.iter().filter(cut).collect();
    assert!(cuts.is_empty(), "cut: {cuts:?}");
    let late: Vec<_> = lines.iter().filter(|l| l.event == "start" && l.at > from).collect();
    assert!(late.is_empty(), "begun after the stop: {late:?}");
    assert!(lines.iter().any(|line| line.event == "start"), "it never worked");
}

#[test]
fn a_stopping_endpoint_gets_nothing_new_even_from_an_entry_that_missed_the_news() {
    // Symptom: work goes on arriving at an endpoint that is leaving, or what it runs is cut.
    // Sequence: an entry stands still; a stop is planned; the entry goes on with what it knew and
    // sends. Cause: only entries refused new work, by a configuration that one of them missed.
    let mut system = System::start(1);
    let entries = [system.entry("e1", "dc-1"), system.entry("e2", "dc-1")];
    let mut start = |name| Engine::start(&mut system, name, EngineSettings::default());
    let (leaving, staying) = (start("engine-1"), start("engine-2"));
    system.wait_endpoints(&entries, 2);
    system.apply(&entries, TEMPLATE);
    let calling = Calling::start(&system, &entries[..1], desk(10.0));
    let before = Calling::start(&system, &entries[1..], named("before", 2.0));
    check_answered(&before.finish().1);
    system.of("e2").process.freeze().unwrap();
    plan(&system, entries[0], &["--endpoint", "engine-1"]);
    wait_stop(&system, "agent-engine-1");
    let from = unix();
    let refused = send_work(&system, "agent-engine-1");
    let said = refused.map(|failure| (failure.code, failure.outcome));
    assert_eq!(said, Some((Code::Draining, Outcome::NotRun)));
    // What is sent now lies in the buffers of the entry, which wakes with its old view.
    let waiting = Calling::start(&system, &entries[1..], named("waiting", 3.0));
    thread::sleep(Duration::from_secs(1));
    system.of("e2").process.thaw().unwrap();
    check_answered(&waiting.finish().1);
    check_answered(&calling.finish().1);
    check_stopped(&leaving, from);
    check_calls(&[&leaving, &staying], &system.path("waiting.jsonl"));
    system.check_logs();
}

/// Sends an attempt to an agent, as an entry does that missed the news.
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

fn named(name: &str, seconds: f64) -> CallerSettings {
    CallerSettings { name: name.to_owned(), ..desk(seconds) }
}

#[test]
fn an_entry_that_is_asked_to_stop_cuts_nothing() {
    // Symptom: a caller gets half an answer, or none. Sequence: an entry is asked to stop under
    // load, and ends; callers go to the other one. Cause: the process did not wait for its answers,
    // or did not say "not run" to what it no longer takes.
    let mut system = System::start(1);
    let entries = [system.entry("e1", "dc-1"), system.entry("e2", "dc-1")];
    let engine = Engine::start(&mut system, "engine-1", EngineSettings::default());
    system.wait_endpoints(&entries, 1);
    system.apply(&entries, TEMPLATE);
    let calling = Calling::start(&system, &entries, desk(6.0));
    system.wait("the engine works", || engine.engine.state().running > 0);
    thread::sleep(Duration::from_secs(1));
    assert!(system.of("e1").process.stop(STOP).unwrap(), "it did not end by itself with 0");
    check_answered(&calling.finish().1);
    check_calls(&[&engine], &system.path("desk.jsonl"));
    assert!(engine.lines().iter().all(|line| line.how != "dropped" && line.how != "cancelled"));
    system.check_logs();
}

#[test]
fn a_data_centre_that_stops_cuts_nothing_and_takes_nothing_new() {
    // Symptom: callers are cut when a data centre is emptied, or it never becomes empty. Sequence:
    // a stop of a data centre is planned under load. Cause: its entry or endpoints went on taking
    // work, or gave up what they had.
    let mut system = System::start(1);
    let entries = [system.entry("e1", "dc-1"), system.entry("e2", "dc-2")];
    let settings = EngineSettings::default;
    let staying = Engine::start(&mut system, "engine-1", settings());
    let leaving = Engine::start_in(&mut system, "dc-2", "engine-2", settings());
    system.wait_endpoints(&entries, 2);
    system.apply(&entries, TEMPLATE);
    let calling = Calling::start(&system, &entries, desk(12.0));
    system.wait("the engine works", || leaving.engine.state().running > 0);
    plan(&system, entries[0], &["--data-centre", "dc-2"]);
    wait_stop(&system, "agent-engine-2");
    let from = unix();
    let body = json!({"model": "model", "prompt": "x", "max_tokens": 4}).to_string();
    let refused = system.post(entries[1], paths::COMPLETIONS, "caller-token", &body);
    let said = (refused.status, refused.code(), refused.outcome());
    assert_eq!(said, (503, "draining".to_owned(), "not_run".to_owned()));
    check_answered(&calling.finish().1);
    check_stopped(&leaving, from);
    check_calls(&[&staying, &leaving], &system.path("desk.jsonl"));
    for daemon in ["agent-engine-2", "e2"] {
        assert!(system.of(daemon).process.stop(STOP).unwrap(), "{daemon} did not end with 0");
    }
    system.check_logs();
}

#[test]
fn an_entry_that_is_asked_to_stop_finishes_its_samples() {
    // Symptom: each planned stop of an entry throws away the samples that its steps run, though
    // the grace is long; nothing is lost, but they are all made again elsewhere. Sequence: a
    // trainer opens a step and does not pull just then, samples run, the entry gets SIGTERM.
    // Cause: nothing counted as in progress in the moment of the signal, because the duty of
    // steps held up the end only from its next look on.
    let mut system = System::start(1);
    let entry = system.entry("e1", "dc-1");
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
    assert!(system.of("e1").process.stop(STOP).unwrap());
    system.wait("the engine has nothing left", || of("end") == 4);
    check_stopped(&engine, u64::MAX);
    system.check_logs();
}
