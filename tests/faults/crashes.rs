//! A prompt that crashes every engine that runs it.

use chicoryford_standin::engine::CRASH_MARK;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_wire::paths;
use serde_json::json;

use crate::calls::check_answered;
use crate::calls::desk_settings;
use crate::standins::CallerRun;
use crate::standins::Engine;
use crate::standins::TEMPLATE;
use crate::standins::check_calls;
use crate::system::System;

/// The most crashes before a prompt is convicted, whatever ran concurrently (docs/SUSPECTS.md).
const MAX_CRASHES: usize = 6;

#[test]
fn a_prompt_that_crashes_engines_is_convicted_everywhere() {
    // Guards against a prompt that crashes one engine after another, and against harmless prompts
    // that are refused or get no answer because they ran concurrently with it. The caller sends the
    // prompt again under a new request id through both entries, so it must be recognised by its
    // content, and only that content may be convicted.
    let mut system = System::start(1);
    let entries = [system.start_entry("e1", "dc-1"), system.start_entry("e2", "dc-1")];
    let start = |i| Engine::start(&mut system, &format!("engine-{i}"), EngineSettings::default());
    let engines: Vec<Engine> = (1..=6).map(start).collect();
    system.wait_endpoints(&entries, engines.len());
    system.apply(&entries, TEMPLATE);
    let caller = CallerRun::start(&system, &entries, desk_settings(12.0));
    let prompt = format!("{CRASH_MARK} pages 1 to 0");
    let body = json!({"model": "model", "prompt": prompt, "max_tokens": 8}).to_string();
    let mut sent = 0;
    system.wait("the prompt is refused by both entries", || {
        sent += 2;
        let answers = entries.map(|at| system.post(at, paths::COMPLETIONS, "caller-token", &body));
        answers.iter().all(|answer| answer.code() == "convicted" && answer.outcome() == "not_run")
    });
    let crashes = || engines.iter().map(Engine::crashes).sum::<usize>();
    let crashes_before = crashes();
    for at in entries {
        let again = system.post(at, paths::COMPLETIONS, "caller-token", &body);
        assert_eq!(again.code(), "convicted", "{again:?}");
    }
    let (_, calls) = caller.finish();
    check_answered(&calls);
    let all: Vec<&Engine> = engines.iter().collect();
    check_calls(&all, &system.path("desk.jsonl"));
    assert_eq!(crashes(), crashes_before, "the convicted prompt crashed another engine");
    assert!(
        (1..=MAX_CRASHES).contains(&crashes_before),
        "{crashes_before} crashes by {sent} requests"
    );
    for at in entries {
        let config = system.get(at, paths::CONFIG);
        let convicted = config["convictions"].as_object().map_or(0, |convicted| convicted.len());
        assert_eq!(convicted, 1, "{config}");
    }
    system.check_logs();
}
