//! Chooses an endpoint for a request (docs/ROUTING.md).
//!
//! [`Router`] is a pure decision component: it receives the announcements of members, the load
//! reports of agents and the outcomes of this entry's own attempts, and chooses the endpoint of the
//! next attempt. It holds no socket, clock or thread, and its randomness is seeded.

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
