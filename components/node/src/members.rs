//! Who the replicas are: a replica that lost its disk or is new asks to join, and the leader
//! removes those that are lost for good. No operator is needed for either.

use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;

use chicoryford_agreement::Change;
use chicoryford_agreement::Refusal;
use chicoryford_agreement::ReplicaId;
use chicoryford_agreement::Status;

use crate::leader::Leader;
use crate::link::Link;
use crate::message::Answer;
use crate::message::Call;
use crate::replica::LocalReplica;

/// Milliseconds of silence after which a voter may be replaced by one that asks to join. A
/// replica that is only slow or cut off asks to join again when it is back.
const LOST_MS: u64 = 900;
/// Milliseconds of silence after which a voter too many is removed. With an even number of
/// voters, one of them adds nothing to what may be lost.
const EXTRA_MS: u64 = 1_500;
/// Milliseconds of silence after which a replica that does not vote is removed.
const FORGOTTEN_MS: u64 = 10_000;
/// Time between two requests to join.
const ASK: Duration = Duration::from_millis(400);
/// How long a request to join may take.
const ANSWER: Duration = Duration::from_secs(1);

/// Lets a replica join.
pub async fn join(leader: &Rc<Leader>, id: ReplicaId) -> Answer {
    let status = leader.context.replica.status();
    if status.members.has(&id) {
        return Answer::Done;
    }
    let replaces = replaced(&status, &id);
    let address = id.node.to_string();
    let named = replaces.as_ref().map(ToString::to_string).unwrap_or_default();
    let change = Change::Add { id: id.clone(), address, replaces };
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

/// Finds the member whose place a new replica takes: the one that its VM held before, or a voter
/// that is lost and that nobody replaces yet.
fn replaced(status: &Status, id: &ReplicaId) -> Option<ReplicaId> {
    let seats = &status.members.seats;
    let before = seats.keys().find(|other| other.node == id.node && *other != id);
    let taken = |other: &ReplicaId| {
        seats.values().any(|seat| !seat.voter && seat.replaces.as_ref() == Some(other))
    };
    before.cloned().or_else(|| {
        let lost = status.peers.iter().filter(|peer| {
            peer.silent_ms >= LOST_MS && status.members.is_voter(&peer.id) && !taken(&peer.id)
        });
        lost.max_by_key(|peer| peer.silent_ms).map(|peer| peer.id.clone())
    })
}

/// Removes replicas that are lost, for as long as this process leads.
pub async fn keep(leader: Weak<Leader>, every: Duration) {
    loop {
        tokio::time::sleep(every).await;
        let Some(leader) = leader.upgrade() else { return };
        let status = leader.context.replica.status();
        let Some(id) = needless(&status) else { continue };
        let done = leader.context.replica.change(Change::Remove(id.clone())).await;
        let outcome = done.map_or_else(|why| why.to_string(), |_| "removed".to_owned());
        tracing::info!(event = "replica_removed", replica = %id, outcome);
        leader.broadcast_controls();
    }
}

fn needless(status: &Status) -> Option<ReplicaId> {
    let even = status.members.voters().count().is_multiple_of(2);
    let lost = status.peers.iter().filter(|peer| {
        let voter = status.members.is_voter(&peer.id);
        let limit = if voter { EXTRA_MS } else { FORGOTTEN_MS };
        peer.silent_ms >= limit && (even || !voter)
    });
    lost.max_by_key(|peer| peer.silent_ms).map(|peer| peer.id.clone())
}

/// Asks to join for as long as the leader writes nothing to this replica.
pub async fn ask(replica: Rc<LocalReplica>, link: Rc<Link>) {
    loop {
        tokio::time::sleep(ASK).await;
        let heard = replica.leader().is_some();
        if heard || !link.is_connected() {
            continue;
        }
        let answer = link.call(Call::Join(replica.id().clone()), ANSWER).await;
        tracing::info!(event = "join_asked", replica = %replica.id(), answer = ?answer);
    }
}
