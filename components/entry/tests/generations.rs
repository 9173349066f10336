//! Tests of generations through an entry with fake agents.

mod support;

use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_types::frame::Event;
use chicoryford_types::request::AttemptState;
use chicoryford_types::request::Task;
use chicoryford_wire::Client;
use chicoryford_wire::paths;
use serde_json::Value;
use serde_json::json;
use support::Agent;
use support::Fixture;
use support::MODEL;
use support::Plan;
use support::finished;
use support::frames;
use support::tokens;

fn chat(stream: bool) -> Value {
    let messages = json!([{"role": "user", "content": "which ferry?"}]);
    json!({"model": MODEL, "messages": messages, "max_tokens": 8, "stream": stream, "seed": 7})
}

fn complete_answer() -> Agent {
    Agent::new(|work| {
        let events = vec![
            Event::Accepted,
            tokens("the seven ", 3),
            Event::Alive,
            tokens("o'clock", 4),
            finished(3),
        ];
        Plan::Stream(frames(work, events))
    })
}

#[test]
fn complete_answers_report_their_versions() {
    actix_rt::System::new().block_on(async {
        let fixture = Fixture::start(vec![complete_answer()]).await;
        let seen = fixture.post(paths::CHAT, &[], &chat(false)).await;
        assert_eq!(seen.status, 200, "{}", seen.text());
        let answer = seen.json();
        assert_eq!(answer["choices"][0]["message"]["content"], "the seven o'clock");
        assert_eq!(answer["choices"][0]["finish_reason"], "stop");
        assert_eq!(answer["usage"]["completion_tokens"], 3);
        let spans = json!([
            {"from": 0, "to": 2, "version": 3},
            {"from": 2, "to": 3, "version": 4},
        ]);
        assert_eq!(answer["chicoryford"]["spans"], spans);
        assert_eq!(answer["chicoryford"]["attempts"], 1);
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn streamed_answers_end_with_done() {
    actix_rt::System::new().block_on(async {
        let fixture = Fixture::start(vec![complete_answer()]).await;
        let seen = fixture.post(paths::CHAT, &[], &chat(true)).await;
        assert!(seen.text().ends_with("data: [DONE]\n\n"));
        let events = seen.text().split("\n\n").filter_map(|line| line.strip_prefix("data: {"));
        let events = events.map(|rest| serde_json::from_str(&format!("{{{rest}")).unwrap());
        let events: Vec<Value> = events.collect();
        let text: String =
            events.iter().filter_map(|e| e["choices"][0]["delta"]["content"].as_str()).collect();
        assert_eq!(text, "the seven o'clock");
        let last = events.last().unwrap();
        assert_eq!(last["choices"][0]["finish_reason"], "stop");
        assert_eq!(last["chicoryford"]["spans"][1]["version"], 4);
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn an_interrupted_stream_is_not_reported_as_complete() {
    // Symptom: a caller treats half an answer as complete.
    // Sequence: the engine crashes after two tokens, its stream closes without a final frame, no
    // other endpoint has the model, and the request may not run again.
    // Cause: the end of the connection is treated as the end of the answer.
    actix_rt::System::new().block_on(async {
        let agent = Agent::new(|work| {
            Plan::Stream(frames(work, vec![Event::Accepted, tokens("the seven ", 3)]))
        });
        let fixture = Fixture::start(vec![agent]).await;
        let seen = fixture.post(paths::CHAT, &[], &chat(true)).await;
        assert!(!seen.text().contains("[DONE]"));
        assert!(seen.text().contains("\"outcome\":\"unknown\""), "{}", seen.text());
        let seen = fixture.post(paths::CHAT, &[], &chat(false)).await;
        assert_eq!(seen.status, 502);
        assert_eq!(seen.json()["error"]["outcome"], "unknown");
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn an_answer_with_a_wrong_token_count_is_incomplete() {
    // Symptom: tokens are missing in the middle of an answer.
    // Sequence: the final frame counts three tokens, but the received frames contain two.
    // Cause: a frame was lost or corrupted in transit.
    actix_rt::System::new().block_on(async {
        let agent = Agent::new(|work| {
            let events = vec![Event::Accepted, tokens("the seven", 3), finished(3)];
            Plan::Stream(frames(work, events))
        });
        let fixture = Fixture::start(vec![agent]).await;
        let seen = fixture.post(paths::CHAT, &[], &chat(true)).await;
        assert!(!seen.text().contains("[DONE]"));
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn frames_of_other_requests_are_not_delivered() {
    // Symptom: a student receives the answer to another student's question.
    // Sequence: a connection is reused and contains a frame of the previous request.
    // Cause: frames are assigned to a request by their connection only.
    actix_rt::System::new().block_on(async {
        let agent = Agent::new(|work| {
            let mut frames =
                frames(work, vec![Event::Accepted, tokens("mine ", 3), tokens("theirs", 3)]);
            frames[2].request.0 ^= 1;
            Plan::Stream(frames)
        });
        let fixture = Fixture::start(vec![agent, complete_answer()]).await;
        for _ in 0..8 {
            let seen = fixture.post(paths::CHAT, &[], &chat(false)).await;
            assert!(!seen.text().contains("theirs"), "{}", seen.text());
        }
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn a_generation_continues_at_another_endpoint() {
    // Symptom: a long generation starts again, or its two halves do not fit together.
    // Sequence: an engine crashes after two tokens, and another one takes over.
    // Cause: the second attempt does not receive the tokens of the first one, or has another seed.
    actix_rt::System::new().block_on(async {
        let agent = || {
            Agent::new(|work| {
                let Task::Generate(task) = &work.task else { panic!("not a generation") };
                let events = match task.done {
                    0 => vec![Event::Accepted, tokens("the seven ", 3)],
                    2 => vec![Event::Accepted, tokens("o'clock", 4), finished(1)],
                    other => panic!("continued at {other}"),
                };
                Plan::Stream(frames(work, events))
            })
        };
        let fixture = Fixture::start(vec![agent(), agent()]).await;
        let seen = fixture.post(paths::CHAT, &[], &chat(false)).await;
        let answer = seen.json();
        assert_eq!(answer["choices"][0]["message"]["content"], "the seven o'clock");
        assert_eq!(answer["chicoryford"]["attempts"], 2);
        assert_eq!(answer["chicoryford"]["spans"][1], json!({"from": 2, "to": 3, "version": 4}));
        let attempts = fixture.attempts();
        assert_eq!(attempts.len(), 2);
        for work in attempts {
            let Task::Generate(task) = work.task else { panic!("not a generation") };
            assert_eq!(task.seed, 7);
        }
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn a_refused_attempt_is_retried_at_another_endpoint() {
    // Symptom: callers see refusals while other endpoints are free.
    // Sequence: an endpoint starts to leave, and its agent refuses an attempt before the entry has
    // received the update.
    // Cause: a refusal with the outcome "not run" is returned to the caller instead of retried.
    actix_rt::System::new().block_on(async {
        let leaving =
            Agent::new(|_| Plan::Refuse(Failure::not_run(Code::Draining, "the endpoint leaves")));
        let fixture = Fixture::start(vec![leaving, complete_answer()]).await;
        for _ in 0..8 {
            let seen = fixture.post(paths::CHAT, &[], &chat(false)).await;
            assert_eq!(seen.status, 200, "{}", seen.text());
        }
        assert!(fixture.agents[0].seen.lock().unwrap().len() <= 1);
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn a_silent_connection_does_not_count_as_an_endpoint_failure() {
    // Symptom: a request hangs until its deadline although its endpoint works.
    // Sequence: the connection goes silent after the attempt was sent, while new ones work.
    // Cause: a device on the network path lost the state of the connection.
    actix_rt::System::new().block_on(async {
        let agent = Agent::new(|work| match work.attempt.0 {
            1 => Plan::Silent(frames(work, vec![Event::Accepted, tokens("the seven ", 3)])),
            _ => {
                Plan::Stream(frames(work, vec![Event::Accepted, tokens("o'clock", 3), finished(1)]))
            }
        });
        let agent = agent.with_state(|_| AttemptState::Running);
        let fixture = Fixture::start(vec![agent]).await;
        let seen = fixture.post(paths::CHAT, &[], &chat(false)).await;
        assert_eq!(seen.status, 200, "{}", seen.text());
        let content = &seen.json()["choices"][0]["message"]["content"];
        assert_eq!(content, "the seven o'clock");
        let asked = fixture.agents[0].asked.lock().unwrap().clone();
        assert_eq!(asked.len(), 1);
        assert!(asked[0].cancel);
        let dump = fixture.kernel.dumps.take().await;
        assert_eq!(dump["entry"]["endpoints"][0]["failures"], 0);
        fixture.settled().await;
        fixture.check().await;
    });
}

/// Guards against ejecting a healthy endpoint whose attempts ended while their connections were
/// silent.
#[test]
fn an_attempt_that_ended_unread_does_not_count_as_an_endpoint_failure() {
    actix_rt::System::new().block_on(async {
        let agent = Agent::new(|work| match work.attempt.0 {
            1 => Plan::Silent(frames(work, vec![Event::Accepted, tokens("the seven ", 3)])),
            _ => {
                Plan::Stream(frames(work, vec![Event::Accepted, tokens("o'clock", 3), finished(1)]))
            }
        });
        let fixture = Fixture::start(vec![agent.with_state(|_| AttemptState::Ended)]).await;
        let seen = fixture.post(paths::CHAT, &[], &chat(false)).await;
        assert_eq!(seen.json()["choices"][0]["message"]["content"], "the seven o'clock");
        let dump = fixture.kernel.dumps.take().await;
        assert_eq!(dump["entry"]["endpoints"][0]["failures"], 0);
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn admission_refuses_with_stable_codes() {
    actix_rt::System::new().block_on(async {
        let fixture = Fixture::start(vec![complete_answer()]).await;
        let stranger = Client::new(Some("stranger".to_owned()), None);
        let seen = fixture.post_as(&stranger, paths::CHAT, &[], &chat(false)).await;
        assert_eq!((seen.status, &seen.json()["error"]["code"]), (403, &json!("forbidden")));
        let other = json!({"model": "other", "messages": [{"role": "user", "content": "x"}]});
        let seen = fixture.post(paths::CHAT, &[], &other).await;
        assert_eq!((seen.status, &seen.json()["error"]["code"]), (404, &json!("not_found")));
        let late = [("chicoryford-deadline-ms", "0")];
        let seen = fixture.post(paths::CHAT, &late, &chat(false)).await;
        assert_eq!(seen.json()["error"]["code"], "deadline_too_close");
        let class = [("chicoryford-class", "soon")];
        let seen = fixture.post(paths::CHAT, &class, &chat(false)).await;
        assert_eq!(seen.json()["error"]["code"], "bad_request");
        assert_eq!(seen.json()["error"]["outcome"], "not_run");
        fixture.kernel.phases.advance(chicoryford_kernel::Phase::Draining);
        let seen = fixture.post(paths::CHAT, &[], &chat(false)).await;
        assert_eq!((seen.status, seen.retry_after), (503, Some(1)));
        assert!(fixture.attempts().is_empty());
        fixture.settled().await;
        fixture.check().await;
    });
}
