//! Replicated state and scheduling decisions of a fleet: routes, endpoints, steps and weights.
//!
//! This crate does no I/O and reads no clocks: events and clock readings are passed in, and
//! decisions are returned. The processes that use it are in the node crate; docs/PLATFORM.md
//! describes how they work together.

pub mod baseline;
pub mod check;
pub mod config;
pub mod copies;
pub mod crashes;
pub mod diff;
pub mod duty;
pub mod endpoint;
pub mod grant;
pub mod heartbeats;
pub mod hedge;
pub mod observed_loads;
pub mod open_runs;
pub mod order_lease;
pub mod overload;
pub mod pacing;
pub mod pick;
pub mod plan;
pub mod policy;
pub mod ranges;
pub mod reachability;
pub mod reporters;
pub mod result_cache;
pub mod run;
pub mod speeds;
pub mod sse;
pub mod state;
pub mod step;
pub mod step_access;
pub mod step_memory;
pub mod swap;
pub mod usage;
pub mod wait_queue;
pub mod walltime;
pub mod workspace;

pub use config::Config;
pub use config::ConfigError;
pub use config::Limits;
pub use config::Route;
pub use config::RouteKind;
pub use config::Service;
pub use config::Share;
pub use endpoint::Announcement;
pub use endpoint::Endpoint;
pub use endpoint::EndpointStatus;
pub use endpoint::Registry;
pub use grant::Grant;
pub use policy::Policy;
pub use state::ApplyOutcome;
pub use state::Command;
pub use state::Stamped;
pub use state::State;
pub use step::ListedResult;
pub use step::Sample;
pub use step::SampleResult;
pub use step::Scorer;
pub use step::Step;
pub use step::StepSummary;
pub use workspace::Access;
pub use workspace::StaleKeyPolicy;
pub use workspace::Workspace;
pub use workspace::Workspaces;
