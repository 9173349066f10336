//! Tests of requests whose attempts crash endpoints, with fake agents and the real state machine.

mod support;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
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
use chicoryford_wire::Client;
use chicoryford_wire::paths;
use futures_util::future::join_all;
use serde_json::Value;
use serde_json::json;
use support::Agent;
use support::Fixture;
use support::MODEL;
use support::Plan;
use support::Seen;
use support::WORKSPACE;
use support::finished;
use support::frames;
use support::template;
use support::tokens;

/// An answer with as many tokens as the request may have.
const WHOLE: &str = "a b c d e f g h";
/// Number of agents, more than the attempts of a request.
const AGENTS: usize = 6;
/// Number of requests that together exceed the capacity of one endpoint.
const OTHERS: usize = 40;
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

/// Creates an agent whose endpoint ends after the last token of each attempt. It counts the queries
/// about crashes in `asked` and never has a decision.
fn last_agent(lost: bool, asked: Arc<AtomicU32>) -> Agent {
    let agent = Agent::new(move |work| {
        let failure = Failure::unknown(Code::EndpointFailed, "the connection broke");
        let mut events = vec![Event::Accepted, tokens(WHOLE, 1)];
        if !lost {
            events.push(Event::Failed(failure));
        }
        Plan::Stream(frames(work, events))
    });
    agent.with_crash(move |_| {
        asked.fetch_add(1, Ordering::Relaxed);
        CrashDecision::Pending
    })
}

async fn start(crashes: u32) -> (Fixture, SharedDecision) {
    let decided = SharedDecision::default();
    (start_agents(|| agent(crashes, decided.clone())).await, decided)
}

async fn start_agents(agent: impl Fn() -> Agent) -> Fixture {
    let agents = (0..AGENTS).map(|_| agent()).collect();
    let mut template = template();
    template.retries.attempts = 5;
    template.retries.percent = 100;
    Fixture::start_with(agents, template).await
}

