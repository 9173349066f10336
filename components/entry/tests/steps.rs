//! Tests of trainers' steps through an entry with fake agents and the real state machine.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_ledger::LedgerCommand;
use chicoryford_settings::EntrySettings;
use chicoryford_state::Command;
use chicoryford_types::Fingerprint;
use chicoryford_types::Template;
use chicoryford_types::Version;
use chicoryford_types::Work;
use chicoryford_types::frame::Event;
use chicoryford_types::frame::Tokens;
use chicoryford_types::request::StoredAnswer;
use chicoryford_types::request::Task;
use chicoryford_wire::Client;
use chicoryford_wire::paths;
use serde_json::Value;
use serde_json::json;
use support::Agent;
use support::Fixture;
use support::MODEL;
use support::Plan;
use support::SERVICE;
use support::Seen;
use support::WORKSPACE;
use support::entry_settings;
use support::finished;
use support::frames;
use support::template;
use support::tokens;

fn trainer() -> Client {
    Client::new(Some("trainer".to_owned()), None)
}

fn step() -> Value {
    json!({
        "workspace": WORKSPACE, "step": 1, "model": MODEL, "samples": 2, "max_tokens": 8,
        "groups": [{"prompt": "Ston to Split"}, {"prompt": "Zadar to Ston"}], "seed": 5,
    })
}

fn sampler(version: u64) -> Agent {
    Agent::new(move |work| {
        let events = vec![Event::Accepted, tokens("by sea", version), finished(2)];
        Plan::Stream(frames(work, events))
    })
}

