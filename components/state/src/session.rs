//! Renewal of entries' sessions, handled by the leader without log entries.

use chicoryford_ledger::Audit;
use chicoryford_ledger::AuditReply;
use chicoryford_ledger::StepKey;
use chicoryford_types::Node;
use serde::Deserialize;
use serde::Serialize;

/// A request of an entry to renew its session.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct SessionRenewal {
    /// The entry.
    pub node: Node,
    /// Its session.
    pub session: u64,
    /// The entry's questions about bodies, if there are any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub audit: Option<Audit>,
}

/// The leader's reply to a renewal.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct SessionRenewalReply {
    /// Whether the session is still open. If not, the entry must stop its steps at once and open a
    /// new session.
    pub held: bool,
    /// The duration of the lease in milliseconds from the moment at which the entry sent the
    /// renewal.
    pub lasts_ms: u64,
    /// Steps without an owner, which any entry may take.
    pub orphans: Vec<StepKey>,
    /// The answers to the entry's questions about bodies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub audited: Option<AuditReply>,
}
