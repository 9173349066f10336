//! The gate: which attempts may start, and that none starts twice (docs/AGENT.md).
//!
//! [`Gate`] is a pure decision: it is told of events with the time at which they happened and
//! answers with a verdict; what follows for other attempts is collected and taken with
//! [`Gate::take`]. Its promises are checked where they could be broken, in every build.

mod decide;
mod judge;
mod memory;
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

pub use decide::Figures;
pub use decide::Gate;
pub use memory::Fate;

/// Names one attempt.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id {
    /// The request.
    pub request: RequestId,
    /// Which try of it.
    pub attempt: Attempt,
}

/// A call that may not be repeated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Once {
    /// The workspace.
    pub workspace: Workspace,
    /// The caller's key; without one only the attempt itself is recognised.
    pub key: Option<IdempotencyKey>,
    /// The incarnation of the agent that is to run it.
    pub incarnation: Incarnation,
}

/// What the gate needs to know of an attempt that arrives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// The attempt.
    pub id: Id,
    /// How urgent it is.
    pub class: Class,
    /// Milliseconds until its answer is worthless.
    pub budget: u64,
    /// Hash of its content.
    pub fingerprint: Fingerprint,
    /// Whether its content is suspected of crashing endpoints.
    pub suspect: bool,
    /// Set for a call that may not be repeated.
    pub once: Option<Once>,
}

impl Arrival {
    /// Takes what the gate needs from an attempt.
    pub fn of(work: &Work) -> Self {
        let once = (!work.repeatable).then(|| Once {
            workspace: work.workspace.clone(),
            key: work.key.clone(),
            incarnation: work.incarnation,
        });
        Self {
            id: Id { request: work.request, attempt: work.attempt },
            class: work.class,
            budget: work.budget_ms,
            fingerprint: work.fingerprint,
            suspect: work.suspect,
            once,
        }
    }
}

/// What becomes of an attempt that arrived.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It runs now.
    Start,
    /// It waits for a slot; [`Action`] tells when it starts or is dropped.
    Wait,
    /// A first run of the same call answered this.
    Stored(StoredAnswer),
    /// It is refused.
    Refuse(Failure),
}

/// What is to be done about an attempt that arrived earlier.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// It runs now.
    Start(Id),
    /// It waited and is dropped; it did not run.
    Drop(Id, Failure),
    /// It runs and is to be stopped at the endpoint.
    Cancel(Id),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The endpoint got no byte of it, or refused it by its own word.
    NotRun,
    /// A service answered.
    Answered(StoredAnswer),
    /// A generation came to its end.
    Finished,
    /// It was stopped at the endpoint, or its deadline passed.
    Stopped,
    /// The connection to the endpoint broke; the endpoint may have crashed.
    Broken,
}

/// Which protections are on. All are, but in the runs that show that each is needed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// Attempts are remembered, so that none starts twice.
    pub attempts: bool,
    /// Keys are remembered, so that no call that may not be repeated starts twice.
    pub keys: bool,
    /// Attempts that were called "not run" are refused when they arrive late.
    pub revoked: bool,
    /// A call meant for an earlier incarnation is refused.
    pub incarnation: bool,
    /// No new work while draining.
    pub draining: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Self { attempts: true, keys: true, revoked: true, incarnation: true, draining: true }
    }
}

/// The bounds of a gate.
#[derive(Clone, Debug)]
pub struct GateSettings {
    /// Attempts that run at once.
    pub slots: usize,
    /// Attempts that wait at once.
    pub waiting: usize,
    /// The incarnation of this agent.
    pub incarnation: Incarnation,
    /// Milliseconds for which an ended attempt is remembered. A connection's last bytes can be
    /// sent again by the kernel for a quarter of an hour, so it must be longer than that.
    pub window_ms: u64,
    /// Milliseconds from its issue in which a key may be used (docs/API.md).
    pub key_ms: u64,
    /// Milliseconds by which the wall clocks of caller and agent may differ.
    pub skew_ms: u64,
    /// Attempts and keys remembered at most; past it new work is refused, not old forgotten.
    pub remembered: usize,
    /// Bytes of stored answers at most.
    pub stored: usize,
    /// Bytes of one stored answer at most; a longer one is not stored, and a resend is told that
    /// the first call may have run.
    pub answer: usize,
    /// Starts of more urgent work in a row, after which waiting batch work has its turn.
    pub turn: u32,
    /// Switches for tests.
    pub protections: Protections,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            slots: 16,
            waiting: 16,
            incarnation: Incarnation::default(),
            window_ms: 20 * 60_000,
            key_ms: 24 * 3_600_000,
            skew_ms: 5 * 60_000,
            remembered: 131_072,
            stored: 32 << 20,
            answer: 256 << 10,
            turn: 4,
            protections: Protections::default(),
        }
    }
}
