//! Admits requests and chooses endpoints. One duty makes both decisions with
//! `chicoryford_admission` and `chicoryford_routing`. Other threads send it messages through a
//! bounded queue.

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
pub use query::Reuse;
pub use query::SilentEndpoint;
pub use state::RouterState;
