//! Rules of membership that need no operator: which member a new replica replaces, which member is
//! removed, and whether a replica that is about to stop gives up its seat (docs/AGREEMENT.md).
//!
//! The rules are decisions on the status of a replica. Its process asks for them at intervals and
//! carries them out.

use crate::identity::ReplicaId;
use crate::status::Status;

/// Milliseconds of silence after which a voter may be replaced by a replica that asks to join. If
/// it was only slow or disconnected, it asks to join again when it is back.
const REPLACEABLE_AFTER_MS: u64 = 900;
/// Milliseconds of silence after which a surplus voter is removed.
const REMOVE_SURPLUS_VOTER_MS: u64 = 1_500;
/// Milliseconds of silence after which a non-voting replica is removed.
const REMOVE_NON_VOTER_MS: u64 = 10_000;

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
pub fn member_to_remove(status: &Status) -> Option<ReplicaId> {
    let even = status.members.voters().count().is_multiple_of(2);
    let lost = status.peers.iter().filter(|peer| {
        let voter = status.members.is_voter(&peer.id);
        let limit = if voter { REMOVE_SURPLUS_VOTER_MS } else { REMOVE_NON_VOTER_MS };
        peer.silent_ms >= limit && (even || !voter)
    });
    lost.max_by_key(|peer| peer.silent_ms).map(|peer| peer.id.clone())
}

/// Returns whether a replica is a voter, and the others tolerate as many losses without it. Of two
/// voters none is surplus: what the other one accepted alone would be lost with its disk.
pub fn is_surplus(status: &Status, id: &ReplicaId) -> bool {
    let voters = status.members.voters().count();
    status.members.is_voter(id) && voters > 2 && voters.is_multiple_of(2)
}
