//! Accepts operators' commands at any process and forwards them to the control processes, so that
//! an operator needs the address of one process only.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_config::Proposer;
use chicoryford_config::ProposerClient;
use chicoryford_config::proposer::PROPOSER;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::registry::MissingService;
use chicoryford_membership::Handle as Membership;
use chicoryford_state::Command;
use chicoryford_types::Code;
use chicoryford_types::Failure;
use chicoryford_wire::Call;
use chicoryford_wire::Kind;
use chicoryford_wire::Reply;
use chicoryford_wire::Routes;
use chicoryford_wire::paths;
use chicoryford_wire::reply;

/// Time within which the control processes must answer a command, an election included.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Adds the routes for operators that every process serves.
///
/// # Errors
///
/// Returns [`MissingService`] if configuration or membership has not been started.
pub fn routes(routes: &mut Routes, kernel: &Kernel) -> Result<(), MissingService> {
    let proposer = kernel.registry.find::<Proposer>(PROPOSER)?;
    let client = Rc::new(proposer.client());
    routes.add(paths::OPERATE, &[Kind::Operator], move |call| {
        let client = client.clone();
        async move { operate(&client, &call).await.unwrap_or_else(|f| reply::failure(&f)) }
    });
    let members = kernel.registry.find::<Membership>(chicoryford_membership::SERVICE)?;
    routes.add(paths::MEMBERS, &[Kind::Operator, Kind::Process], move |_| {
        let members: Arc<Membership> = members.clone();
        async move { reply::json(200, members.view().as_ref()) }
    });
    Ok(())
}

async fn operate(client: &ProposerClient, call: &Call) -> Result<Reply, Failure> {
    let command: Command = call.json()?;
    if !is_for_operators(&command) {
        let detail = "this command is reserved for the processes of the system";
        return Err(Failure::not_run(Code::Forbidden, detail));
    }
    let answer = client.propose(&command, PROPOSE_TIMEOUT).await?;
    Ok(reply::json(200, &answer))
}

/// Returns whether an operator may send a command. The other commands change claims, sessions and
/// steps; if one of them were sent by hand, a call could run twice or samples could be lost.
fn is_for_operators(command: &Command) -> bool {
    matches!(
        command,
        Command::Apply { .. }
            | Command::Remove { .. }
            | Command::Rollback { .. }
            | Command::History { .. }
            | Command::PlanStop { .. }
            | Command::CancelStop { .. }
            | Command::Publish { .. }
            | Command::Pardon { .. }
    )
}
