//! Decides which attempts may start, and ensures that none starts twice (docs/AGENT.md).
//!
//! [`Gate`] performs no input or output and reads no clock: every call passes the time of the
//! event and returns a verdict. The effects on other attempts are collected as [`Action`]s, which
//! [`Gate::take_actions`] returns. The gate checks its invariants in every build.

mod admission;
mod blame;
mod decide;
mod history;
mod queue;

use chicoryford_types::Attempt;
use chicoryford_types::Class;
use chicoryford_types::Failure;
use chicoryford_types::Fingerprint;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Incarnation;
use chicoryford_types::RequestId;
use chicoryford_types::Work;
use chicoryford_types::Workspace;
use chicoryford_types::request::StoredAnswer;
use serde::Serialize;

pub use decide::Gate;
pub use decide::GateStats;
pub use history::AttemptStatus;

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt within the request.
    pub attempt: Attempt,
}

/// The properties of a call that must run at most once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AtMostOnce {
    /// The workspace.
    pub workspace: Workspace,
    /// The caller's key. Without one, only the same attempt is recognised as a duplicate.
    pub key: Option<IdempotencyKey>,
    /// The incarnation of the agent to which the call was sent.
    pub incarnation: Incarnation,
}

/// The properties of an arriving attempt on which the gate decides.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// The attempt.
    pub id: Id,
    /// Its priority class.
    pub class: Class,
    /// Milliseconds until its deadline.
    pub budget_ms: u64,
    /// Hash of its content.
    pub fingerprint: Fingerprint,
    /// Whether its content is suspected of having crashed endpoints.
    pub suspect: bool,
    /// Set for a call that must run at most once.
    pub at_most_once: Option<AtMostOnce>,
}

impl Arrival {
    /// Extracts the properties from the work that an entry sent.
    pub fn from_work(work: &Work) -> Self {
        let at_most_once = (!work.repeatable).then(|| AtMostOnce {
            workspace: work.workspace.clone(),
            key: work.key.clone(),
            incarnation: work.incarnation,
        });
        Self {
            id: Id { request: work.request, attempt: work.attempt },
            class: work.class,
            budget_ms: work.budget_ms,
            fingerprint: work.fingerprint,
            suspect: work.suspect,
            at_most_once,
        }
    }
}

/// The decision on an attempt that arrived.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The attempt starts now.
    Start,
    /// The attempt waits for a slot. A later [`Action`] starts or drops it.
    Wait,
    /// The same call has run before and gave this answer.
    Stored(StoredAnswer),
    /// The attempt is refused.
    Refuse(Failure),
}

/// An effect on an attempt that arrived earlier.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A queued attempt starts.
    Start(Id),
    /// A queued attempt is dropped; it did not run.
    Drop(Id, Failure),
    /// A running attempt must be stopped at the endpoint.
    Cancel(Id),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// No byte of it reached the endpoint, or the endpoint refused it.
    NotRun,
    /// A service answered.
    Answered(StoredAnswer),
    /// A generation finished.
    Finished,
    /// It was stopped at the endpoint, or its deadline passed.
    Stopped,
    /// The connection to the endpoint broke; the endpoint may have crashed.
    Broken,
}

/// Which protections are enabled. Only tests disable one, to show that it is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// Records attempts, so that none starts twice.
    pub attempts: bool,
    /// Records keys, so that no call that must run at most once starts twice.
    pub keys: bool,
    /// Refuses an attempt that arrives after it was reported as "not run".
    pub revoked: bool,
    /// Refuses a call that was sent to an earlier incarnation.
    pub incarnation: bool,
    /// Refuses new work while draining.
    pub draining: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Self { attempts: true, keys: true, revoked: true, incarnation: true, draining: true }
    }
}

/// The limits of a gate.
#[derive(Clone, Debug)]
pub struct GateSettings {
    /// Attempts that may run concurrently.
    pub slots: usize,
    /// Attempts that may wait in the queue.
    pub queue_length: usize,
    /// The incarnation of this agent.
    pub incarnation: Incarnation,
    /// Milliseconds for which an ended attempt is remembered. The operating system may retransmit
    /// the last bytes of a connection for a quarter of an hour, so this must be longer.
    pub attempt_ttl_ms: u64,
    /// Milliseconds after its issue during which a key may be used (docs/API.md).
    pub key_validity_ms: u64,
    /// Milliseconds by which the wall clocks of caller and agent may differ.
    pub max_skew_ms: u64,
    /// Maximum number of remembered attempts, and of keys. At the limit new work is refused;
    /// records are not evicted early.
    pub max_records: usize,
    /// Maximum total size of the stored answers, in bytes.
    pub max_stored_bytes: usize,
    /// Maximum size of one stored answer, in bytes. A longer answer is not stored, and a resend is
    /// answered that the first call may have run.
    pub max_answer_bytes: usize,
    /// Consecutive starts of higher classes after which a waiting batch attempt starts first.
    pub max_batch_passes: u32,
    /// The enabled protections; tests disable some.
    pub protections: Protections,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            slots: 16,
            queue_length: 16,
            incarnation: Incarnation::default(),
            attempt_ttl_ms: 20 * 60_000,
            key_validity_ms: 24 * 3_600_000,
            max_skew_ms: 5 * 60_000,
            max_records: 131_072,
            max_stored_bytes: 32 << 20,
            max_answer_bytes: 256 << 10,
            max_batch_passes: 4,
            protections: Protections::default(),
        }
    }
}
