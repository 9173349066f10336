//! Finds the contents of requests that crash endpoints (docs/SUSPECTS.md).
//!
//! [`Rule`] is a pure function of the current configuration and one event. It returns the
//! configuration changes that the replicated state applies, so all replicas get the same result.

pub mod rule;

pub use rule::Rule;
