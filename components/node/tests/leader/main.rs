//! A leader with hosts, stores and other members that the test plays, on real sockets.

mod fleet;
#[path = "../support/job.rs"]
mod job;
mod keys;
mod listing;
mod member;
mod news;
mod scorers;
mod steps;
mod usage;
