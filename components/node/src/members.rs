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
use chicoryford_agreement::seats::Departure;
use chicoryford_agreement::seats::DrainStep;
use chicoryford_fleet::ApplyOutcome;

use crate::clock;
use crate::leader::Context;
use crate::leader::Leader;
use crate::link::Link;
use crate::message::Answer;
use crate::message::Call;
use crate::replica::LocalReplica;

/// Interval of requests to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a request to join, or to resign.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Milliseconds for which a replica whose seat is needed hands over its leadership, or looks for the
/// leader, before it stops.
const HAND_OVER_TIMEOUT_MS: u64 = 1_200;
/// Interval between the steps of a replica that is about to stop.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

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
        let tolerated = leader.context.settings.tolerated as usize;
        let Some(id) = seats::member_to_remove(&status, tolerated) else { continue };
        let done = leader.context.replica.change(MembershipChange::Remove(id.clone())).await;
        let outcome = done.map_or_else(|why| why.to_string(), |_| "removed".to_owned());
        tracing::info!(event = "replica_removed", replica = %id, outcome);
        leader.broadcast_controls();
    }
}

/// Removes a replica that is about to stop, if its seat is not needed.
pub async fn resign(leader: &Rc<Leader>, id: ReplicaId) -> Answer {
    let Context { replica, settings, .. } = &leader.context;
    let departure = seats::departure(&replica.status(), &id, settings.tolerated as usize);
    tracing::info!(event = "departure_decided", replica = %id, departure = ?departure);
    match departure {
        Departure::Gone | Departure::Keep => Answer::Done,
        Departure::Wait => Answer::NotNow,
        Departure::Remove => {
            let done = remove(replica, &id).await;
            leader.broadcast_controls();
            match done {
                Ok(_) => Answer::Done,
                Err(Refusal::Unknown { .. }) => Answer::Unclear,
                Err(_) => Answer::NotNow,
            }
        }
    }
}

/// Removes a replica that is about to stop.
async fn remove(replica: &LocalReplica, id: &ReplicaId) -> Result<ApplyOutcome, Refusal> {
    let done = replica.change(MembershipChange::Remove(id.clone())).await;
    let outcome = done.as_ref().map_or_else(ToString::to_string, |_| "removed".to_owned());
    tracing::info!(event = "replica_resigns", replica = %id, outcome);
    done
}

/// Gives up the leadership before this replica stops, and its seat if the others do not need it.
/// While the seat of a replica that does not return is there, the voters tolerate one loss less: of
/// four voters, the loss of one more disk would leave no majority for good. The replica therefore
/// votes until the seat is gone, or for `limit_ms` at most.
pub async fn leave(replica: &LocalReplica, link: &Link, tolerated: usize, limit_ms: u64) {
    let deadline = clock::now() + limit_ms;
    let mut unsettled = None;
    let outcome = loop {
        let step = seats::drain_step(&replica.status(), tolerated);
        let now = clock::now();
        let until = match step {
            DrainStep::HandOver | DrainStep::AskLeader { surplus: false } => {
                deadline.min(*unsettled.get_or_insert(now) + HAND_OVER_TIMEOUT_MS)
            }
            _ => deadline,
        };
        if now >= until {
            break "timed_out";
        }
        match step {
            DrainStep::HandOver => replica.hand_over(),
            // The next step depends on whether it was removed.
            DrainStep::RemoveSelf => _ = remove(replica, replica.id()).await,
            DrainStep::AskLeader { .. } => {
                let limit = Duration::from_millis(until.since(now)).min(JOIN_TIMEOUT);
                let answer = link.call(Call::Resign(replica.id().clone()), limit).await;
                tracing::info!(event = "resign_asked", replica = %replica.id(), answer = ?answer);
                if matches!(answer, Ok(Answer::Done)) {
                    break "released";
                }
            }
            DrainStep::AwaitChange => {}
        }
        tokio::time::sleep(DRAIN_INTERVAL).await;
    };
    let status = replica.status();
    tracing::info!(
        event = "replica_stops",
        replica = %status.id,
        outcome,
        role = ?status.role,
        epoch = status.epoch.0,
        leader = status.leader.as_ref().map(ToString::to_string).unwrap_or_default(),
        voters = status.members.voters().count(),
    );
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
