//! Settings of a replica.

use crate::identity::Founder;
use crate::identity::ReplicaId;

/// Settings of a replica. All durations are in milliseconds on the monotonic clock.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The identity of this replica.
    pub id: ReplicaId,
    /// The nodes that bootstrap the deployment, including this one. Empty for a replica that joins
    /// an existing deployment.
    pub founders: Vec<Founder>,
    /// The longest time without contact from a leader before an election starts. The shortest is
    /// half of it. Each replica draws its own timeout in that range, so that split votes are rare.
    pub election_ms: u64,
    /// The interval between a leader's heartbeats.
    pub heartbeat_ms: u64,
    /// The duration of a lease in percent of the shortest election timeout. The remainder is the
    /// margin for clocks that run at different speeds.
    pub lease_percent: u64,
    /// Maximum bytes of entries in one message. A single larger entry is still sent.
    pub batch_bytes: usize,
    /// Maximum number of entries in one message.
    pub batch_entries: usize,
    /// Maximum number of unacknowledged messages with entries to one replica.
    pub max_in_flight: usize,
    /// Maximum number of uncommitted entries at the leader before it refuses proposals.
    pub max_uncommitted: usize,
    /// Maximum bytes of snapshot data in one message.
    pub chunk_bytes: usize,
    /// Entries that are kept in memory after they are covered by a snapshot, so that replicas that
    /// lag only slightly need no snapshot.
    pub retained_entries: u64,
    /// A non-voter counts as caught up when it lacks at most this many committed entries.
    pub catch_up_entries: u64,
    /// The safety checks of the protocol.
    #[doc(hidden)]
    pub protections: Protections,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            id: ReplicaId::default(),
            founders: Vec::new(),
            election_ms: 1_000,
            heartbeat_ms: 150,
            lease_percent: 80,
            batch_bytes: 256 << 10,
            batch_entries: 1_024,
            max_in_flight: 8,
            max_uncommitted: 16_384,
            chunk_bytes: 256 << 10,
            retained_entries: 4_096,
            catch_up_entries: 256,
            protections: Protections::default(),
        }
    }
}

impl Settings {
    /// Returns the shortest election timeout in milliseconds. After contact from a leader, a
    /// replica votes for no other candidate during this time.
    pub fn min_election_ms(&self) -> u64 {
        (self.election_ms / 2).max(1)
    }

    /// Returns the duration of a lease in milliseconds, counted from the sending of the heartbeat
    /// that a majority acknowledged.
    pub fn lease_ms(&self) -> u64 {
        self.min_election_ms() * self.lease_percent / 100
    }
}

/// The safety checks of the protocol. Mutation tests disable them one at a time and must detect the
/// difference. They are not reachable from any settings file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// Runs a pre-vote before raising the epoch.
    pub pre_vote: bool,
    /// The leader steps down when it had no contact with a majority within the shortest election
    /// timeout.
    pub check_quorum: bool,
    /// Acknowledges and counts entries and votes only after they are synced.
    pub sync_first: bool,
    /// Promotes non-voters only after they have caught up.
    pub catch_up: bool,
    /// Refuses votes while there is recent contact with a leader.
    pub vote_hold: bool,
    /// After a start, votes without delay only if all replicas have restarted.
    pub all_restarted: bool,
    /// Votes only for candidates whose log is at least as up to date.
    pub log_check: bool,
    /// Commits by counting acknowledgements only for entries of the leader's own epoch.
    pub own_epoch: bool,
    /// Allows only one membership change at a time.
    pub one_change: bool,
    /// Confirms leadership with a majority before answering a read.
    pub read_confirm: bool,
}

impl Default for Protections {
    fn default() -> Self {
        Self {
            pre_vote: true,
            check_quorum: true,
            sync_first: true,
            catch_up: true,
            vote_hold: true,
            all_restarted: true,
            log_check: true,
            own_epoch: true,
            one_change: true,
            read_confirm: true,
        }
    }
}
