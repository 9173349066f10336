//! Cluster membership: announcements, failure detection and the view of the members.
//!
//! [`Swim`] is a state machine without sockets or clocks; [`start`] runs it on its own thread with
//! a UDP socket. docs/MEMBERSHIP.md describes the protocol and its costs.

pub mod auth;
pub mod duty;
pub mod handle;
pub mod message;
pub mod settings;
pub mod swim;
pub mod traffic;

pub use auth::Authenticator;
pub use duty::StartError;
pub use duty::start;
pub use handle::Handle;
pub use handle::SERVICE;
pub use message::Message;
pub use settings::SwimSettings;
pub use swim::Action;
pub use swim::Event;
pub use swim::Swim;
