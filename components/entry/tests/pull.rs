//! Pulls that wait at the entry for a group.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chicoryford_kernel::Phase;
use chicoryford_ledger::LedgerCommand;
use chicoryford_state::Command;
use chicoryford_types::frame::Event;
use chicoryford_wire::Client;
use chicoryford_wire::paths;
use futures_util::future::join;
use serde_json::json;
use support::Agent;
use support::Fixture;
use support::MODEL;
use support::Plan;
use support::Seen;
use support::WORKSPACE;
use support::finished;
use support::frames;
use support::tokens;

/// Opens a step of one group whose samples end once the number is not zero.
async fn held_step() -> (Fixture, Arc<AtomicU32>) {
    let release = Arc::new(AtomicU32::new(0));
    let released = release.clone();
    let agent = Agent::new(move |work| {
        let events = vec![Event::Accepted, tokens("by sea", 1), finished(2)];
        Plan::Held(frames(work, events), released.clone())
    });
    let fixture = Fixture::start(vec![agent]).await;
    let step = json!({
        "workspace": WORKSPACE, "step": 1, "model": MODEL, "samples": 2, "max_tokens": 8,
        "groups": [{"prompt": "Ston to Split"}], "seed": 5,
    });
    let seen = fixture.post_as(&trainer(), paths::STEP_OPEN, &[], &step).await;
    assert_eq!(seen.status, 200, "{}", seen.text());
    while fixture.attempts().len() < 2 {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    (fixture, release)
}

fn trainer() -> Client {
    Client::new(Some("trainer".to_owned()), None)
}

async fn pull(fixture: &Fixture, cursor: u64) -> Seen {
    let body = json!({"workspace": WORKSPACE, "cursor": cursor, "groups": 2, "wait_ms": 10_000});
    fixture.post_as(&trainer(), paths::STEP_PULL, &[], &body).await
}

/// Counts the questions for a batch that reached the log.
fn questions(fixture: &Fixture) -> usize {
    let proposed = fixture.control.proposed.lock().unwrap();
    let asks = |command: &&Command| match command {
        Command::Ledger(command) => matches!(**command, LedgerCommand::Pull { .. }),
        _ => false,
    };
    proposed.iter().filter(asks).count()
}

async fn until_asked(fixture: &Fixture) {
    while questions(fixture) == 0 {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

#[test]
fn a_pull_waits_until_a_group_is_whole() {
    // Symptom: trainers idle between the end of a group and their next question for it.
    // Sequence: the trainer pulls before the group is whole; it becomes whole a moment later.
    // Cause: the trainer told to come back instead of woken.
    actix_rt::System::new().block_on(async {
        let (fixture, release) = held_step().await;
        let end = async {
            until_asked(&fixture).await;
            release.store(1, Ordering::Relaxed);
        };
        let (seen, ()) = join(pull(&fixture, 1), end).await;
        assert_eq!(seen.status, 200, "{}", seen.text());
        assert_eq!(seen.json()["samples"].as_array().unwrap().len(), 2);
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn only_what_may_still_come_is_waited_for() {
    // Symptom: a trainer learns seconds late that its question was wrong.
    // Sequence: it pulls a cursor that is not the next one, and says that it would wait.
    // Cause: every answer without a batch waited on, final ones too.
    actix_rt::System::new().block_on(async {
        let (fixture, release) = held_step().await;
        let seen = pull(&fixture, 9).await;
        assert_eq!(seen.status, 409, "{}", seen.text());
        assert_eq!(questions(&fixture), 1, "a final answer is not asked for again");
        release.store(1, Ordering::Relaxed);
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn a_leaving_entry_sends_waiting_pulls_elsewhere() {
    // Symptom: a planned stop of an entry holds up its trainers.
    // Sequence: the entry begins to drain while a pull waits there.
    // Cause: the pull waited on as if the entry stayed.
    actix_rt::System::new().block_on(async {
        let (fixture, release) = held_step().await;
        let drain = async {
            until_asked(&fixture).await;
            fixture.kernel.phases.advance(Phase::Draining);
        };
        let (seen, ()) = join(pull(&fixture, 1), drain).await;
        assert_eq!(seen.status, 202, "{}", seen.text());
        assert!(seen.json()["retry_ms"].as_u64().unwrap() > 0, "it tells when to come back");
        release.store(1, Ordering::Relaxed);
        fixture.settled().await;
        fixture.check().await;
    });
}
