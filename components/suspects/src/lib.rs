//! Finds the requests that crash endpoints (docs/SUSPECTS.md).
//!
//! [`Rule`] is pure: it reads the accepted configuration and one event, and answers with the
//! changes of configuration that the replicated state makes. All replicas get the same answer.

pub mod rule;

pub use rule::Rule;
