//! Queries for the decision about a crash that wait until there is one.

use chicoryford_types::Incarnation;
use chicoryford_types::request::CrashDecision;
use tokio::sync::oneshot;

use crate::gate::Gate;
use crate::gate::Id;

/// Maximum number of waiting queries. An entry asks once for each broken attempt, so more than the
/// slots and the queue of an endpoint together come only from callers that are gone.
pub const MAX_QUERIES: usize = 1_024;

/// A query whether an attempt is blamed for a crash.
pub struct CrashQuery {
    /// The attempt.
    pub id: Id,
    /// The incarnation of the agent to which it was sent.
    pub incarnation: Incarnation,
    /// Receives the decision.
    pub reply: oneshot::Sender<CrashDecision>,
}

/// The queries that wait for a decision.
#[derive(Default)]
pub struct CrashQueries {
    waiting: Vec<CrashQuery>,
}

impl CrashQueries {
    /// Answers a query if its attempt is decided, and otherwise keeps it. At the limit it is
    /// answered that there is no decision, and the entry asks again.
    pub fn push(&mut self, query: CrashQuery, gate: &Gate) {
        let decision = gate.crash_decision(query.id, query.incarnation);
        if decision == CrashDecision::Pending {
            if self.waiting.len() >= MAX_QUERIES {
                self.drop_closed();
            }
            if self.waiting.len() < MAX_QUERIES {
                self.waiting.push(query);
                return;
            }
        }
        let _ = query.reply.send(decision);
    }

    /// Answers the waiting queries whose attempts are decided. Called after each event that may
    /// decide one.
    pub fn answer(&mut self, gate: &Gate) {
        let decided = |query: &mut CrashQuery| {
            gate.crash_decision(query.id, query.incarnation) != CrashDecision::Pending
        };
        for CrashQuery { id, incarnation, reply } in self.waiting.extract_if(.., decided) {
            let _ = reply.send(gate.crash_decision(id, incarnation));
        }
    }

    /// Drops the queries whose callers no longer wait.
    pub fn drop_closed(&mut self) {
        self.waiting.retain(|query| !query.reply.is_closed());
    }

    /// Returns the number of waiting queries.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no query waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
