//! Runs the steps that this entry's session owns (docs/STEPS.md).

pub mod duty;
pub mod handle;
pub mod in_flight;
pub mod lengths;
pub mod limits;
pub mod probation;
pub mod propose;
pub mod pull_waker;
pub mod sample;
pub mod scoring;
pub mod session;
pub mod staleness;
pub mod step;
pub mod timeline;

pub use handle::SERVICE;
pub use handle::Steps;
