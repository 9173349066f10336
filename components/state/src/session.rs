//! The sessions of entries, which the leader keeps by renewals that are not logged.

use chicoryford_ledger::Audit;
use chicoryford_ledger::Audited;
use chicoryford_ledger::StepKey;
use chicoryford_types::Node;
use serde::Deserialize;
use serde::Serialize;

/// An entry renews its session with the leader.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct SessionRenewal {
    /// The entry.
    pub node: Node,
    /// Its session.
    pub session: u64,
    /// Its questions about bodies, if it has any now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub audit: Option<Audit>,
}

/// What the leader answers to a renewal.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct SessionRenewalReply {
    /// Whether the session still holds. If not, the entry must stop its steps at once and open
    /// a new session.
    pub held: bool,
    /// For how long it holds from the moment the entry sent the renewal, in milliseconds.
    pub lasts_ms: u64,
    /// Steps that no session owns; any entry may take them.
    pub orphans: Vec<StepKey>,
    /// The answer to its questions about bodies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub audited: Option<Audited>,
}
