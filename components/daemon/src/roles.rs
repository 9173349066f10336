//! Starts the roles that the settings enable and adds their routes.

use std::error::Error;
use std::thread::JoinHandle;

use chicoryford_kernel::Kernel;
use chicoryford_kernel::registry::MissingService;
use chicoryford_settings::Settings;
use chicoryford_wire::Routes;

use crate::operate;
use crate::run::RunError;

/// Starts the services that every process has, then the roles of this process. Returns the thread
/// of the membership duty. When that thread ends, the others have been told that this process
/// leaves.
///
/// # Errors
///
/// Returns [`RunError::Role`] if a service or role cannot start, or its routes cannot be built.
pub fn start(kernel: &Kernel, settings: &Settings) -> Result<JoinHandle<()>, RunError> {
    let membership =
        chicoryford_membership::start(kernel, settings).map_err(role_error("membership"))?;
    chicoryford_config::start(kernel, settings).map_err(role_error("config"))?;
    if settings.control.is_some() {
        chicoryford_control::start(kernel, settings).map_err(role_error("control"))?;
    }
    if settings.entry.is_some() {
        chicoryford_entry::start(kernel, settings).map_err(role_error("entry"))?;
    }
    if settings.agent.is_some() {
        chicoryford_agent::start(kernel, settings).map_err(role_error("agent"))?;
    }
    // A service that a route needs is registered by now or never, so that building the routes once
    // finds a missing one at the start.
    routes(&mut Routes::default(), kernel, settings).map_err(role_error("routes"))?;
    Ok(membership)
}

/// Adds the roles' routes. Each worker thread of the server calls this function once.
///
/// # Errors
///
/// Returns [`MissingService`] if [`start`] has not run.
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

/// Wraps an error that kept `role` from starting.
fn role_error<E>(role: &'static str) -> impl FnOnce(E) -> RunError
where
    E: Error + Send + Sync + 'static,
{
    move |error| RunError::Role(role, Box::new(error))
}
