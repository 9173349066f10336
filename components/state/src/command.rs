//! The commands of the replicated state, and their replies.

use chicoryford_ledger::LedgerCommand;
use chicoryford_ledger::LedgerReply;
use chicoryford_types::Attempt;
use chicoryford_types::ChangeId;
use chicoryford_types::Digest;
use chicoryford_types::Endpoint;
use chicoryford_types::Failure;
use chicoryford_types::Fingerprint;
use chicoryford_types::IdempotencyKey;
use chicoryford_types::Incarnation;
use chicoryford_types::Model;
use chicoryford_types::Node;
use chicoryford_types::Position;
use chicoryford_types::RequestId;
use chicoryford_types::StopId;
use chicoryford_types::Template;
use chicoryford_types::Unix;
use chicoryford_types::Version;
use chicoryford_types::Workspace;
use chicoryford_types::config::Stop;
use chicoryford_types::config::Versioned;
use chicoryford_types::request::StoredAnswer;
use serde::Deserialize;
use serde::Serialize;

/// The version that an operator assumes to be in force. The change is accepted only if it is.
///
/// The version number alone is not sufficient, because two concurrent operators can each have a
/// different text under the same number; the digest of the content is compared as well.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Base {
    /// The version in force, zero for none.
    pub version: u64,
    /// The digest of the template in force, zero for none.
    pub digest: Digest,
}

/// The agent that runs an attempt of a call that may not be repeated.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct AgentAssignment {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Its agent.
    pub agent: Node,
    /// The agent's incarnation; an agent that restarted has no record of the attempt.
    pub incarnation: Incarnation,
}

/// The outcome of a claim.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum ClaimEnd {
    /// The call ran. Resends get this answer.
    Answered(StoredAnswer),
    /// The call did not run and will not run under this claim.
    NotRun,
    /// The call may have run. Resends get this outcome, and the call is never run again.
    Unknown,
}

