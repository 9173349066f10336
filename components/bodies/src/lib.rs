//! Stores the bytes of samples outside the replicated log (docs/STEPS.md): a bounded store, the
//! choice of the processes that hold a body, and the schedule of audits with the ledger. All of it
//! is pure; the entry role transfers the bytes.

pub mod auditor;
pub mod message;
pub mod placement;
pub mod store;

pub use auditor::Auditor;
pub use placement::Candidate;
pub use placement::is_inline;
pub use placement::rank_candidates;
pub use store::PutError;
pub use store::Store;
pub use store::matches_digest;
