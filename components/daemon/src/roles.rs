//! Starts the roles that the settings name and adds their routes.

use std::error::Error;
use std::thread::JoinHandle;

use chicoryford_kernel::Kernel;
use chicoryford_kernel::registry::MissingService;
use chicoryford_settings::Settings;
use chicoryford_wire::Routes;

use crate::operate;
use crate::run::RunError;

/// Starts the services that every process has, then the roles of this one. Gives the thread of
/// the membership duty, whose end means that the others were told that this process leaves.
///
/// # Errors
///
/// [`RunError::Role`] if one of them cannot start.
pub fn start(kernel: &Kernel, settings: &Settings) -> Result<JoinHandle<()>, RunError> {
    let membership =
        chicoryford_membership::start(kernel, settings).map_err(failed("membership"))?;
    chicoryford_config::start(kernel, settings).map_err(failed("config"))?;
    if settings.control.is_some() {
        chicoryford_control::start(kernel, settings).map_err(failed("control"))?;
    }
    if settings.entry.is_some() {
        chicoryford_entry::start(kernel, settings).map_err(failed("entry"))?;
    }
    if settings.agent.is_some() {
        chicoryford_agent::start(kernel, settings).map_err(failed("agent"))?;
    }
    // Whatever a route needs is missing at once or never.
    routes(&mut Routes::default(), kernel, settings).map_err(failed("routes"))?;
    Ok(membership)
}

/// Adds the roles' routes; each worker thread of the server calls it once.
///
/// # Errors
///
/// [`MissingService`] if [`start`] has not run.
pub fn routes(
    routes: &mut Routes,
    kernel: &Kernel,
    settings: &Settings,
) -> Result<(), MissingService> {
    chicoryford_config::routes(routes, kernel, settings)?;
    if settings.control.is_some() {
        chicoryford_control::routes(routes, kernel, settings)?;
    }
    if settings.entry.is_some() {
        chicoryford_entry::routes(routes, kernel, settings)?;
    }
    if settings.agent.is_some() {
        chicoryford_agent::routes(routes, kernel, settings)?;
    }
    operate::routes(routes, kernel)
}

fn failed<E>(role: &'static str) -> impl FnOnce(E) -> RunError
where
    E: Error + Send + Sync + 'static,
{
    move |error| RunError::Role(role, Box::new(error))
}
