//! Tests of the rescue of urgent requests that stay silent.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryford_entry::run::first_token::FirstTokenTimes;
use chicoryford_settings::process::EntrySettings;
use chicoryford_state::Command;
use chicoryford_types::Class;
use chicoryford_types::Endpoint;
use chicoryford_types::Incarnation;
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
use support::entry_settings;
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

/// Creates two agents. The first `silent` attempts, at either of them, produce no tokens.
fn agents(silent: u32) -> Vec<Agent> {
    let started = Arc::new(AtomicU32::new(0));
    let agent = |started: Arc<AtomicU32>| {
        let agent = Agent::new(move |work| {
            if started.fetch_add(1, Ordering::Relaxed) < silent {
                return Plan::Lingering(frames(work, vec![Event::Accepted]));
            }
            let events = vec![Event::Accepted, tokens("at seven", 3), finished(2)];
            Plan::Stream(frames(work, events))
        });
        agent.with_state(|_| AttemptState::Running)
    };
    vec![agent(started.clone()), agent(started)]
}

async fn cancelled(fixture: &Fixture) -> Vec<(u32, bool)> {
    let asked = fixture.agents.iter().map(|agent| agent.asked.lock().unwrap().clone());
    asked.flatten().map(|question| (question.attempt.0, question.cancel)).collect()
}

#[test]
fn an_urgent_request_that_stays_silent_is_rescued_with_one_winner() {
    // Symptom: a crate remains on the quay although an idle endpoint could have answered in time.
    // Sequence: the endpoint of the desk's request sends only heartbeats and never a token.
    // Cause: the request waits for seconds of silence, or forever because of the heartbeats, before
    // another endpoint is tried.
    actix_rt::System::new().block_on(async {
        let fixture = Fixture::start_with(agents(1), urgent()).await;
        let seen = fixture.post(paths::CHAT, &[], &chat()).await;
        assert_eq!(seen.status, 200, "{}", seen.text());
        let answer = seen.json();
        assert_eq!(answer["choices"][0]["message"]["content"], "at seven");
        assert_eq!(answer["chicoryford"]["attempts"], 2);
        assert_eq!(answer["usage"]["completion_tokens"], 2);
        fixture.settled().await;
        assert_eq!(
            cancelled(&fixture).await,
            [(1, true)],
            "the losing attempt is cancelled exactly once"
        );
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
    // Sequence: its endpoint is slow to produce the first token.
    // Cause: every silent request gets a second attempt.
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
    // Symptom: an overload doubles its own load.
    // Sequence: all endpoints become slow at once, and every urgent request stays silent for long.
    // Cause: each of these requests gets a second attempt.
    actix_rt::System::new().block_on(async {
        let agent = || {
            let lingers = |work: &Work| Plan::Lingering(frames(work, vec![Event::Accepted]));
            Agent::new(lingers).with_state(|_| AttemptState::Running)
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
        assert!(rescues <= 10, "{rescues} rescues with a saved budget of ten");
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn no_second_attempt_is_made_at_the_same_endpoint() {
    // Guards against a second attempt at the only endpoint, which is already silent: it uses up an
    // attempt and a retry that the request needs later.
    actix_rt::System::new().block_on(async {
        let mut only = agents(1);
        only.truncate(1);
        // The silence timeout is longer than the deadline, so that no attempt counts as lost, which
        // would rightly be retried.
        let settings = EntrySettings { silence_ms: 10_000, ..entry_settings() };
        let fixture = Fixture::start_configured(only, urgent(), settings).await;
        let late = ("chicoryford-deadline-ms", "2000");
        let seen = fixture.post(paths::CHAT, &[late], &chat()).await;
        assert_eq!(seen.json()["error"]["code"], "deadline_passed", "{}", seen.text());
        assert_eq!(fixture.attempts().len(), 1);
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn a_content_convicted_meanwhile_is_not_rescued() {
    // Guards against a convicted content that crashes another endpoint as the second attempt of a
    // request whose first attempt is silent.
    actix_rt::System::new().block_on(async {
        let settings = EntrySettings { silence_ms: 10_000, rescue_ms: 2_000, ..entry_settings() };
        let fixture = Fixture::start_configured(agents(1), urgent(), settings).await;
        let convict = async {
            while fixture.attempts().is_empty() {
                actix_rt::time::sleep(Duration::from_millis(2)).await;
            }
            let blamed = vec![fixture.attempts()[0].fingerprint];
            for crash in 1..=3 {
                let endpoint = Endpoint(format!("crashed-{crash}"));
                let (incarnation, blamed) = (Incarnation(1), blamed.clone());
                fixture.control.apply(Command::Crashed { endpoint, crash, incarnation, blamed });
            }
        };
        let (body, late) = (chat(), [("chicoryford-deadline-ms", "5000")]);
        let (seen, ()) = tokio::join!(fixture.post(paths::CHAT, &late, &body), convict);
        assert_eq!(fixture.control.state.lock().unwrap().config.convictions.len(), 1);
        assert_eq!(fixture.attempts().len(), 1, "a convicted content was sent again");
        assert_eq!(seen.json()["error"]["code"], "deadline_passed", "{}", seen.text());
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn the_rescue_delay_is_learned() {
    let model = Model::from(MODEL);
    let mut times = FirstTokenTimes::new(1_200);
    assert_eq!(times.rescue_delay(&model, 60_000).as_millis(), 1_200);
    assert_eq!(times.rescue_delay(&model, 1_000).as_millis(), 500, "half of the remaining time");
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
