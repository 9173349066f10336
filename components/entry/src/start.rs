//! Starts the duties of the role and adds its paths.

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
    /// A service that the role needs was not started before it.
    #[error(transparent)]
    Missing(#[from] MissingService),
    /// A thread could not be started.
    #[error(transparent)]
    Duty(#[from] DutyError),
}

/// Starts the duties. Configuration and membership must have been started before.
///
/// # Errors
///
/// [`StartError`] if a service is missing or a thread cannot be started.
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

/// Adds the role's paths; each HTTP worker thread calls it.
///
/// # Errors
///
/// [`MissingService`] if [`start`] has not run.
pub fn routes(
    routes: &mut Routes,
    kernel: &Kernel,
    settings: &Settings,
) -> Result<(), MissingService> {
    let context = Context::new(kernel, settings)?;
    let here = context.clone();
    routes.add(paths::CHAT, &[Kind::Caller], move |call| {
        chat::answer(here.clone(), chat::ApiKind::Chat, call)
    });
    let here = context.clone();
    routes.add(paths::COMPLETIONS, &[Kind::Caller], move |call| {
        chat::answer(here.clone(), chat::ApiKind::Text, call)
    });
    let here = context.clone();
    routes.add(paths::SERVICES, &[Kind::Caller], move |call| service::answer(here.clone(), call));
    body_routes(routes, &context);
    trainer_routes(routes, kernel, &context)
}

fn body_routes(routes: &mut Routes, context: &Context) {
    let here = context.clone();
    routes.add(paths::BODY_PUT, &[Kind::Process], move |call| {
        bodies::routes::put(here.clone(), call)
    });
    let here = context.clone();
    routes.add(paths::BODY_GET, &[Kind::Process], move |call| {
        bodies::routes::get(here.clone(), call)
    });
    let here = context.clone();
    routes.add(paths::BODY_DROP, &[Kind::Process], move |call| {
        bodies::routes::discard(here.clone(), call)
    });
}

fn trainer_routes(
    routes: &mut Routes,
    kernel: &Kernel,
    context: &Context,
) -> Result<(), MissingService> {
    let steps = kernel.registry.find::<Steps>(steps::SERVICE)?;
    let opened = steps.clone();
    let here = context.clone();
    routes.add(paths::STEP_OPEN, &[Kind::Trainer], move |call| {
        trainer::open(here.clone(), Steps::clone(&opened), call)
    });
    let here = context.clone();
    routes.add(paths::STEP_PULL, &[Kind::Trainer], move |call| {
        trainer::pull(here.clone(), Steps::clone(&steps), call)
    });
    let here = context.clone();
    routes.add(paths::STEP_ACK, &[Kind::Trainer], move |call| trainer::ack(here.clone(), call));
    let here = context.clone();
    routes.add(paths::PUBLISH, &[Kind::Trainer], move |call| publish::publish(here.clone(), call));
    Ok(())
}
