//! Why configuration could not be started.

use chicoryford_kernel::duty::DutyError;
use chicoryford_kernel::registry::MissingService;
use thiserror::Error;

/// Configuration could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// Membership or the caller must be offered first.
    #[error(transparent)]
    Missing(#[from] MissingService),
    /// The follower's thread could not be started.
    #[error(transparent)]
    Duty(#[from] DutyError),
}
