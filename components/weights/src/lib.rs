//! Plans the rollout of new weights to all samplers.
//!
//! [`Planner`] decides which endpoint loads which version next and from where, without sockets or
//! clocks. The leader's "orders" duty drives it. docs/WEIGHTS.md describes the algorithm and its
//! measurements.

pub mod planner;
pub mod sampler;
pub mod settings;

pub use planner::Action;
pub use planner::Event;
pub use planner::Planner;
pub use planner::Progress;
pub use planner::SamplerFailure;
pub use sampler::SamplerStatus;
pub use settings::PlannerSettings;
pub use settings::Protections;
