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
use chicoryford_agreement::seats;

use crate::clock;
use crate::leader::Leader;
use crate::link::Link;
use crate::message::Answer;
use crate::message::Call;
use crate::replica::LocalReplica;

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
    let replaces = seats::member_to_replace(&status, &id);
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

/// Removes lost replicas for as long as this process leads.
pub async fn run_removals(leader: Weak<Leader>, every: Duration) {
    loop {
        tokio::time::sleep(every).await;
        let Some(leader) = leader.upgrade() else { return };
        let status = leader.context.replica.status();
        let Some(id) = seats::member_to_remove(&status) else { continue };
        let done = leader.context.replica.change(MembershipChange::Remove(id.clone())).await;
        let outcome = done.map_or_else(|why| why.to_string(), |_| "removed".to_owned());
        tracing::info!(event = "replica_removed", replica = %id, outcome);
        leader.broadcast_controls();
    }
}

/// Removes a replica that is about to stop, if it is a surplus voter.
pub async fn resign(leader: &Rc<Leader>, id: ReplicaId) -> Answer {
    let status = leader.context.replica.status();
    if !seats::is_surplus(&status, &id) {
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
    while seats::is_surplus(&replica.status(), replica.id()) && clock::now() < until {
        let limit = Duration::from_millis(until.since(clock::now())).min(JOIN_TIMEOUT);
        let answer = link.call(Call::Resign(replica.id().clone()), limit).await;
        tracing::info!(event = "resign_asked", replica = %replica.id(), answer = ?answer);
        if matches!(answer, Ok(Answer::Done)) {
            return;
        }
        tokio::time::sleep(RESIGN_INTERVAL).await;
    }
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
