//! Admits requests and chooses endpoints: one duty owns both decisions
//! (`chicoryford_admission`, `chicoryford_routing`), HTTP workers ask it by a bounded ring.

pub mod capacity;
pub mod draining;
pub mod dump;
pub mod duty;
pub mod handle;
pub mod placement;
pub mod query;
pub mod state;

pub use handle::AttemptPermit;
pub use handle::HedgePermit;
pub use handle::RequestPermit;
pub use handle::Router;
pub use handle::SERVICE;
pub use query::AttemptEnd;
pub use query::EndpointQuery;
pub use query::LateSample;
pub use query::Pick;
pub use query::RetryQuery;
pub use state::RouterState;
