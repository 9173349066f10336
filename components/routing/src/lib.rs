//! Chooses an endpoint for a request (docs/ROUTING.md).
//!
//! [`Router`] is a pure decision component: it is told what members announce, what agents report
//! and how this entry's own attempts fare, and it answers where the next attempt goes. It holds
//! no socket, clock or thread, and its randomness comes from a seed.

pub mod cache;
pub mod capacity;
pub mod choose;
pub mod eject;
pub mod endpoint;
pub mod limit;
pub mod pool;
pub mod request;
pub mod router;
pub mod score;
pub mod settings;
pub mod subset;

pub use capacity::PoolCapacity;
pub use endpoint::AttemptOutcome;
pub use endpoint::EndpointId;
pub use endpoint::Target;
pub use request::Choice;
pub use request::ChoiceReason;
pub use request::NoEndpoint;
pub use request::RouteRequest;
pub use router::Counts;
pub use router::Router;
pub use settings::Location;
pub use settings::Protections;
pub use settings::Rule;
pub use settings::Settings;
