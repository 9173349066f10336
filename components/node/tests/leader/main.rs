//! A leader with hosts, stores and other members simulated by the test, on real sockets.

mod costs;
mod fleet;
mod grants;
#[path = "../support/job.rs"]
mod job;
mod keys;
mod listing;
mod member;
mod scorers;
mod steps;
mod updates;
mod usage;
