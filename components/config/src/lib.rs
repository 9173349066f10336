//! Distributes accepted configuration to every process and tracks which processes have it in force.
//!
//! A control process takes the configuration from the changes that its replica applies. Every other
//! process follows a parent by long polling. A process stores its configuration on disk and never
//! returns to an older revision (docs/CONFIGURATION.md).

pub mod children;
pub mod config_file;
pub mod error;
pub mod feed;
pub mod follower;
pub mod handle;
pub mod in_force;
pub mod message;
pub mod parents;
pub mod proposer;
pub mod quorum;
pub mod random;
pub mod routes;
pub mod shared;
pub mod status;
pub mod store;

pub use error::StartError;
pub use feed::Feed;
pub use follower::start;
pub use handle::Handle;
pub use handle::SERVICE;
pub use proposer::Proposer;
pub use proposer::ProposerClient;
pub use routes::routes;
