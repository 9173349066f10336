//! Tests of pulls that wait at the entry for a group.

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

/// Opens a step with one group whose samples finish once the returned number is not zero.
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

/// Counts the pull commands that were proposed to the log.
fn pull_commands(fixture: &Fixture) -> usize {
    let proposed = fixture.control.proposed.lock().unwrap();
    let asks = |command: &&Command| match command {
        Command::Ledger(command) => matches!(**command, LedgerCommand::Pull { .. }),
        _ => false,
    };
    proposed.iter().filter(asks).count()
}

async fn until_pulled(fixture: &Fixture) {
    while pull_commands(fixture) == 0 {
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

#[test]
fn a_pull_waits_until_a_group_is_complete() {
    // Symptom: trainers idle between the completion of a group and their next pull.
    // Sequence: the trainer pulls shortly before the group is complete.
    // Cause: the trainer is told to retry later instead of being notified.
    actix_rt::System::new().block_on(async {
        let (fixture, release) = held_step().await;
        let finish = async {
            until_pulled(&fixture).await;
            release.store(1, Ordering::Relaxed);
        };
        let (seen, ()) = join(pull(&fixture, 1), finish).await;
        assert_eq!(seen.status, 200, "{}", seen.text());
        assert_eq!(seen.json()["samples"].as_array().unwrap().len(), 2);
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn a_final_reply_is_returned_without_waiting() {
    // Symptom: a trainer learns only after seconds that its pull was wrong.
    // Sequence: it pulls a cursor that is not the next one, with a waiting time.
    // Cause: the entry waits on every reply without a batch, including final ones.
    actix_rt::System::new().block_on(async {
        let (fixture, release) = held_step().await;
        let seen = pull(&fixture, 9).await;
        assert_eq!(seen.status, 409, "{}", seen.text());
        assert_eq!(pull_commands(&fixture), 1, "a final reply is not queried again");
        release.store(1, Ordering::Relaxed);
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn a_leaving_entry_ends_waiting_pulls() {
    // Symptom: a planned stop of an entry delays its trainers.
    // Sequence: the entry starts to drain while a pull is waiting there.
    // Cause: the entry continues the wait although it is leaving.
    actix_rt::System::new().block_on(async {
        let (fixture, release) = held_step().await;
        let drain = async {
            until_pulled(&fixture).await;
            fixture.kernel.phases.advance(Phase::Draining);
        };
        let (seen, ()) = join(pull(&fixture, 1), drain).await;
        assert_eq!(seen.status, 202, "{}", seen.text());
        assert!(seen.json()["retry_ms"].as_u64().unwrap() > 0, "the reply has a retry delay");
        release.store(1, Ordering::Relaxed);
        fixture.settled().await;
        fixture.check().await;
    });
}