/// A command for the replicated state. Each may be proposed again after a lost reply: the second
/// time it changes nothing and gets the same reply.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Adds or replaces a template.
    Apply {
        /// Identifies resends.
        change: ChangeId,
        /// The template.
        template: Box<Template>,
        /// The version that the operator assumes to be in force.
        base: Base,
    },
    /// Removes a template.
    Remove {
        /// Identifies resends.
        change: ChangeId,
        /// The workspace of the template.
        workspace: Workspace,
        /// The version that the operator assumes to be in force.
        base: Base,
    },
    /// Puts the content of an earlier version in force as a new version.
    Rollback {
        /// Identifies resends.
        change: ChangeId,
        /// The workspace of the template.
        workspace: Workspace,
        /// The version whose content is restored.
        to: u64,
        /// The version that the operator assumes to be in force.
        base: Base,
    },
    /// Requests the stored versions of a template.
    History {
        /// The workspace of the template.
        workspace: Workspace,
    },
    /// Plans a stop.
    PlanStop {
        /// Identifies resends.
        change: ChangeId,
        /// The id of the stop.
        id: StopId,
        /// The stop.
        stop: Stop,
    },
    /// Cancels a planned stop, or removes one that is over.
    CancelStop {
        /// Identifies resends.
        change: ChangeId,
        /// The id of the stop.
        id: StopId,
    },
    /// Publishes a version of a model's weights.
    Publish {
        /// Identifies resends.
        change: ChangeId,
        /// The model.
        model: Model,
        /// The version, greater than all previous ones.
        version: Version,
        /// The location in the weight store.
        source: String,
    },
    /// Reports that an endpoint crashed, with the requests in progress there. Sent by its agent.
    Crashed {
        /// The endpoint.
        endpoint: Endpoint,
        /// The number of the endpoint's crash within the agent's incarnation, to identify resends.
        crash: u64,
        /// The agent's incarnation.
        incarnation: Incarnation,
        /// The contents to blame: the suspects among those in progress, or all of them if there are
        /// none.
        blamed: Vec<Fingerprint>,
    },
    /// Reports that a suspected content ran to completion.
    Cleared {
        /// The content.
        fingerprint: Fingerprint,
    },
    /// Allows a convicted content to run again.
    Pardon {
        /// Identifies resends.
        change: ChangeId,
        /// The content.
        fingerprint: Fingerprint,
    },
    /// Claims the right to run a call that may not be repeated.
    Claim {
        /// The workspace.
        workspace: Workspace,
        /// The caller's key.
        key: IdempotencyKey,
        /// The digest of the call's content. The same key with other content is refused.
        digest: Digest,
        /// The request that claims. If the same request claims again, it is granted again.
        request: RequestId,
        /// The agent that is assigned to run it.
        to: AgentAssignment,
    },
    /// Moves a claim to another agent after its last attempt did not run.
    Reassign {
        /// The workspace.
        workspace: Workspace,
        /// The caller's key.
        key: IdempotencyKey,
        /// The request that now runs it.
        request: RequestId,
        /// The attempt that did not run, which must still be the current one.
        after: Attempt,
        /// The agent that is assigned to run it.
        to: AgentAssignment,
    },
    /// Ends a claim.
    Settle {
        /// The workspace.
        workspace: Workspace,
        /// The caller's key.
        key: IdempotencyKey,
        /// The attempt that ended, which must still be the current one.
        attempt: Attempt,
        /// The outcome.
        end: ClaimEnd,
    },
    /// Opens a session for an entry, which owns the leases on the entry's steps.
    OpenSession {
        /// The entry.
        node: Node,
        /// The incarnation of the entry. The session of an earlier incarnation is closed.
        incarnation: Incarnation,
    },
    /// Closes a session. Proposed by the leader if the session was not renewed, or by its entry.
    CloseSession {
        /// The session's number.
        session: u64,
    },
    /// Applies a command to the ledger of steps.
    Ledger(Box<LedgerCommand>),
    /// No operation. A new leader commits it to find out what is committed.
    Nothing,
}

/// Why a command was refused. Nothing changed.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// Another change was accepted first.
    Conflict {
        /// The template in force.
        current: Option<Box<Versioned>>,
        /// The diff between the operator's base and what is in force, in unified format.
        diff: String,
    },
    /// Nothing with that name or version exists.
    Missing,
    /// The change id was used for a different change.
    IdReused,
    /// The change id is older than the deduplication window.
    IdExpired,
    /// The version is not greater than the last published one.
    NotNewer(Version),
    /// The idempotency key is malformed or older than the window.
    KeyExpired,
    /// The idempotency key was used with other content.
    KeyReused,
    /// The claim or session is no longer in the state that the command expects.
    Moved,
    /// A limit is reached.
    Full,
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The change was accepted at this position.
    Accepted {
        /// The position of the change. A process that has reached this position has the change in
        /// force.
        at: Position,
        /// The version of the template or weights, zero for other changes.
        version: u64,
    },
    /// The stored versions, oldest first.
    History(Vec<(Position, Unix, Versioned)>),
    /// The claim is granted. The call is run as this attempt.
    Granted {
        /// The attempt.
        attempt: Attempt,
    },
    /// Another request holds the claim.
    Held {
        /// The request that holds the claim and identifies the attempt at the agent.
        request: RequestId,
        /// The current attempt.
        attempt: Attempt,
        /// The agent that runs it.
        to: AgentAssignment,
    },
    /// The claim has ended.
    Ended(ClaimEnd),
    /// The session is open.
    Session {
        /// Its number.
        session: u64,
    },
    /// The reply of the ledger.
    Ledger(Box<LedgerReply>),
    /// The command is done and has no other result.
    Done,
    /// The command was refused.
    Refused(Refusal),
    /// The command could not be proposed.
    Failed(Failure),
}
