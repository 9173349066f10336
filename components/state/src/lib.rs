//! The replicated state: templates, leases, claims, steps, stops.
//!
//! [`State::apply`] is a pure function of the state and a committed command, so that every
//! replica that applies the same commands holds the same state.

pub mod command;
pub mod machine;
pub mod session;

pub use command::Assigned;
pub use command::Base;
pub use command::ClaimEnd;
pub use command::Command;
pub use command::Refusal;
pub use command::Reply;
pub use machine::State;
pub use session::Renew;
pub use session::Renewed;
