//! The error of starting this component.

use chicoryford_kernel::duty::DutyError;
use chicoryford_kernel::registry::MissingService;
use thiserror::Error;

/// The follower duty could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// Membership or the caller has not been registered.
    #[error(transparent)]
    Missing(#[from] MissingService),
    /// The follower's thread could not be started.
    #[error(transparent)]
    Duty(#[from] DutyError),
}
