//! The commands that move the replicated state, and what each answers.

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

/// What an operator believes is in force: the change is accepted only if it is.
///
/// The version alone does not decide, because two operators who race can each hold a different
/// text under the same number; the digest of the content decides as well.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Base {
    /// The version in force, zero for none.
    pub version: u64,
    /// The digest of the template in force, zero for none.
    pub digest: Digest,
}

/// Which agent runs an attempt of a call that may not be repeated.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct AgentAssignment {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Its agent.
    pub agent: Node,
    /// The agent's incarnation: one that restarted does not remember the attempt.
    pub incarnation: Incarnation,
}

/// How a claim ended.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub enum ClaimEnd {
    /// The call ran; resends get this answer.
    Answered(StoredAnswer),
    /// The call certainly did not run, and will not under this claim.
    NotRun,
    /// The call may have run; resends are told so and never run it again.
    Unknown,
}

/// A command for the replicated state. Each may be proposed again after a lost answer: the
/// second time it changes nothing and answers as the first time.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Adds or replaces a template.
    Apply {
        /// Recognises a resend.
        change: ChangeId,
        /// The template.
        template: Box<Template>,
        /// What the operator believes is in force.
        base: Base,
    },
    /// Removes a template.
    Remove {
        /// Recognises a resend.
        change: ChangeId,
        /// Whose template.
        workspace: Workspace,
        /// What the operator believes is in force.
        base: Base,
    },
    /// Puts an earlier version's content in force, as a new version.
    Rollback {
        /// Recognises a resend.
        change: ChangeId,
        /// Whose template.
        workspace: Workspace,
        /// The version whose content is wanted.
        to: u64,
        /// What the operator believes is in force.
        base: Base,
    },
    /// Asks for the versions of a template that are kept.
    History {
        /// Whose template.
        workspace: Workspace,
    },
    /// Plans a stop.
    PlanStop {
        /// Recognises a resend.
        change: ChangeId,
        /// Names the stop.
        id: StopId,
        /// The stop.
        stop: Stop,
    },
    /// Cancels a stop, or removes one that is over.
    CancelStop {
        /// Recognises a resend.
        change: ChangeId,
        /// Names the stop.
        id: StopId,
    },
    /// Publishes a version of a model's weights.
    Publish {
        /// Recognises a resend.
        change: ChangeId,
        /// The model.
        model: Model,
        /// The version, greater than any before.
        version: Version,
        /// Where the weight store has it.
        source: String,
    },
    /// Tells that an endpoint crashed; its agent says so, and what was in progress there.
    Crashed {
        /// The endpoint.
        endpoint: Endpoint,
        /// Counts the endpoint's crashes within the agent's incarnation, to recognise a resend.
        crash: u64,
        /// The agent's incarnation.
        incarnation: Incarnation,
        /// The contents to blame: the suspects among those in progress, or else all of them.
        blamed: Vec<Fingerprint>,
    },
    /// Tells that a suspected content ran to its end.
    Cleared {
        /// The content.
        fingerprint: Fingerprint,
    },
    /// Lets a convicted content run again.
    Pardon {
        /// Recognises a resend.
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
        /// The digest of the call's content: the same key with other content is refused.
        digest: Digest,
        /// The request that claims; the same request claiming again is granted again.
        request: RequestId,
        /// Which agent is to run it.
        to: AgentAssignment,
    },
    /// Moves a claim to another agent after its last attempt certainly did not run.
    Reassign {
        /// The workspace.
        workspace: Workspace,
        /// The caller's key.
        key: IdempotencyKey,
        /// The request that now runs it.
        request: RequestId,
        /// The attempt that did not run; the claim must still stand at it.
        after: Attempt,
        /// Which agent is to run it.
        to: AgentAssignment,
    },
    /// Ends a claim.
    Settle {
        /// The workspace.
        workspace: Workspace,
        /// The caller's key.
        key: IdempotencyKey,
        /// The attempt that ended; the claim must still stand at it.
        attempt: Attempt,
        /// How it ended.
        end: ClaimEnd,
    },
    /// Opens a session for an entry, which holds the leases on its steps.
    OpenSession {
        /// The entry.
        node: Node,
        /// Its incarnation; an earlier incarnation's session is closed.
        incarnation: Incarnation,
    },
    /// Closes a session, by the leader when it was not renewed, or by its entry.
    CloseSession {
        /// The session's number.
        session: u64,
    },
    /// Moves the ledger of steps.
    Ledger(Box<LedgerCommand>),
    /// Does nothing; a new leader commits it to learn what is committed.
    Nothing,
}

/// Why a command was refused; nothing changed.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// Another change came first.
    Conflict {
        /// What is in force.
        current: Option<Box<Versioned>>,
        /// What changed between the operator's base and what is in force, as a unified diff.
        diff: String,
    },
    /// Nothing has that name or version.
    Missing,
    /// The change id was used for a different change.
    IdReused,
    /// The change id is older than the window in which resends are recognised.
    IdExpired,
    /// The version is not greater than the one published before.
    NotNewer(Version),
    /// The idempotency key is malformed or older than the window.
    KeyExpired,
    /// The idempotency key came with other content.
    KeyReused,
    /// The claim or session has moved on.
    Moved,
    /// Something is full.
    Full,
}

/// What a command answers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The change was accepted at this position.
    Accepted {
        /// Its position; it is in force where a process has reached it.
        at: Position,
        /// The template's version, where the change has one.
        version: u64,
    },
    /// The versions that are kept, oldest first.
    History(Vec<(Position, Unix, Versioned)>),
    /// The claim is granted: run it as this attempt.
    Granted {
        /// The attempt.
        attempt: Attempt,
    },
    /// Another request holds the claim.
    Held {
        /// The request that holds it; its agent knows the attempt by this request.
        request: RequestId,
        /// The attempt that it stands at.
        attempt: Attempt,
        /// Which agent runs it.
        to: AgentAssignment,
    },
    /// The claim has ended.
    Ended(ClaimEnd),
    /// The session is open.
    Session {
        /// Its number.
        session: u64,
    },
    /// What the ledger answered.
    Ledger(Box<LedgerReply>),
    /// It is done; there is nothing to tell.
    Done,
    /// It was refused.
    Refused(Refusal),
    /// It could not be proposed.
    Failed(Failure),
}
