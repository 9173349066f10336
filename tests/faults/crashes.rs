//! A request that crashes each engine that runs it.

use chicoryford_standin::engine::CRASH_MARK;
use chicoryford_standin::engine::EngineSettings;
use chicoryford_wire::paths;
use serde_json::json;

use crate::calls::check_answered;
use crate::calls::desk;
use crate::standins::Calling;
use crate::standins::Engine;
use crate::standins::TEMPLATE;
use crate::standins::check_calls;
use crate::system::System;

/// Crashes until a content is convicted in any company (docs/SUSPECTS.md).
const CRASHES: usize = 6;

#[test]
fn a_prompt_that_crashes_engines_is_convicted_everywhere() {
    // Symptom: one engine after the other crashes, and callers with harmless prompts are refused
    // or get nothing. Sequence: a prompt crashes each engine that runs it, its caller sends it
    // again under a new id through both entries. Cause: nobody recognises the content, or whoever
    // ran beside it is blamed as well.
    let mut system = System::start(1);
    let entries = [system.entry("e1", "dc-1"), system.entry("e2", "dc-1")];
    let start = |i| Engine::start(&mut system, &format!("engine-{i}"), EngineSettings::default());
    let engines: Vec<Engine> = (1..=6).map(start).collect();
    system.wait_endpoints(&entries, engines.len());
    system.apply(&entries, TEMPLATE);
    let calling = Calling::start(&system, &entries, desk(12.0));
    let prompt = format!("{CRASH_MARK} pages 1 to 0");
    let body = json!({"model": "model", "prompt": prompt, "max_tokens": 8}).to_string();
    let mut sent = 0;
    system.wait("the prompt is refused by both entries", || {
        sent += 2;
        let answers = entries.map(|at| system.post(at, paths::COMPLETIONS, "caller-token", &body));
        answers.iter().all(|answer| answer.code() == "convicted" && answer.outcome() == "not_run")
    });
    let crashes = || engines.iter().map(Engine::crashes).sum::<usize>();
    let lost = crashes();
    for at in entries {
        let again = system.post(at, paths::COMPLETIONS, "caller-token", &body);
        assert_eq!(again.code(), "convicted", "{again:?}");
    }
    let (_, calls) = calling.finish();
    check_answered(&calls);
    let all: Vec<&Engine> = engines.iter().collect();
    check_calls(&all, &system.path("desk.jsonl"));
    assert_eq!(crashes(), lost, "the convicted prompt crashed another engine");
    assert!((1..=CRASHES).contains(&lost), "{lost} crashes by {sent} requests");
    for at in entries {
        let config = system.get(at, paths::CONFIG);
        let convicted = config["convictions"].as_object().map_or(0, |convicted| convicted.len());
        assert_eq!(convicted, 1, "{config}");
    }
    system.check_logs();
}
