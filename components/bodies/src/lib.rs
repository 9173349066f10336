//! Holds samples' bytes outside the replicated log (docs/STEPS.md): a bounded store, the choice
//! of the processes that hold a body, and when to ask the ledger about them. All of it is pure;
//! the entry role carries the bytes.

pub mod auditor;
pub mod message;
pub mod place;
pub mod store;

pub use auditor::Auditor;
pub use place::Candidate;
pub use place::is_inline;
pub use place::order;
pub use store::PutError;
pub use store::Store;
pub use store::is_genuine;
