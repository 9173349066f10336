//! What a fleet agrees on and decides: routes, endpoints, steps, weights.
//!
//! Everything here is pure: events and readings of a clock go in, decisions come out. The
//! processes around it are in the node crate; docs/PLATFORM.md shows how they fit together.

pub mod config;
pub mod copies;
pub mod crashes;
pub mod duty;
pub mod endpoint;
pub mod events;
pub mod hearing;
pub mod line;
pub mod pick;
pub mod plan;
pub mod policy;
pub mod recent;
pub mod run;
pub mod state;
pub mod step;
pub mod swap;
pub mod turn;
pub mod usage;
pub mod walltime;
pub mod workspace;

pub use config::Config;
pub use config::Fault;
pub use config::Kind;
pub use config::Limits;
pub use config::Route;
pub use config::Service;
pub use config::Share;
pub use endpoint::Announcement;
pub use endpoint::Endpoint;
pub use endpoint::Registry;
pub use endpoint::Standing;
pub use policy::Policy;
pub use state::Command;
pub use state::Done;
pub use state::Stamped;
pub use state::State;
pub use step::Listed;
pub use step::Outline;
pub use step::Sample;
pub use step::Scorer;
pub use step::Step;
pub use step::Verdict;
pub use workspace::Access;
pub use workspace::Trust;
pub use workspace::Workspace;
pub use workspace::Workspaces;
