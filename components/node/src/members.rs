//! Membership of the replicas: a new replica, or one that lost its disk, asks to join, one that stops
//! gives up a surplus seat, and the leader removes replicas that are permanently lost. None of this
//! needs an operator.

use std::cell::Cell;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use chicoryford_agreement::MembershipChange;
use chicoryford_agreement::Refusal;
use chicoryford_agreement::ReplicaId;
use chicoryford_agreement::Status;

use crate::clock;
use crate::leader::Leader;
use crate::link::Link;
use crate::message::Answer;
use crate::message::Call;
use crate::replica::LocalReplica;

/// Milliseconds of silence after which a voter may be replaced by a replica that asks to join. If
/// it was only slow or disconnected, it asks to join again when it is back.
const REPLACEABLE_AFTER_MS: u64 = 900;
/// Milliseconds of silence after which a surplus voter is removed. An even number of voters
/// tolerates no more failures than one voter less.
const REMOVE_SURPLUS_VOTER_MS: u64 = 1_500;
/// Milliseconds of silence after which a non-voting replica is removed.
const REMOVE_NON_VOTER_MS: u64 = 10_000;
/// Interval of requests to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a request to join, or to resign.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Milliseconds for which a replica that stops tries to resign. Another change of the members may be
/// in progress, or the next leader not be known yet.
const RESIGN_LIMIT_MS: u64 = 2_000;
/// Interval of requests to resign.
const RESIGN_INTERVAL: Duration = Duration::from_millis(100);

/// Adds a replica to the members.
pub async fn join(leader: &Rc<Leader>, id: ReplicaId) -> Answer {
    let status = leader.context.replica.status();
    if status.members.contains(&id) {
        return Answer::Done;
    }
    let replaces = member_to_replace(&status, &id);
    let address = id.node.to_string();
    let named = replaces.as_ref().map(ToString::to_string).unwrap_or_default();
    let change = MembershipChange::Add { id: id.clone(), address, replaces };
    let done = leader.context.replica.change(change).await;
    let outcome = done.as_ref().map_or_else(ToString::to_string, |_| "added".to_owned());
    tracing::info!(event = "replica_joins", replica = %id, replaces = named, outcome);
    leader.broadcast_controls();
    match done {
        Ok(_) => Answer::Done,
        Err(Refusal::Unknown { .. }) => Answer::Unclear,
        Err(_) => Answer::NotNow,
    }
}

/// Returns the member that a new replica replaces: the previous replica on its VM, or a lost voter
/// that no other replica replaces yet.
fn member_to_replace(status: &Status, id: &ReplicaId) -> Option<ReplicaId> {
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

/// Removes lost replicas for as long as this process leads.
pub async fn run_removals(leader: Weak<Leader>, every: Duration) {
    loop {
        tokio::time::sleep(every).await;
        let Some(leader) = leader.upgrade() else { return };
        let status = leader.context.replica.status();
        let Some(id) = member_to_remove(&status) else { continue };
        let done = leader.context.replica.change(MembershipChange::Remove(id.clone())).await;
        let outcome = done.map_or_else(|why| why.to_string(), |_| "removed".to_owned());
        tracing::info!(event = "replica_removed", replica = %id, outcome);
        leader.broadcast_controls();
    }
}

/// Removes a replica that is about to stop, if it is a surplus voter.
pub async fn resign(leader: &Rc<Leader>, id: ReplicaId) -> Answer {
    let status = leader.context.replica.status();
    if !is_surplus(&status, &id) {
        return Answer::Done;
    }
    if status.id == id {
        // The leadership is handed over first.
        return Answer::NotNow;
    }
    let done = leader.context.replica.change(MembershipChange::Remove(id.clone())).await;
    let outcome = done.as_ref().map_or_else(ToString::to_string, |_| "removed".to_owned());
    tracing::info!(event = "replica_resigns", replica = %id, outcome);
    leader.broadcast_controls();
    match done {
        Ok(_) => Answer::Done,
        Err(Refusal::Unknown { .. }) => Answer::Unclear,
        Err(_) => Answer::NotNow,
    }
}

/// Logs with which role this replica stops, and whether it leaves its seat behind.
pub fn log_stop(replica: &LocalReplica) {
    let status = replica.status();
    tracing::info!(
        event = "replica_stops",
        replica = %status.id,
        role = ?status.role,
        epoch = status.epoch.0,
        leader = status.leader.as_ref().map(ToString::to_string).unwrap_or_default(),
        voters = status.members.voters().count(),
        keeps_seat = status.members.is_voter(&status.id),
    );
}

/// Asks the leader to remove this replica, which is about to stop, if it is a surplus voter. While
/// its seat is there without it, the voters tolerate one loss less: of four voters, the loss of one
/// more disk would leave no majority for good.
pub async fn give_up_seat(replica: &LocalReplica, link: &Link) {
    let until = clock::now() + RESIGN_LIMIT_MS;
    while is_surplus(&replica.status(), replica.id()) && clock::now() < until {
        let limit = Duration::from_millis(until.since(clock::now())).min(JOIN_TIMEOUT);
        let answer = link.call(Call::Resign(replica.id().clone()), limit).await;
        tracing::info!(event = "resign_asked", replica = %replica.id(), answer = ?answer);
        if matches!(answer, Ok(Answer::Done)) {
            return;
        }
        tokio::time::sleep(RESIGN_INTERVAL).await;
    }
}

/// Returns whether a replica is a voter, and the others tolerate as many losses without it. Of two
/// voters none is surplus: what the other one accepted alone would be lost with its disk.
fn is_surplus(status: &Status, id: &ReplicaId) -> bool {
    let voters = status.members.voters().count();
    status.members.is_voter(id) && voters > 2 && voters.is_multiple_of(2)
}

fn member_to_remove(status: &Status) -> Option<ReplicaId> {
    let even = status.members.voters().count().is_multiple_of(2);
    let lost = status.peers.iter().filter(|peer| {
        let voter = status.members.is_voter(&peer.id);
        let limit = if voter { REMOVE_SURPLUS_VOTER_MS } else { REMOVE_NON_VOTER_MS };
        peer.silent_ms >= limit && (even || !voter)
    });
    lost.max_by_key(|peer| peer.silent_ms).map(|peer| peer.id.clone())
}

/// Asks to join while this replica receives nothing from a leader and is not about to stop.
pub async fn run_joins(replica: Rc<LocalReplica>, link: Rc<Link>, stopping: Rc<Cell<bool>>) {
    loop {
        tokio::time::sleep(JOIN_INTERVAL).await;
        let has_leader = replica.leader().is_some();
        if has_leader || stopping.get() || !link.is_connected() {
            continue;
        }
        let answer = link.call(Call::Join(replica.id().clone()), JOIN_TIMEOUT).await;
        tracing::info!(event = "join_asked", replica = %replica.id(), answer = ?answer);
    }
}
