//! The leader's driver of weights: every accepted version reaches every sampler (docs/WEIGHTS.md).

pub mod duty;
pub mod offers;

pub use duty::Lead;
pub use duty::SERVICE;
pub use offers::Samplers;
pub use offers::samplers;
