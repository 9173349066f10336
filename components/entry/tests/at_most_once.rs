//! Tests of calls that may not be repeated, through an entry with fake agents and the real state
//! machine.

mod support;

use bytes::Bytes;
use chicoryford_state::AgentAssignment;
use chicoryford_state::Command;
use chicoryford_types::Code;
use chicoryford_types::Digest;
use chicoryford_types::Endpoint;
use chicoryford_types::Failure;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Incarnation;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::RequestId;
use chicoryford_types::Workspace;
use chicoryford_types::frame::Event;
use chicoryford_types::request::AttemptState;
use chicoryford_types::request::StoredAnswer;
use serde_json::json;
use support::Agent;
use support::Fixture;
use support::Plan;
use support::SERVICE;
use support::WORKSPACE;
use support::finished;
use support::frames;

const PATH: &str = "/v1/services/labels/print";

fn printed() -> StoredAnswer {
    StoredAnswer { status: 200, media: "text/plain".to_owned(), body: Bytes::from("label 1") }
}

fn printer() -> Agent {
    Agent::new(|work| {
        Plan::Stream(frames(work, vec![Event::Accepted, Event::Answer(printed()), finished(0)]))
    })
}

fn key() -> String {
    format!("{}.crate-7", chicoryford_kernel::unix().0)
}

/// Claims the call of [`PATH`] for a request of another entry.
fn claim_elsewhere(fixture: &Fixture, key: &str) {
    let content = [PATH.as_bytes(), b"\0", b"{\"crate\":7}"].concat();
    fixture.control.apply(Command::Claim {
        workspace: Workspace::from(WORKSPACE),
        key: IdempotencyKey::from(key),
        digest: Digest::of(&content),
        request: RequestId(1, 1),
        to: AgentAssignment {
            endpoint: Endpoint::from("endpoint-0"),
            agent: Node::from("agent-0"),
            incarnation: Incarnation(1),
        },
    });
}

