//! Who is there: announcements, failure detection, the view of members.
//!
//! [`Swim`] decides, without sockets or clocks; [`start`] runs it on a duty of its own behind a
//! UDP socket. docs/MEMBERSHIP.md tells how it works and what it costs.

pub mod duty;
pub mod handle;
pub mod message;
pub mod seal;
pub mod settings;
pub mod swim;
pub mod traffic;

pub use duty::StartError;
pub use duty::start;
pub use handle::Handle;
pub use handle::SERVICE;
pub use message::Message;
pub use seal::Seal;
pub use settings::SwimSettings;
pub use swim::Action;
pub use swim::Event;
pub use swim::Swim;
