//! Tests of the queries that wait for the decision about a crash.

use chicoryford_agent::crash_queries::CrashQueries;
use chicoryford_agent::crash_queries::CrashQuery;
use chicoryford_agent::crash_queries::MAX_QUERIES;
use chicoryford_agent::gate::Arrival;
use chicoryford_agent::gate::AttemptEnd;
use chicoryford_agent::gate::Gate;
use chicoryford_agent::gate::GateSettings;
use chicoryford_agent::gate::Id;
use chicoryford_types::Attempt;
use chicoryford_types::Epoch;
use chicoryford_types::Incarnation;
use chicoryford_types::Millis;
use chicoryford_types::Position;
use chicoryford_types::RequestId;
use chicoryford_types::Unix;
use chicoryford_types::ids::Revision;
use chicoryford_types::request::CrashDecision;
use tokio::sync::oneshot;

const ID: Id = Id { request: RequestId(0, 1), attempt: Attempt(1) };
const AT: Position = Position { epoch: Epoch(1), revision: Revision(9) };

/// Returns a gate with an attempt whose connection broke.
fn broken_gate() -> Gate {
    let mut gate = Gate::new(GateSettings::default());
    let arrival = Arrival { id: ID, budget_ms: 60_000, ..Arrival::default() };
    gate.arrive(arrival, Millis(0), Unix(0));
    gate.record_end(ID, AttemptEnd::Broken, Millis(10));
    gate
}

fn ask(queries: &mut CrashQueries, gate: &Gate) -> oneshot::Receiver<CrashDecision> {
    let (reply, answer) = oneshot::channel();
    queries.push(CrashQuery { id: ID, incarnation: Incarnation::default(), reply }, gate);
    answer
}

#[test]
fn queries_are_answered_when_the_attempt_is_decided() {
    // Guards against queries that are held until their limit although there is a decision.
    let (mut gate, mut queries) = (broken_gate(), CrashQueries::default());
    let mut early = ask(&mut queries, &gate);
    gate.take_crash_suspects(1, Millis(100));
    queries.answer(&gate);
    assert!(early.try_recv().is_err(), "the report is not committed");
    gate.record_crash_committed(1, AT);
    queries.answer(&gate);
    assert_eq!(early.try_recv(), Ok(CrashDecision::Committed(AT)));
    assert_eq!(ask(&mut queries, &gate).try_recv(), Ok(CrashDecision::Committed(AT)));
    assert!(queries.is_empty());
}

#[test]
fn waiting_queries_are_bounded_and_dropped_with_their_callers() {
    // Guards against an agent whose memory and work grow with queries of callers that are gone or
    // that ask without end.
    let (gate, mut queries) = (broken_gate(), CrashQueries::default());
    let mut waiting: Vec<_> = (0..MAX_QUERIES).map(|_| ask(&mut queries, &gate)).collect();
    assert_eq!(ask(&mut queries, &gate).try_recv(), Ok(CrashDecision::Pending), "at the limit");
    assert_eq!(queries.len(), MAX_QUERIES);
    waiting.pop();
    let mut next = ask(&mut queries, &gate);
    assert!(next.try_recv().is_err(), "it takes the place of the caller that is gone");
    assert_eq!(queries.len(), MAX_QUERIES);
    drop(waiting);
    queries.drop_closed();
    assert_eq!(queries.len(), 1);
}
