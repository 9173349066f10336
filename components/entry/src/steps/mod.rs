//! Runs the steps that this entry's session owns (docs/STEPS.md).

pub mod duty;
pub mod flight;
pub mod handle;
pub mod lengths;
pub mod made;
pub mod record;
pub mod rhythm;
pub mod rooms;
pub mod sample;
pub mod session;
pub mod step;
pub mod timeline;
pub mod wakes;

pub use handle::SERVICE;
pub use handle::Steps;
