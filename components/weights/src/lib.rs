//! Plans how new weights reach every sampler.
//!
//! [`Planner`] decides which endpoint loads which version next and from where, without sockets or
//! clocks; the leader's "orders" duty drives it. docs/WEIGHTS.md tells how, and what was measured.

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
