//! Carries accepted configuration to every process and counts who has it.
//!
//! Control processes feed what their replica applies; every other process follows a parent by
//! long polling, keeps what it has on its disk, and never goes back (docs/CONFIGURATION.md).

pub mod children;
pub mod disk;
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
pub mod standing;
pub mod store;

pub use error::StartError;
pub use feed::Feed;
pub use follower::start;
pub use handle::Handle;
pub use handle::SERVICE;
pub use proposer::Proposer;
pub use proposer::ProposerClient;
pub use routes::routes;
