//! Tests of requests whose attempts crash endpoints, with fake agents and the real state machine.

mod support;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chicoryford_state::Command;
use chicoryford_state::Reply;
use chicoryford_types::Code;
use chicoryford_types::Endpoint;
use chicoryford_types::Failure;
use chicoryford_types::Fingerprint;
use chicoryford_types::Incarnation;
use chicoryford_types::Position;
use chicoryford_types::frame::Event;
use chicoryford_types::request::CrashDecision;
use chicoryford_wire::paths;
use serde_json::Value;
use serde_json::json;
use support::Agent;
use support::Fixture;
use support::MODEL;
use support::Plan;
use support::Seen;
use support::finished;
use support::frames;
use support::template;
use support::tokens;

/// Number of agents, more than the attempts of a request.
const AGENTS: usize = 6;
/// Time after which a request that does not wait would have been retried. The longest delay of a
/// first retry is 50 ms.
const RETRY_TIME: Duration = Duration::from_millis(400);

/// Time after which a condition that has not come true fails a test.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// The decision that all agents report about crashes by attempts with this number or a lower one.
#[derive(Default)]
struct Decided {
    attempt: u32,
    at: Position,
}

type SharedDecision = Arc<Mutex<Decided>>;

/// Creates an agent whose endpoint crashes at the first `crashes` attempts of a request.
fn agent(crashes: u32, decided: SharedDecision) -> Agent {
    let agent = Agent::new(move |work| {
        let events = if work.attempt.0 <= crashes {
            let failure = Failure::unknown(Code::EndpointFailed, "the connection broke");
            vec![Event::Accepted, Event::Failed(failure)]
        } else {
            vec![Event::Accepted, tokens("at seven", 1), finished(2)]
        };
        Plan::Stream(frames(work, events))
    });
    agent.with_crash(move |question| {
        let decided = decided.lock().unwrap();
        match question.attempt.0 <= decided.attempt {
            true => CrashDecision::Committed(decided.at),
            false => CrashDecision::Pending,
        }
    })
}

async fn start(crashes: u32) -> (Fixture, SharedDecision) {
    let decided = SharedDecision::default();
    let agents = (0..AGENTS).map(|_| agent(crashes, decided.clone())).collect();
    let mut template = template();
    template.retries.attempts = 5;
    template.retries.percent = 100;
    (Fixture::start_with(agents, template).await, decided)
}

fn body() -> Value {
    json!({"model": MODEL, "prompt": "pages 1 to 0", "max_tokens": 8})
}

/// Commits the report of a crash of an endpoint by the content and returns its position.
fn report(fixture: &Fixture, crash: u32, content: Fingerprint) -> Position {
    let endpoint = Endpoint(format!("endpoint-{crash}"));
    let (incarnation, crash) = (Incarnation(1), u64::from(crash));
    let command = Command::Crashed { endpoint, crash, incarnation, blamed: vec![content] };
    match fixture.control.apply(command) {
        Reply::Accepted { at, .. } => at,
        other => panic!("{other:?}"),
    }
}

async fn wait_attempts(fixture: &Fixture, count: usize) {
    while fixture.attempts().len() < count {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Commits the report of each crash after a time in which a request that does not wait would have
/// been retried, and checks that it was not. Returns the response.
async fn decide_crashes(fixture: &Fixture, decided: &SharedDecision, crashes: u32) -> Seen {
    let body = body();
    let decide = async {
        for crash in 1..=crashes {
            wait_attempts(fixture, crash as usize).await;
            actix_rt::time::sleep(RETRY_TIME).await;
            let attempts = fixture.attempts();
            assert_eq!(attempts.len(), crash as usize, "an attempt before the decision");
            let at = report(fixture, crash, attempts[0].fingerprint);
            *decided.lock().unwrap() = Decided { attempt: crash, at };
        }
    };
    tokio::join!(fixture.post(paths::COMPLETIONS, &[], &body), decide).0
}

#[test]
fn a_request_is_not_retried_before_the_decision_about_its_crash() {
    // Guards against a content that crashes an endpoint with each attempt of one request, because
    // the request is retried before its crashes are reported and its content is convicted.
    actix_rt::System::new().block_on(async {
        let (fixture, decided) = start(u32::MAX).await;
        let seen = decide_crashes(&fixture, &decided, 3).await;
        let error = &seen.json()["error"];
        assert_eq!((&error["code"], &error["outcome"]), (&json!("convicted"), &json!("unknown")));
        let mut attempts = fixture.attempts();
        attempts.sort_by_key(|work| work.attempt);
        let flags: Vec<bool> = attempts.iter().map(|work| work.suspect).collect();
        assert_eq!(flags, [false, false, true], "a proven suspect runs apart");
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn a_request_that_completes_after_a_crash_clears_its_content() {
    // Guards against harmless contents that stay suspects because they ran at an endpoint that
    // crashed, and completed in a further attempt of the same request.
    actix_rt::System::new().block_on(async {
        let (fixture, decided) = start(1).await;
        let seen = decide_crashes(&fixture, &decided, 1).await;
        assert_eq!(seen.status, 200, "{}", seen.text());
        assert_eq!(seen.json()["choices"][0]["text"], "at seven");
        let cleared = async {
            while !fixture.control.state.lock().unwrap().config.suspects.is_empty() {
                actix_rt::time::sleep(Duration::from_millis(5)).await;
            }
        };
        actix_rt::time::timeout(MAX_WAIT, cleared).await.expect("the suspicion is cleared");
    });
}

#[test]
fn a_request_whose_content_is_not_suspected_is_retried_without_a_decision() {
    // Guards against requests that fail or wait for ever because no leader decides, or because the
    // agent cannot tell whether its endpoint crashed.
    actix_rt::System::new().block_on(async {
        let (fixture, _) = start(1).await;
        let deadline = ("chicoryford-deadline-ms", "2000");
        let seen = fixture.post(paths::COMPLETIONS, &[deadline], &body()).await;
        assert_eq!(seen.status, 200, "{}", seen.text());
        assert_eq!(fixture.attempts().len(), 2);
    });
}

#[test]
fn a_suspect_without_a_decision_is_answered_that_it_may_have_run() {
    // Guards against a known suspect that crashes further endpoints while no leader decides, and
    // against an answer that promises that it did not run.
    actix_rt::System::new().block_on(async {
        let (fixture, decided) = start(u32::MAX).await;
        let body = body();
        let decide = async {
            wait_attempts(&fixture, 1).await;
            let at = report(&fixture, 1, fixture.attempts()[0].fingerprint);
            *decided.lock().unwrap() = Decided { attempt: 1, at };
        };
        let (seen, ()) = tokio::join!(fixture.post(paths::COMPLETIONS, &[], &body), decide);
        let error = &seen.json()["error"];
        let expected = (&json!("endpoint_failed"), &json!("unknown"));
        assert_eq!((&error["code"], &error["outcome"]), expected, "{error}");
        assert_eq!(fixture.attempts().len(), 2, "one attempt after the decided crash");
    });
}
