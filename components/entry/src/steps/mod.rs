//! Runs the steps that this entry's session owns (docs/STEPS.md).

pub mod duty;
pub mod handle;
pub mod lengths;
pub mod record;
pub mod sample;
pub mod session;
pub mod step;

pub use handle::SERVICE;
pub use handle::Steps;
