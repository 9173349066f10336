//! The leader's distribution of weights: orders every sampler to load every accepted version
//! (docs/WEIGHTS.md).

pub mod dispatch;
pub mod samplers;

pub use dispatch::Leadership;
pub use dispatch::SERVICE;
pub use samplers::Samplers;
pub use samplers::samplers;
