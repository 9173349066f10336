//! How a replica behaves.

use crate::identity::Founder;
use crate::identity::ReplicaId;

/// How a replica behaves. All durations are milliseconds on the monotonic clock.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This replica.
    pub id: ReplicaId,
    /// The nodes with which the deployment first starts, this one included; empty for a replica
    /// that joins those that already run.
    pub founders: Vec<Founder>,
    /// The longest time without word from a leader before an election. The shortest is half of
    /// it: each replica draws its own, so that they seldom stand against each other.
    pub election_ms: u64,
    /// The time between a leader's heartbeats.
    pub heartbeat_ms: u64,
    /// The part of the shortest election timeout for which a lease holds, in percent. What is
    /// missing to a hundred is the margin for clocks that run at different speeds.
    pub lease_percent: u64,
    /// Bytes of entries in one message, except that one entry always fits.
    pub batch_bytes: usize,
    /// Entries in one message.
    pub batch_entries: usize,
    /// Messages with entries that may be under way to one replica.
    pub max_in_flight: usize,
    /// Entries that may be uncommitted at the leader before it refuses more.
    pub max_uncommitted: usize,
    /// Bytes of one piece of a snapshot.
    pub chunk_bytes: usize,
    /// Entries that are kept in memory behind a snapshot, for replicas that are a little behind.
    pub retained_entries: u64,
    /// A non-voter has caught up when it lacks at most this many entries.
    pub catch_up_entries: u64,
    /// What guards the promises.
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
    /// Gives the shortest election timeout: for this long after word from a leader a replica
    /// votes for nobody else.
    pub fn min_election_ms(&self) -> u64 {
        (self.election_ms / 2).max(1)
    }

    /// Gives how long a lease lasts from the sending of the heartbeat that a majority answered.
    pub fn lease_ms(&self) -> u64 {
        self.min_election_ms() * self.lease_percent / 100
    }
}

/// What guards the promises. The proof switches these off one at a time and must notice; no
/// settings file reaches them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Protections {
    /// Asks whether an election could be won before raising the epoch.
    pub pre_vote: bool,
    /// Steps down when a majority was not heard within the shortest election timeout.
    pub check_quorum: bool,
    /// Acknowledges and counts nothing before it is synced.
    pub sync_first: bool,
    /// Promotes only non-voters that have caught up.
    pub catch_up: bool,
    /// Refuses votes while a leader is heard.
    pub vote_hold: bool,
    /// Votes at once after a start only if all have started together.
    pub all_restarted: bool,
    /// Votes only for candidates whose log holds at least as much.
    pub log_check: bool,
    /// Counts acknowledgements only for entries of the leader's own epoch.
    pub own_epoch: bool,
    /// Allows one change of the members at a time.
    pub one_change: bool,
    /// Confirms by a majority that the leader still leads before it answers a read.
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
