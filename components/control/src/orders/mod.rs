//! The leader's driver of weights: every accepted version reaches every sampler (docs/WEIGHTS.md).

pub mod dispatch;
pub mod samplers;

pub use dispatch::Leadership;
pub use dispatch::SERVICE;
pub use samplers::Samplers;
pub use samplers::samplers;