async fn pull(fixture: &Fixture, cursor: u64) -> Seen {
    loop {
        let body = json!({"workspace": WORKSPACE, "cursor": cursor, "groups": 2});
        let seen = fixture.post_as(&trainer(), paths::STEP_PULL, &[], &body).await;
        if seen.status != 202 {
            return seen;
        }
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn pull_all(fixture: &Fixture, groups: usize) -> Vec<Value> {
    let mut samples = Vec::new();
    let mut cursor = 1;
    while samples.len() < groups {
        let seen = pull(fixture, cursor).await;
        assert_eq!(seen.status, 200, "{}", seen.text());
        let again = pull(fixture, cursor).await;
        assert_eq!(seen.body, again.body, "the same cursor returns the same bytes");
        samples.extend(seen.json()["samples"].as_array().unwrap().clone());
        let ack = json!({"workspace": WORKSPACE, "cursor": cursor});
        let acked = fixture.post_as(&trainer(), paths::STEP_ACK, &[], &ack).await;
        assert_eq!(acked.status, 200, "{}", acked.text());
        cursor += 1;
    }
    samples
}

#[test]
fn delivers_each_sample_of_a_step_once() {
    actix_rt::System::new().block_on(async {
        let fixture = Fixture::start(vec![sampler(1), sampler(1)]).await;
        for _ in 0..2 {
            let seen = fixture.post_as(&trainer(), paths::STEP_OPEN, &[], &step()).await;
            assert_eq!(seen.status, 200, "{}", seen.text());
        }
        let samples = pull_all(&fixture, 4).await;
        let ids: BTreeSet<String> =
            samples.iter().map(|s| format!("{}.{}", s["group"], s["number"])).collect();
        assert_eq!((samples.len(), ids.len()), (4, 4));
        for sample in &samples {
            assert_eq!(sample["spans"], json!([{"from": 0, "to": 2, "version": 1}]));
            assert_eq!(sample["text"], "by sea");
        }
        let seeds: BTreeSet<u64> = fixture
            .attempts()
            .iter()
            .map(|work| match &work.task {
                Task::Generate(task) => task.seed,
                Task::Call(_) => panic!("not a generation"),
            })
            .collect();
        assert_eq!(seeds.len(), 4, "each sample has its own seed");
        let other = json!({"workspace": WORKSPACE, "cursor": 9});
        let seen = fixture.post_as(&trainer(), paths::STEP_PULL, &[], &other).await;
        assert_eq!(seen.status, 409);
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn a_sample_of_unknown_version_is_generated_again() {
    // Symptom: a sample names a version that did not produce it.
    // Sequence: weights are swapped during a stream, and the engine reports no version for some
    // tokens.
    // Cause: the version is guessed from the ordered one.
    actix_rt::System::new().block_on(async {
        let calls = AtomicU32::new(0);
        let agent = Agent::new(move |work| {
            let mut events = vec![Event::Accepted, tokens("by sea", 1), finished(2)];
            if calls.fetch_add(1, Ordering::Relaxed) < 3 {
                let text = "by sea".to_owned();
                events[1] = Event::Tokens(Tokens { text, count: 2, ..Tokens::default() });
            }
            Plan::Stream(frames(work, events))
        });
        let fixture = Fixture::start(vec![agent]).await;
        fixture.post_as(&trainer(), paths::STEP_OPEN, &[], &step()).await;
        let samples = pull_all(&fixture, 4).await;
        assert!(samples.iter().all(|s| s["spans"][0]["version"] == 1));
        assert_eq!(fixture.attempts().len(), 7);
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn no_sample_older_than_the_bound_is_delivered() {
    // Symptom: a trainer learns from samples of weights that are too old.
    // Sequence: new weights are published three times, and one sampler still runs the first
    // version.
    // Cause: the age is checked only when the sample starts, or not at all.
    actix_rt::System::new().block_on(async {
        let fixture = Fixture::start(vec![sampler(1), sampler(4)]).await;
        for version in 2..=4 {
            let body = json!({
                "workspace": WORKSPACE, "model": MODEL, "version": version, "source": "store",
            });
            let seen = fixture.post_as(&trainer(), paths::PUBLISH, &[], &body).await;
            assert_eq!(seen.status, 200, "{}", seen.text());
        }
        fixture.change_members(|members| {
            for known in members.known.values_mut() {
                if let Some(info) = &mut known.member.endpoint {
                    info.models.insert(MODEL.into(), Version(4));
                }
            }
        });
        fixture.post_as(&trainer(), paths::STEP_OPEN, &[], &step()).await;
        let samples = pull_all(&fixture, 4).await;
        assert!(samples.iter().all(|s| s["spans"][0]["version"] == 4));
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn samples_are_scored_if_the_template_names_a_scorer() {
    actix_rt::System::new().block_on(async {
        let agent = Agent::new(|work| {
            let events = match &work.task {
                Task::Generate(_) => vec![Event::Accepted, tokens("by sea", 1), finished(2)],
                Task::Call(call) => {
                    assert!(call.body.starts_with(b"{"));
                    let body = Bytes::from("{\"score\":0.5}");
                    let answer =
                        StoredAnswer { status: 200, media: "application/json".to_owned(), body };
                    vec![Event::Accepted, Event::Answer(answer), finished(0)]
                }
            };
            Plan::Stream(frames(work, events))
        });
        let mut template = template();
        template.scorer = Some(SERVICE.into());
        let fixture = Fixture::start_with(vec![agent], template).await;
        fixture.post_as(&trainer(), paths::STEP_OPEN, &[], &step()).await;
        let samples = pull_all(&fixture, 4).await;
        assert!(samples.iter().all(|s| s["score"] == 0.5));
        fixture.settled().await;
        fixture.check().await;
    });
}

/// Guards against a trainer that waits for one sample while its engine, without failing, becomes
/// slow.
#[test]
fn the_last_sample_of_a_group_is_hedged_and_has_one_winner() {
    actix_rt::System::new().block_on(async {
        let started = Arc::new(AtomicU32::new(0));
        let agent = || {
            let started = started.clone();
            Agent::new(move |work| match started.fetch_add(1, Ordering::Relaxed) {
                0 => Plan::Lingering(frames(work, vec![Event::Accepted, tokens("by ", 1)])),
                _ => {
                    let events = vec![Event::Accepted, tokens("by sea", 1), finished(2)];
                    Plan::Stream(frames(work, events))
                }
            })
        };
        let fixture = Fixture::start(vec![agent(), agent()]).await;
        fixture.post_as(&trainer(), paths::STEP_OPEN, &[], &step()).await;
        let samples = pull_all(&fixture, 4).await;
        let texts: Vec<&Value> = samples.iter().map(|sample| &sample["text"]).collect();
        assert!(texts.iter().all(|text| *text == "by sea"), "{texts:?}");
        let ids: BTreeSet<String> =
            samples.iter().map(|s| format!("{}.{}", s["group"], s["number"])).collect();
        assert_eq!((samples.len(), ids.len()), (4, 4));
        assert_eq!(fixture.attempts().len(), 5);
        let dump = fixture.kernel.dumps.take().await;
        assert_eq!(dump["entry"]["admission"]["hedges"], 1);
        fixture.settled().await;
        fixture.check().await;
    });
}

/// Guards against a sample that is counted twice, once by a query of the step's progress and once
/// by the reply that it is recorded. Its group then counts as complete, and its last sample is
/// stopped and run again.
#[test]
fn a_sample_recorded_during_a_query_of_the_progress_counts_once() {
    actix_rt::System::new().block_on(async {
        let (calls, release) = (AtomicU32::new(0), Arc::new(AtomicU32::new(0)));
        let released = release.clone();
        let agent = Agent::new(move |work| {
            let events = vec![Event::Accepted, tokens("by sea", 1), finished(2)];
            match calls.fetch_add(1, Ordering::Relaxed) {
                0 => Plan::Stream(frames(work, events)),
                _ => Plan::Held(frames(work, events), released.clone()),
            }
        });
        let unhedged = EntrySettings { hedge: false, ..entry_settings() };
        let fixture = Fixture::start_configured(vec![agent], template(), unhedged).await;
        fixture.control.holds_records.store(true, Ordering::Relaxed);
        fixture.post_as(&trainer(), paths::STEP_OPEN, &[], &step()).await;
        while fixture.control.count_progress_queries() == 0 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        fixture.control.holds_records.store(false, Ordering::Relaxed);
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        release.store(1, Ordering::Relaxed);
        pull_all(&fixture, 4).await;
        assert_eq!(fixture.attempts().len(), 4, "no sample was generated twice");
        fixture.settled().await;
        fixture.check().await;
    });
}

/// Guards against a second run of a sample that is complete and only waits to be recorded, while the
/// control processes are slow. The second run would wait for them as well.
#[test]
fn a_sample_that_waits_to_be_recorded_is_not_hedged() {
    actix_rt::System::new().block_on(async {
        let (calls, release) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
        let agent = || {
            let (calls, released) = (calls.clone(), release.clone());
            Agent::new(move |work| {
                let events = vec![Event::Accepted, tokens("by sea", 1), finished(2)];
                match calls.fetch_add(1, Ordering::Relaxed) {
                    0 => Plan::Stream(frames(work, events)),
                    _ => Plan::Held(frames(work, events), released.clone()),
                }
            })
        };
        let fixture = Fixture::start(vec![agent(), agent()]).await;
        fixture.control.holds_records.store(true, Ordering::Relaxed);
        let mut spec = step();
        spec["samples"] = json!(1);
        fixture.post_as(&trainer(), paths::STEP_OPEN, &[], &spec).await;
        let seeds = || -> Vec<u64> {
            let attempts = fixture.attempts();
            let seed = |work: &Work| match &work.task {
                Task::Generate(task) => task.seed,
                Task::Call(_) => panic!("not a generation"),
            };
            attempts.iter().map(seed).collect()
        };
        while fixture.control.count_progress_queries() == 0 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        release.store(1, Ordering::Relaxed);
        let proposed = fixture.control.proposed.lock().unwrap().clone();
        let recorded = proposed.iter().find_map(|command| match command {
            Command::Ledger(command) => match &**command {
                LedgerCommand::Done { group, .. } => Some(*group),
                _ => None,
            },
            _ => None,
        });
        let seed = Fingerprint::of(format!("5.{}.0", recorded.unwrap()).as_bytes()).0;
        assert_eq!(seeds().iter().filter(|other| **other == seed).count(), 1);
        pull_all(&fixture, 2).await;
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn a_leaving_entry_finishes_its_samples_and_hands_its_step_over() {
    // Symptom: a planned stop of an entry discards samples, and its steps make no progress until
    // the lease has expired.
    // Sequence: a planned stop of the entry takes effect while a sample is running.
    // Cause: the stop interrupts samples, or the session stays open after it.
    actix_rt::System::new().block_on(async {
        let release = Arc::new(AtomicU32::new(0));
        let released = release.clone();
        let agent = Agent::new(move |work| {
            let events = vec![Event::Accepted, tokens("by sea", 1), finished(2)];
            Plan::Held(frames(work, events), released.clone())
        });
        let fixture = Fixture::start(vec![agent]).await;
        let mut spec = step();
        spec["groups"].as_array_mut().unwrap().truncate(1);
        fixture.post_as(&trainer(), paths::STEP_OPEN, &[], &spec).await;
        while fixture.attempts().len() < 2 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        // After a signal, the process may exit before the duty checks again whether it has to
        // leave.
        assert!(
            fixture.progress.count() > 0,
            "running samples count as work in progress before any stop"
        );
        fixture.stop_entry();
        let mut refused = fixture.post_as(&trainer(), paths::STEP_OPEN, &[], &spec).await;
        while refused.status == 200 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            refused = fixture.post_as(&trainer(), paths::STEP_OPEN, &[], &spec).await;
        }
        assert_eq!(refused.json()["error"]["code"], "draining");
        release.store(1, Ordering::Relaxed);
        let samples = pull(&fixture, 1).await.json();
        assert_eq!(samples["samples"].as_array().unwrap().len(), 2);
        assert_eq!(fixture.attempts().len(), 2, "no sample was generated twice");
        while fixture.progress.count() > 0 {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        let proposed = fixture.control.proposed.lock().unwrap().clone();
        assert!(proposed.iter().any(|command| matches!(command, Command::CloseSession { .. })));
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn trainers_that_the_template_does_not_name_are_refused() {
    actix_rt::System::new().block_on(async {
        let fixture = Fixture::start(vec![sampler(1)]).await;
        let seen = fixture.post(paths::STEP_OPEN, &[], &step()).await;
        assert_eq!(seen.status, 403, "a caller's token cannot open steps");
        fixture.apply(Template { trainers: Vec::new(), ..template() });
        let seen = fixture.post_as(&trainer(), paths::STEP_OPEN, &[], &step()).await;
        assert_eq!(seen.json()["error"]["code"], "forbidden");
        fixture.settled().await;
        fixture.check().await;
    });
}
