//! Rules of membership that need no operator: which member a new replica replaces, which member is
//! removed, and what a replica does that is about to stop (docs/AGREEMENT.md).
//!
//! The rules are decisions on the status of a replica. Its process asks for them at intervals and
//! carries them out.

use crate::identity::ReplicaId;
use crate::status::Role;
use crate::status::Status;

/// Milliseconds of silence after which a voter may be replaced by a replica that asks to join. If
/// it was only slow or disconnected, it asks to join again when it is back.
const REPLACEABLE_AFTER_MS: u64 = 900;
/// Milliseconds of silence after which a surplus voter is removed.
const REMOVE_SURPLUS_VOTER_MS: u64 = 1_500;
/// Milliseconds of silence after which a non-voting replica is removed.
const REMOVE_NON_VOTER_MS: u64 = 10_000;

/// What a replica that is about to stop does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainStep {
    /// Removes itself, because it leads and its seat is not needed.
    RemoveSelf,
    /// Waits for a membership change that is in progress.
    AwaitChange,
    /// Hands the leadership over. Its seat is needed, and waits for its return.
    HandOver,
    /// Asks the leader whether it may stop, because its own log may be out of date.
    AskLeader {
        /// Whether its seat is not needed according to its own log.
        surplus: bool,
    },
}

/// What the leader does when a replica asks to give up its seat because it is about to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Departure {
    /// Nothing: the replica is not a voter.
    Gone,
    /// Removes the replica.
    Remove,
    /// Asks the replica to wait for a membership change that is in progress.
    Wait,
    /// Keeps its seat, which is needed.
    Keep,
}

/// Returns the member that a new replica replaces: the previous replica on its VM, or a lost voter
/// that no other replica replaces yet.
pub fn member_to_replace(status: &Status, id: &ReplicaId) -> Option<ReplicaId> {
    let seats = &status.members.replicas;
    let before = seats.keys().find(|other| other.node == id.node && *other != id);
    let is_replaced = |other: &ReplicaId| {
        seats.values().any(|seat| !seat.voter && seat.replaces.as_ref() == Some(other))
    };
    before.cloned().or_else(|| {
        let lost = status.peers.iter().filter(|peer| {
            peer.silent_ms >= REPLACEABLE_AFTER_MS
                && status.members.is_voter(&peer.id)
                && !is_replaced(&peer.id)
        });
        lost.max_by_key(|peer| peer.silent_ms).map(|peer| peer.id.clone())
    })
}

/// Returns a lost member that the leader removes.
pub fn member_to_remove(status: &Status, tolerated: usize) -> Option<ReplicaId> {
    let lost = status.peers.iter().filter(|peer| {
        let voter = status.members.is_voter(&peer.id);
        let limit = if voter { REMOVE_SURPLUS_VOTER_MS } else { REMOVE_NON_VOTER_MS };
        peer.silent_ms >= limit && (!voter || is_surplus(status, &peer.id, tolerated))
    });
    lost.max_by_key(|peer| peer.silent_ms).map(|peer| peer.id.clone())
}

/// Returns what the leader does when a replica is about to stop.
pub fn departure(status: &Status, id: &ReplicaId, tolerated: usize) -> Departure {
    if !status.members.is_voter(id) {
        return if status.changing { Departure::Wait } else { Departure::Gone };
    }
    if is_surplus(status, id, tolerated) {
        return Departure::Remove;
    }
    let voters = status.members.voters().count();
    let joining = newcomers(status).filter(|id| is_live(status, id)).count();
    if can_spare_one(voters + joining, tolerated) { Departure::Wait } else { Departure::Keep }
}

/// Returns what a replica that is about to stop does next.
pub fn drain_step(status: &Status, tolerated: usize) -> DrainStep {
    if status.role == Role::Leader {
        return match departure(status, &status.id, tolerated) {
            Departure::Remove => DrainStep::RemoveSelf,
            Departure::Gone | Departure::Wait => DrainStep::AwaitChange,
            Departure::Keep => DrainStep::HandOver,
        };
    }
    // Only the leader knows which newcomers are alive.
    let voters = status.members.voters().count() + newcomers(status).count();
    let spare = status.members.is_voter(&status.id) && can_spare_one(voters, tolerated);
    DrainStep::AskLeader { surplus: spare || status.changing }
}

/// Returns whether a replica is a voter whose seat is not needed.
fn is_surplus(status: &Status, id: &ReplicaId, tolerated: usize) -> bool {
    status.members.is_voter(id) && can_spare_one(status.members.voters().count(), tolerated)
}

/// Returns whether one of so many voters can go: the others tolerate as many losses without it, or
/// as many as they have to. Of two voters none can: what the other one accepted alone would be lost
/// with its disk.
fn can_spare_one(voters: usize, tolerated: usize) -> bool {
    let losses = |voters: usize| (voters - 1) / 2;
    voters > 2 && losses(voters - 1) >= losses(voters).min(tolerated.max(1))
}

/// Returns the replicas that will become voters beside all present ones.
fn newcomers(status: &Status) -> impl Iterator<Item = &ReplicaId> {
    let members = &status.members;
    let joining = members.replicas.iter().filter(|(_, seat)| {
        !seat.voter && seat.replaces.as_ref().is_none_or(|old| !members.is_voter(old))
    });
    joining.map(|(id, _)| id)
}

fn is_live(status: &Status, id: &ReplicaId) -> bool {
    let peer = status.peers.iter().find(|peer| peer.id == *id);
    peer.is_some_and(|peer| peer.silent_ms < REPLACEABLE_AFTER_MS)
}
