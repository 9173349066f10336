//! Urgent requests that stay silent.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use chicoryford_entry::run::first_token::FirstTokenTimes;
use chicoryford_types::Class;
use chicoryford_types::Model;
use chicoryford_types::Template;
use chicoryford_types::Work;
use chicoryford_types::frame::Event;
use chicoryford_types::request::AttemptState;
use chicoryford_wire::paths;
use serde_json::Value;
use serde_json::json;
use support::Agent;
use support::Fixture;
use support::MODEL;
use support::Plan;
use support::finished;
use support::frames;
use support::template;
use support::tokens;

fn urgent() -> Template {
    let mut template = template();
    template.callers.insert("desk".into(), Class::Urgent);
    template
}

fn chat() -> Value {
    let messages = json!([{"role": "user", "content": "which ferry?"}]);
    json!({"model": MODEL, "messages": messages, "max_tokens": 8, "seed": 7})
}

/// Makes two agents; whichever gets one of the first `silent` attempts gives no token.
fn agents(silent: u32) -> Vec<Agent> {
    let begun = Arc::new(AtomicU32::new(0));
    let agent = |begun: Arc<AtomicU32>| {
        let agent = Agent::new(move |work| {
            if begun.fetch_add(1, Ordering::Relaxed) < silent {
                return Plan::Lingering(frames(work, vec![Event::Accepted]));
            }
            let events = vec![Event::Accepted, tokens("at seven", 3), finished(2)];
            Plan::Stream(frames(work, events))
        });
        agent.saying(|_| AttemptState::Running)
    };
    vec![agent(begun.clone()), agent(begun)]
}

async fn cancelled(fixture: &Fixture) -> Vec<(u32, bool)> {
    let asked = fixture.agents.iter().map(|agent| agent.asked.lock().unwrap().clone());
    asked.flatten().map(|question| (question.attempt.0, question.cancel)).collect()
}

#[test]
fn an_urgent_request_that_stays_silent_is_rescued_with_one_winner() {
    // Symptom: a crate stays on the quay although an idle endpoint could have answered in time.
    // Sequence: the endpoint that got the desk's request says only that it still runs, and never
    // gives a token.
    // Cause: the request waited for seconds of silence, or for ever behind heartbeats, before it
    // was tried elsewhere.
    actix_rt::System::new().block_on(async {
        let fixture = Fixture::start_with(agents(1), urgent()).await;
        let seen = fixture.post(paths::CHAT, &[], &chat()).await;
        assert_eq!(seen.status, 200, "{}", seen.text());
        let answer = seen.json();
        assert_eq!(answer["choices"][0]["message"]["content"], "at seven");
        assert_eq!(answer["chicoryford"]["attempts"], 2);
        assert_eq!(answer["usage"]["completion_tokens"], 2);
        fixture.settled().await;
        assert_eq!(cancelled(&fixture).await, [(1, true)], "the loser is cancelled, once");
        let attempts = fixture.attempts();
        assert_eq!(attempts.len(), 2);
        assert_ne!(attempts[0].attempt, attempts[1].attempt);
        let seen = fixture.agents.iter().map(|agent| agent.seen.lock().unwrap().len());
        assert!(seen.max() == Some(1), "the second attempt runs at another endpoint");
        fixture.check().await;
    });
}

#[test]
fn only_urgent_repeatable_requests_are_rescued() {
    // Symptom: a request that may run only once runs twice.
    // Sequence: its endpoint is slow to give the first token.
    // Cause: a second attempt made for every silent request.
    actix_rt::System::new().block_on(async {
        let fixture = Fixture::start_with(agents(2), urgent()).await;
        for header in [("chicoryford-class", "normal"), ("chicoryford-repeatable", "false")] {
            let late = ("chicoryford-deadline-ms", "400");
            let seen = fixture.post(paths::CHAT, &[header, late], &chat()).await;
            assert_eq!(seen.json()["error"]["code"], "deadline_passed", "{}", seen.text());
        }
        assert_eq!(fixture.attempts().len(), 2);
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn rescues_stay_within_the_retry_budget() {
    // Symptom: an overload doubles by itself.
    // Sequence: all endpoints become slow at once, every urgent request stays silent for long.
    // Cause: a second attempt for each of them.
    actix_rt::System::new().block_on(async {
        let agent = || {
            let lingers = |work: &Work| Plan::Lingering(frames(work, vec![Event::Accepted]));
            Agent::new(lingers).saying(|_| AttemptState::Running)
        };
        let mut template = urgent();
        template.retries.percent = 0;
        let fixture = Fixture::start_with(vec![agent(), agent()], template).await;
        let requests = 24;
        for _ in 0..requests {
            let late = ("chicoryford-deadline-ms", "120");
            fixture.post(paths::CHAT, &[late], &chat()).await;
        }
        let rescues = fixture.attempts().len() - requests;
        assert!(rescues <= 10, "{rescues} rescues on a budget of ten saved up");
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn the_time_until_a_request_counts_as_silent_is_learned() {
    let model = Model::from(MODEL);
    let mut times = FirstTokenTimes::new(1_200);
    assert_eq!(times.rescue_delay(&model, 60_000).as_millis(), 1_200);
    assert_eq!(times.rescue_delay(&model, 1_000).as_millis(), 500, "half of what is left");
    for _ in 0..100 {
        times.record(&model, 40);
    }
    let fast = times.rescue_delay(&model, 60_000).as_millis();
    assert!((100..200).contains(&fast), "{fast}");
    for _ in 0..100 {
        times.record(&model, 3_000);
    }
    let slow = times.rescue_delay(&model, 60_000).as_millis();
    assert!((3_000..4_000).contains(&slow), "{slow}");
}
