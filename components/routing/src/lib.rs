//! Chooses an endpoint for a request (docs/ROUTING.md).
//!
//! [`Router`] is a pure decision component: it is told what members announce, what agents report
//! and how this entry's own attempts fare, and it answers where the next attempt goes. It holds
//! no socket, clock or thread, and its randomness comes from a seed.

pub mod cache;
pub mod choose;
pub mod eject;
pub mod limit;
pub mod pool;
pub mod router;
pub mod score;
pub mod seat;
pub mod settings;
pub mod subset;
pub mod view;
pub mod want;

pub use router::Counts;
pub use router::Router;
pub use seat::Ending;
pub use seat::Seat;
pub use seat::Target;
pub use settings::Place;
pub use settings::Protections;
pub use settings::Rule;
pub use settings::Settings;
pub use view::View;
pub use want::Choice;
pub use want::NoChoice;
pub use want::Want;
pub use want::Why;
