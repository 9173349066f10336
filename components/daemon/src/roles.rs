//! Starts the roles that the settings name and adds their routes.

use chicoryford_kernel::Kernel;
use chicoryford_settings::Settings;
use chicoryford_wire::Routes;

use crate::run::RunError;

/// Starts the services that every process has, then the roles of this one.
///
/// # Errors
///
/// [`RunError::Role`] if a role cannot start.
pub fn start(kernel: &Kernel, settings: &Settings) -> Result<(), RunError> {
    let _ = (kernel, settings);
    Ok(())
}

/// Adds the roles' routes; each worker thread of the server calls it once.
pub fn routes(routes: &mut Routes, kernel: &Kernel, settings: &Settings) {
    let _ = (routes, kernel, settings);
}
