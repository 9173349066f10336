//! The promises that a replica checks of itself, in every build.
//!
//! A broken promise is a fault of this program, or a disk or clock that lies. It is logged as
//! `event = "promise_broken"` and counted; a proving run fails on the first.

use serde::Deserialize;
use serde::Serialize;

use crate::identity::ReplicaId;

/// What is promised.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// An epoch has one leader, as far as this replica sees.
    OneLeader,
    /// Logs that share a mark are equal up to it.
    LogMatching,
    /// The committed part of the log never shrinks.
    CommitGrows,
    /// A committed entry is never removed or replaced.
    CommittedStays,
    /// A replica votes for one candidate an epoch.
    OneVote,
    /// A replica's epoch never goes back.
    EpochGrows,
    /// A replica that is cut off does not raise the epoch, by which it would depose a leader
    /// that works when it comes back.
    QuietWhenCutOff,
    /// A leader that hears no majority stops believing that it leads.
    LeadsOnlyWithQuorum,
    /// A replica acknowledges and counts only what is on disk.
    SyncedFirst,
    /// A replica becomes a voter only once it holds the log.
    VotersHoldLog,
    /// Members change one seat at a time, and no two changes are uncommitted at once.
    OneChange,
    /// A leader counts acknowledgements only for entries of its own epoch.
    CountsOwnEpoch,
    /// Entries are numbered without gaps.
    NoGaps,
}

/// Counts broken promises.
#[derive(Clone, Debug, Default)]
pub(crate) struct Violations {
    pub count: u64,
    pub last: Option<Invariant>,
}

impl Violations {
    /// Counts and logs a broken promise unless it was kept.
    pub fn check(&mut self, holds: bool, invariant: Invariant, id: &ReplicaId) {
        if holds {
            return;
        }
        self.count += 1;
        self.last = Some(invariant);
        tracing::error!(event = "promise_broken", promise = ?invariant, replica = %id);
    }
}
