//! Starts the duties of the entry role and registers its routes.

use chicoryford_config::Handle as ConfigHandle;
use chicoryford_kernel::Kernel;
use chicoryford_kernel::duty::DutyError;
use chicoryford_kernel::registry::MissingService;
use chicoryford_membership::Handle as MembersHandle;
use chicoryford_settings::Settings;
use chicoryford_wire::Kind;
use chicoryford_wire::Routes;
use chicoryford_wire::paths;
use thiserror::Error;

use crate::bodies;
use crate::chat;
use crate::context::Context;
use crate::publish;
use crate::reports;
use crate::router;
use crate::service;
use crate::steps;
use crate::steps::Steps;
use crate::trainer;

/// The entry role could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// A service that the role depends on was not started before it.
    #[error(transparent)]
    Missing(#[from] MissingService),
    /// A thread could not be started.
    #[error(transparent)]
    Duty(#[from] DutyError),
}

/// Starts the duties of the role. Configuration and membership must have been started before.
///
/// # Errors
///
/// Returns [`StartError`] if a service is missing or a thread cannot be started.
pub fn start(kernel: &Kernel, settings: &Settings) -> Result<(), StartError> {
    let members = kernel.registry.find::<MembersHandle>(chicoryford_membership::SERVICE)?;
    let config = kernel.registry.find::<ConfigHandle>(chicoryford_config::SERVICE)?;
    members.announce(|own| own.roles.entry = true);
    router::duty::start(kernel, settings, members.watch(), config.watch())?;
    bodies::handle::start(kernel, settings);
    reports::start(kernel, settings)?;
    steps::duty::start(kernel, settings)?;
    Ok(())
}

/// Adds the routes of the role. Each HTTP worker thread calls this function.
///
/// # Errors
///
/// Returns [`MissingService`] if [`start`] has not run.
pub fn routes(
    routes: &mut Routes,
    kernel: &Kernel,
    settings: &Settings,
) -> Result<(), MissingService> {
    let context = Context::new(kernel, settings)?;
    let shared = context.clone();
    routes.add(paths::CHAT, &[Kind::Caller], move |call| {
        chat::answer(shared.clone(), chat::ApiKind::Chat, call)
    });
    let shared = context.clone();
    routes.add(paths::COMPLETIONS, &[Kind::Caller], move |call| {
        chat::answer(shared.clone(), chat::ApiKind::Text, call)
    });
    let shared = context.clone();
    routes.add(paths::SERVICES, &[Kind::Caller], move |call| service::answer(shared.clone(), call));
    body_routes(routes, &context);
    trainer_routes(routes, kernel, &context)
}

fn body_routes(routes: &mut Routes, context: &Context) {
    let shared = context.clone();
    routes.add(paths::BODY_PUT, &[Kind::Process], move |call| {
        bodies::routes::put(shared.clone(), call)
    });
    let shared = context.clone();
    routes.add(paths::BODY_GET, &[Kind::Process], move |call| {
        bodies::routes::get(shared.clone(), call)
    });
    let shared = context.clone();
    routes.add(paths::BODY_DROP, &[Kind::Process], move |call| {
        bodies::routes::discard(shared.clone(), call)
    });
}

fn trainer_routes(
    routes: &mut Routes,
    kernel: &Kernel,
    context: &Context,
) -> Result<(), MissingService> {
    let steps = kernel.registry.find::<Steps>(steps::SERVICE)?;
    let open_steps = steps.clone();
    let shared = context.clone();
    routes.add(paths::STEP_OPEN, &[Kind::Trainer], move |call| {
        trainer::open(shared.clone(), Steps::clone(&open_steps), call)
    });
    let shared = context.clone();
    routes.add(paths::STEP_PULL, &[Kind::Trainer], move |call| {
        trainer::pull(shared.clone(), Steps::clone(&steps), call)
    });
    let shared = context.clone();
    routes.add(paths::STEP_ACK, &[Kind::Trainer], move |call| trainer::ack(shared.clone(), call));
    let shared = context.clone();
    routes
        .add(paths::PUBLISH, &[Kind::Trainer], move |call| publish::publish(shared.clone(), call));
    Ok(())
}
