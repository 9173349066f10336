//! Takes the commands of operators at any process and hands them to the control processes, so
//! that an operator needs to know no more than one address.

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

/// How long the control processes may take, an election included.
const PATIENCE: Duration = Duration::from_secs(4);

/// Adds the operators' paths that every process serves.
///
/// # Errors
///
/// [`MissingService`] if configuration or membership has not been started.
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
        let detail = "this command is for the system's own processes";
        return Err(Failure::not_run(Code::Forbidden, detail));
    }
    let answer = client.propose(&command, PATIENCE).await?;
    Ok(reply::json(200, &answer))
}

/// Tells whether an operator may give a command. The others move claims, sessions and steps: one
/// given by hand could make a call run twice or lose samples.
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
