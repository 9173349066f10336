//! The replicated state: templates, leases, claims, steps, planned stops.
//!
//! [`State::apply`] is a pure function of the state and a committed command, so all replicas that
//! apply the same commands have the same state.

pub mod changes;
pub mod claims;
pub mod command;
pub mod key;
pub mod machine;
pub mod recent;
pub mod session;
pub mod sessions;
pub mod stops;
pub mod suspects;
pub mod templates;
pub mod weights;

pub use changes::change_id;
pub use command::AgentAssignment;
pub use command::Base;
pub use command::ClaimEnd;
pub use command::Command;
pub use command::Refusal;
pub use command::Reply;
pub use machine::State;
pub use recent::RecentChanges;
pub use session::SessionRenewal;
pub use session::SessionRenewalReply;
pub use sessions::Session;