#[test]
fn a_resend_gets_the_stored_answer() {
    // Symptom: a crate is shipped twice because its label was printed twice.
    // Sequence: the packing line loses the answer and resends the call.
    // Cause: the resend is treated as a new call.
    actix_rt::System::new().block_on(async {
        let agent = printer().with_state(|_| AttemptState::Done(printed()));
        let fixture = Fixture::start(vec![agent]).await;
        let key = key();
        let headers = [("chicoryford-repeatable", "false"), ("idempotency-key", &key[..])];
        for _ in 0..3 {
            let seen = fixture.post(PATH, &headers, &json!({"crate": 7})).await;
            assert_eq!((seen.status, seen.text()), (200, "label 1"));
        }
        assert_eq!(fixture.attempts().len(), 1);
        let other = fixture.post(PATH, &headers, &json!({"crate": 8})).await;
        assert_eq!(other.json()["error"]["code"], "key_reused");
        assert_eq!(fixture.attempts().len(), 1);
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn a_call_without_a_key_or_with_an_old_one_is_refused() {
    actix_rt::System::new().block_on(async {
        let fixture = Fixture::start(vec![printer()]).await;
        let once = ("chicoryford-repeatable", "false");
        let seen = fixture.post(PATH, &[once], &json!({})).await;
        assert_eq!(seen.json()["error"]["code"], "bad_request");
        let old = [once, ("idempotency-key", "1000.old")];
        let seen = fixture.post(PATH, &old, &json!({})).await;
        assert_eq!(seen.json()["error"]["code"], "key_expired");
        assert_eq!(seen.json()["error"]["outcome"], "not_run");
        assert!(fixture.attempts().is_empty());
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn an_interrupted_call_is_unknown_and_never_runs_again() {
    // Symptom: a label is printed twice after an error.
    // Sequence: the printer crashes during the call, and the caller resends it.
    // Cause: a failure during the call is reported as "not run", or retried at another endpoint.
    actix_rt::System::new().block_on(async {
        let agent = || Agent::new(|work| Plan::Stream(frames(work, vec![Event::Accepted])));
        let fixture = Fixture::start(vec![agent(), agent()]).await;
        let key = key();
        let headers = [("chicoryford-repeatable", "false"), ("idempotency-key", &key[..])];
        for _ in 0..2 {
            let seen = fixture.post(PATH, &headers, &json!({"crate": 7})).await;
            assert_eq!(seen.status, 409, "{}", seen.text());
            assert_eq!(seen.json()["error"]["outcome"], "unknown");
            assert_eq!(seen.json()["error"]["code"], "duplicate_unknown");
        }
        assert_eq!(fixture.attempts().len(), 1);
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn a_refusal_by_the_agent_moves_the_claim_to_another_endpoint() {
    actix_rt::System::new().block_on(async {
        let leaving =
            Agent::new(|_| Plan::Refuse(Failure::not_run(Code::Draining, "the endpoint leaves")));
        let fixture = Fixture::start(vec![leaving, printer()]).await;
        for number in 0..4 {
            let key = format!("{}.{number}", chicoryford_kernel::unix().0);
            let headers = [("chicoryford-repeatable", "false"), ("idempotency-key", &key[..])];
            let seen = fixture.post(PATH, &headers, &json!({"crate": number})).await;
            assert_eq!((seen.status, seen.text()), (200, "label 1"));
        }
        assert_eq!(fixture.agents[1].seen.lock().unwrap().len(), 4);
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn a_claim_of_another_entry_is_resolved_at_its_agent() {
    // Symptom: a label is printed twice though the first entry crashed.
    // Sequence: an entry claims and sends the call, then crashes. The caller resends it through
    // this entry while the first attempt is still running.
    // Cause: the second entry does not know of the first entry's attempt.
    actix_rt::System::new().block_on(async {
        let asked = std::sync::atomic::AtomicU32::new(0);
        let agent = printer().with_state(move |question| {
            assert_eq!(question.request, RequestId(1, 1));
            match asked.fetch_add(1, std::sync::atomic::Ordering::Relaxed) {
                0 => AttemptState::Running,
                _ => AttemptState::Done(printed()),
            }
        });
        let fixture = Fixture::start(vec![agent]).await;
        let key = key();
        claim_elsewhere(&fixture, &key);
        let headers = [("chicoryford-repeatable", "false"), ("idempotency-key", &key[..])];
        let seen = fixture.post(PATH, &headers, &json!({"crate": 7})).await;
        assert_eq!((seen.status, seen.text()), (200, "label 1"));
        assert!(fixture.attempts().is_empty());
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn a_restarted_agent_makes_its_claim_unknown() {
    // Symptom: a label is printed twice after an agent restarted.
    // Sequence: an entry claims and sends the call, then both the entry and the agent crash. The
    // restarted agent does not know the attempt and would report that it never received it.
    // Cause: a restarted agent is confused with one that never received the attempt.
    actix_rt::System::new().block_on(async {
        let agent = printer().with_state(|_| AttemptState::Revoked);
        let fixture = Fixture::start(vec![agent]).await;
        let key = key();
        claim_elsewhere(&fixture, &key);
        fixture.change_members(|members| {
            let agent = members.known.get_mut(&Node::from("agent-0")).unwrap();
            agent.member.incarnation = Incarnation(2);
        });
        let headers = [("chicoryford-repeatable", "false"), ("idempotency-key", &key[..])];
        let seen = fixture.post(PATH, &headers, &json!({"crate": 7})).await;
        assert_eq!(seen.json()["error"]["code"], "duplicate_unknown");
        assert_eq!(seen.json()["error"]["outcome"], "unknown");
        assert!(fixture.attempts().is_empty());
        fixture.settled().await;
        fixture.check().await;
    });
}

#[test]
fn the_outcome_is_not_run_only_if_no_earlier_request_has_the_claim() {
    // Symptom: the packing line is told that a label was not printed, prints it under a new key,
    // and two crates have the same label.
    // Sequence: the first request is lost with its agent, and the resend arrives at an entry
    // without an available endpoint.
    // Cause: "not run" holds only for the resend.
    actix_rt::System::new().block_on(async {
        let fixture = Fixture::start(Vec::new()).await;
        let key = key();
        let headers = [("chicoryford-repeatable", "false"), ("idempotency-key", &key[..])];
        let fresh = fixture.post(PATH, &headers, &json!({"crate": 7})).await;
        assert_eq!(fresh.json()["error"]["outcome"], "not_run", "{}", fresh.text());
        claim_elsewhere(&fixture, &key);
        let again = fixture.post(PATH, &headers, &json!({"crate": 7})).await;
        assert_eq!(again.json()["error"]["outcome"], "unknown", "{}", again.text());
        assert!(fixture.attempts().is_empty());
    });
}

#[test]
fn repeatable_calls_need_no_claim() {
    actix_rt::System::new().block_on(async {
        let fixture = Fixture::start(vec![printer()]).await;
        let seen = fixture.post(PATH, &[], &json!({"crate": 7})).await;
        assert_eq!((seen.status, seen.text()), (200, "label 1"));
        let attempts = fixture.attempts();
        assert_eq!(attempts[0].model, Model::from(SERVICE));
        let proposed = fixture.control.proposed.lock().unwrap().clone();
        assert!(!proposed.iter().any(|command| matches!(command, Command::Claim { .. })));
        fixture.settled().await;
        fixture.check().await;
    });
}
