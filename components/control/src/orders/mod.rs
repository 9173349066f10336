//! The leader's driver of weights: every accepted version reaches every sampler.

pub mod duty;
pub mod plan;

pub use duty::Lead;
pub use duty::SERVICE;
pub use plan::Dispatch;
pub use plan::OrderStatus;
pub use plan::Orders;
pub use plan::Sampler;
