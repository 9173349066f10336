//! Admits, limits, queues, retries and hedges requests (docs/ADMISSION.md).
//!
//! [`Admission`] is a pure decision component of one entry: it is asked whether a request may
//! start now, and told when one ends. It holds no socket, clock or thread, and its randomness
//! comes from a seed.

pub mod admission;
pub mod ask;
pub mod door;
pub mod drain;
pub mod feasible;
pub mod hedge;
pub mod queue;
pub mod retry;
pub mod settings;
pub mod shares;
pub mod workspace;

pub use admission::Admission;
pub use admission::Counts;
pub use ask::Action;
pub use ask::Ask;
pub use ask::Done;
pub use ask::Refused;
pub use ask::Room;
pub use ask::Verdict;
pub use hedge::Straggler;
pub use retry::Retry;
pub use settings::Protections;
pub use settings::Settings;
pub use shares::Demand;
pub use shares::Lease;
