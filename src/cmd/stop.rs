//! `chicoryford stop`.

use chicoryford_state::Command;
use chicoryford_types::DataCentre;
use chicoryford_types::Endpoint;
use chicoryford_types::Member;
use chicoryford_types::Members;
use chicoryford_types::Node;
use chicoryford_types::StopId;
use chicoryford_types::config::Stop;
use chicoryford_types::config::StopTarget;
use serde::Serialize;

use crate::change;
use crate::cli::StopCommand;
use crate::cli::Target;
use crate::connect::Connection;
use crate::error::CmdError;
use crate::output::Format;
use crate::output::View;

/// A stop and the processes that it waits for.
#[derive(Debug, Serialize)]
struct StopStatus {
    id: StopId,
    stop: Stop,
    waits: Vec<PendingProcess>,
}

/// A process that a stop affects, and the amount of work that it still has in progress.
#[derive(Debug, Serialize)]
struct PendingProcess {
    node: Node,
    draining: bool,
    in_progress: Option<u64>,
}

/// Plans, cancels or prints stops.
///
/// # Errors
///
/// Returns [`CmdError`] if the change was not accepted or no process answers.
pub async fn run(to: &Connection, command: &StopCommand, format: Format) -> Result<(), CmdError> {
    match command {
        StopCommand::Status { id } => status(to, id.as_deref(), format).await,
        StopCommand::Cancel { id, change: args } => {
            let what = format!("stop {id} cancelled");
            let id = StopId::from(id.as_str());
            change::run(to, what, args, format, |change| Command::CancelStop { change, id }).await
        }
        StopCommand::Plan { target, deadline, reason, id, change: args } => {
            let change = change::id(args);
            // Without a given name, the stop is named after its change, so that a resend with the
            // same change id refers to the same stop.
            let id = StopId(id.clone().unwrap_or_else(|| format!("stop-{change}")));
            let stop = Stop {
                target: stop_target(target),
                deadline_ms: deadline * 1_000,
                reason: reason.clone(),
                accepted: chicoryford_types::Unix(0),
            };
            let what = format!("stop {id} planned");
            let command = Command::PlanStop { change: change.clone(), id, stop };
            let done = change::submit(to, what, &change, &command, args).await?;
            change::print(&[done], format);
            Ok(())
        }
    }
}

fn stop_target(target: &Target) -> StopTarget {
    let name = |text: &Option<String>| text.clone().unwrap_or_default();
    if target.endpoint.is_some() {
        StopTarget::Endpoint(Endpoint(name(&target.endpoint)))
    } else if target.node.is_some() {
        StopTarget::Node(Node(name(&target.node)))
    } else {
        StopTarget::DataCentre(DataCentre(name(&target.data_centre)))
    }
}

async fn status(to: &Connection, id: Option<&str>, format: Format) -> Result<(), CmdError> {
    let (config, members) = (to.config().await?, to.members().await?);
    let mut statuses = Vec::new();
    for (stop_id, stop) in config.stops {
        if id.is_none_or(|id| stop_id.as_str() == id) {
            let waits = pending_processes(to, &members, &stop.target).await;
            statuses.push(StopStatus { id: stop_id, stop, waits });
        }
    }
    if let (Some(id), true) = (id, statuses.is_empty()) {
        return Err(CmdError::Missing { kind: "stop", name: id.to_owned() });
    }
    let rows = statuses.iter().map(row).collect();
    View::new(&statuses, &["stop", "target", "reason", "waits for"], rows).print(format);
    Ok(())
}

/// Queries each process that the stop affects for the amount of its work in progress.
async fn pending_processes(
    to: &Connection,
    members: &Members,
    target: &StopTarget,
) -> Vec<PendingProcess> {
    let mut waits = Vec::new();
    for member in members.present().filter(|member| is_target(member, target)) {
        let draining = member.endpoint.as_ref().is_some_and(|info| info.draining);
        let dump = to.dump(&member.address).await.ok();
        let in_progress = dump.and_then(|dump| dump["process"]["in_progress"].as_u64());
        waits.push(PendingProcess { node: member.node.clone(), draining, in_progress });
    }
    waits
}

fn is_target(member: &Member, target: &StopTarget) -> bool {
    match target {
        StopTarget::Endpoint(name) => member.endpoint.as_ref().is_some_and(|i| i.name == *name),
        StopTarget::Node(node) => member.node == *node,
        StopTarget::DataCentre(name) => member.data_centre == *name,
    }
}

fn row(status: &StopStatus) -> Vec<String> {
    let waits = status.waits.iter().map(|waits| match waits.in_progress {
        Some(count) => format!("{}: {count} in progress", waits.node),
        None => format!("{}: no answer", waits.node),
    });
    vec![
        status.id.to_string(),
        describe_target(&status.stop.target),
        status.stop.reason.clone(),
        waits.collect::<Vec<_>>().join(", "),
    ]
}

fn describe_target(target: &StopTarget) -> String {
    match target {
        StopTarget::Endpoint(name) => format!("endpoint {name}"),
        StopTarget::Node(node) => format!("process {node}"),
        StopTarget::DataCentre(name) => format!("data centre {name}"),
    }
}
