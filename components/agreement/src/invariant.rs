//! Invariants that a replica checks at run time, in every build.
//!
//! A violation indicates a bug in this program, or a faulty disk or clock. It is counted, and
//! logged as `event = "promise_broken"`. Randomised test runs fail at the first one.

use serde::Deserialize;
use serde::Serialize;

use crate::identity::ReplicaId;

/// The invariants.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// An epoch has at most one leader, as far as this replica sees.
    OneLeader,
    /// Logs that share an entry identifier are equal up to that entry.
    LogMatching,
    /// The committed part of the log never shrinks.
    CommitGrows,
    /// A committed entry is never removed or replaced.
    CommittedStays,
    /// A replica votes for at most one candidate per epoch.
    OneVote,
    /// A replica's epoch never decreases.
    EpochGrows,
    /// An isolated replica does not raise the epoch. Otherwise it would depose a working leader
    /// when it reconnects.
    QuietWhenCutOff,
    /// A leader without contact to a majority steps down.
    LeadsOnlyWithQuorum,
    /// A replica acknowledges and counts only what is on disk.
    SyncedFirst,
    /// A replica becomes a voter only after it has caught up with the log.
    VotersHoldLog,
    /// Each membership change adds or removes at most one voter, and at most one change is
    /// uncommitted.
    OneChange,
    /// A leader counts acknowledgements only for entries of its own epoch.
    CountsOwnEpoch,
    /// Indexes of entries have no gaps.
    NoGaps,
}

/// Counts invariant violations.
#[derive(Clone, Debug, Default)]
pub(crate) struct Violations {
    pub count: u64,
    pub last: Option<Invariant>,
}

impl Violations {
    /// Records and logs a violation unless the invariant holds.
    pub fn check(&mut self, holds: bool, invariant: Invariant, id: &ReplicaId) {
        if holds {
            return;
        }
        self.count += 1;
        self.last = Some(invariant);
        tracing::error!(event = "promise_broken", promise = ?invariant, replica = %id);
    }
}
