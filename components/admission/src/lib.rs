//! Admits, limits, queues, retries and hedges requests (docs/ADMISSION.md).
//!
//! [`Admission`] is the pure decision component of one entry: it decides whether a request may
//! start now, and is notified when one ends. It holds no socket, clock or thread, and its
//! randomness is seeded.

pub mod admission;
pub mod admit;
pub mod dispatch;
pub mod duration_quantile;
pub mod hedge;
pub mod queue;
pub mod request;
pub mod retry;
pub mod settings;
pub mod shares;
pub mod workspace;

pub use admission::Admission;
pub use admission::Counts;
pub use hedge::Straggler;
pub use request::Action;
pub use request::AdmissionRequest;
pub use request::Capacity;
pub use request::Completion;
pub use request::Decision;
pub use request::Refusal;
pub use retry::Retry;
pub use settings::Protections;
pub use settings::Settings;
pub use shares::Demand;
pub use shares::Lease;