fn suspects(fixture: &Fixture) -> usize {
    fixture.control.state.lock().unwrap().config.suspects.len()
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

/// Commits the reports of three crashes by the content alone.
fn convict(fixture: &Fixture, content: Fingerprint) {
    for crash in 1..=3 {
        report(fixture, crash, content);
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
fn only_a_request_that_started_as_a_suspect_clears_its_content() {
    // Guards against a content that crashes endpoints and is cleared by another sample of its group
    // or by its own request, and against harmless contents that stay suspects although a suspect
    // run has completed.
    actix_rt::System::new().block_on(async {
        let (fixture, decided) = start(1).await;
        let seen = decide_crashes(&fixture, &decided, 1).await;
        assert_eq!(seen.status, 200, "{}", seen.text());
        assert_eq!(seen.json()["choices"][0]["text"], "at seven");
        actix_rt::time::sleep(RETRY_TIME).await;
        assert_eq!(suspects(&fixture), 1, "the request did not start as a suspect");
        let seen = fixture.post(paths::COMPLETIONS, &[], &body()).await;
        assert_eq!(seen.status, 200, "{}", seen.text());
        assert_eq!(fixture.attempts().len(), 4, "its first attempt broke too");
        let cleared = async {
            while suspects(&fixture) > 0 {
                actix_rt::time::sleep(Duration::from_millis(5)).await;
            }
        };
        actix_rt::time::timeout(MAX_WAIT, cleared).await.expect("the suspicion is cleared");
    });
}

#[test]
fn a_whole_answer_is_delivered_without_a_decision() {
    // Guards against a request that waits or fails although it has received all its tokens, because
    // its endpoint crashed or its connection was lost before the end of the stream. It must not
    // matter that its content is convicted meanwhile.
    for lost in [false, true] {
        actix_rt::System::new().block_on(async {
            let asked = Arc::new(AtomicU32::new(0));
            let fixture = start_agents(|| last_agent(lost, asked.clone())).await;
            let body = body();
            let decide = async {
                wait_attempts(&fixture, 1).await;
                let content = fixture.attempts()[0].fingerprint;
                convict(&fixture, content);
            };
            let (seen, ()) = tokio::join!(fixture.post(paths::COMPLETIONS, &[], &body), decide);
            assert_eq!(seen.status, 200, "{}", seen.text());
            let choice = &seen.json()["choices"][0];
            assert_eq!(
                (&choice["text"], &choice["finish_reason"]),
                (&json!(WHOLE), &json!("length"))
            );
            assert_eq!(asked.load(Ordering::Relaxed), 0, "it needs no decision");
            assert_eq!(fixture.attempts().len(), 1);
            fixture.settled().await;
            fixture.check().await;
        });
    }
}

#[test]
fn a_content_that_crashes_endpoints_after_its_last_token_is_convicted() {
    // Guards against a content that is never convicted, because each of its requests has its whole
    // answer, counts as completed and clears it.
    actix_rt::System::new().block_on(async {
        let fixture = start_agents(|| last_agent(false, Arc::default())).await;
        let body = body();
        for crash in 1..=3 {
            let seen = fixture.post(paths::COMPLETIONS, &[], &body).await;
            assert_eq!(seen.status, 200, "{}", seen.text());
            report(&fixture, crash, fixture.attempts()[0].fingerprint);
            // A clearance that a request proposes would be committed in this time.
            actix_rt::time::sleep(RETRY_TIME).await;
            assert_eq!(fixture.attempts().len(), crash as usize);
        }
        let seen = fixture.post(paths::COMPLETIONS, &[], &body).await;
        assert_eq!(seen.json()["error"]["code"], "convicted", "{}", seen.text());
        let seen_suspect = fixture.attempts().iter().filter(|work| work.suspect).count();
        assert_eq!(seen_suspect, 2, "all but the first request started as suspects");
    });
}

#[test]
fn a_request_waits_while_the_agent_cannot_answer() {
    // Guards against a request that is retried without a decision because its agent is overloaded,
    // which is likely when an endpoint has just crashed.
    actix_rt::System::new().block_on(async {
        let decided = SharedDecision::default();
        let fixture = start_agents(|| {
            let decided = decided.clone();
            agent(u32::MAX, SharedDecision::default()).with_crash_result(move |question| {
                let decided = decided.lock().unwrap();
                match question.attempt.0 <= decided.attempt {
                    true => Ok(CrashDecision::Committed(decided.at)),
                    false => Err(Failure::not_run(Code::Overloaded, "the agent is overloaded")),
                }
            })
        })
        .await;
        let seen = decide_crashes(&fixture, &decided, 3).await;
        assert_eq!(seen.json()["error"]["code"], "convicted", "{}", seen.text());
        assert_eq!(fixture.attempts().len(), 3);
    });
}

#[test]
fn an_agent_of_the_previous_release_is_asked_once() {
    // Guards against requests that wait until the limit during an upgrade, because agents of the
    // previous release do not have the route.
    actix_rt::System::new().block_on(async {
        let asked = Arc::new(AtomicU32::new(0));
        let fixture = start_agents(|| {
            let asked = asked.clone();
            agent(1, SharedDecision::default()).with_crash_result(move |_| {
                asked.fetch_add(1, Ordering::Relaxed);
                Err(Failure::not_run(Code::NotFound, "no route"))
            })
        })
        .await;
        let seen = fixture.post(paths::COMPLETIONS, &[], &body()).await;
        assert_eq!(seen.status, 200, "{}", seen.text());
        assert_eq!(asked.load(Ordering::Relaxed), 1);
    });
}

#[test]
fn a_content_convicted_while_its_request_waits_for_admission_is_not_sent() {
    // Guards against a further crash by a request that was accepted before its content was
    // convicted and got its endpoint afterwards.
    actix_rt::System::new().block_on(async {
        let released = Arc::new(AtomicU32::new(1));
        let held = released.clone();
        let agent = Agent::new(move |work| {
            let events = vec![Event::Accepted, tokens("at seven", 1), finished(2)];
            Plan::Held(frames(work, events), held.clone())
        });
        let fixture = Fixture::start(vec![agent]).await;
        let body = body();
        let seen = fixture.post(paths::COMPLETIONS, &[], &body).await;
        assert_eq!(seen.status, 200, "{}", seen.text());
        let content = fixture.attempts()[0].fingerprint;
        released.store(0, Ordering::Relaxed);
        let others: Vec<Value> = (0..OTHERS)
            .map(|other| json!({"model": MODEL, "prompt": format!("other {other}"), "max_tokens": 8}))
            .collect();
        let others = others.iter().map(|other| fixture.post(paths::COMPLETIONS, &[], other));
        let convicted = async {
            actix_rt::time::sleep(RETRY_TIME).await;
            let decide = async {
                actix_rt::time::sleep(RETRY_TIME).await;
                assert!(fixture.attempts().len() <= OTHERS, "the endpoint is full");
                convict(&fixture, content);
                released.store(1, Ordering::Relaxed);
            };
            tokio::join!(fixture.post(paths::COMPLETIONS, &[], &body), decide).0
        };
        let (others, seen) = tokio::join!(join_all(others), convicted);
        assert!(others.iter().all(|seen| seen.status == 200));
        let error = &seen.json()["error"];
        assert_eq!((&error["code"], &error["outcome"]), (&json!("convicted"), &json!("not_run")));
        let sent = fixture.attempts();
        assert_eq!(sent.iter().filter(|work| work.fingerprint == content).count(), 1);
        fixture.settled().await;
        fixture.check().await;
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

/// Guards against a step that waits for a day: engines crash while they run its sound prompt, which is
/// convicted, and later all is calm. A sample of an accepted step is owed.
#[test]
fn a_sample_is_generated_although_its_prompt_was_convicted() {
    actix_rt::System::new().block_on(async {
        let calm = Arc::new(AtomicU32::new(0));
        let is_calm = calm.clone();
        let agent = Agent::new(move |work| {
            let events = vec![Event::Accepted, tokens("by sea", 1), finished(2)];
            let count = if is_calm.load(Ordering::Relaxed) == 1 { events.len() } else { 1 };
            Plan::Stream(frames(work, events.into_iter().take(count).collect()))
        });
        let fixture = Fixture::start(vec![agent]).await;
        let trainer = Client::new(Some("trainer".to_owned()), None);
        let step = json!({
            "workspace": WORKSPACE, "step": 1, "model": MODEL, "samples": 1, "max_tokens": 8,
            "groups": [{"prompt": "Ston to Split"}], "seed": 5,
        });
        let seen = fixture.post_as(&trainer, paths::STEP_OPEN, &[], &step).await;
        assert_eq!(seen.status, 200, "{}", seen.text());
        wait_attempts(&fixture, 1).await;
        convict(&fixture, fixture.attempts()[0].fingerprint);
        calm.store(1, Ordering::Relaxed);
        let pull = json!({"workspace": WORKSPACE, "cursor": 1, "groups": 1});
        let read = async {
            loop {
                let seen = fixture.post_as(&trainer, paths::STEP_PULL, &[], &pull).await;
                if seen.status != 202 {
                    return seen;
                }
            }
        };
        let seen = actix_rt::time::timeout(Duration::from_secs(12), read).await;
        let seen = seen.expect("the sample was not generated in calm");
        assert_eq!(seen.json()["samples"].as_array().map(Vec::len), Some(1), "{}", seen.text());
        let last = fixture.attempts().pop().unwrap();
        assert!(last.suspect, "it runs apart from other suspects");
    });
}
