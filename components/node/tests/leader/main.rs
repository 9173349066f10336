//! A leader with hosts, stores and other members simulated by the test, on real sockets.

mod checkpoints;
mod costs;
#[path = "../support/endpoint.rs"]
mod endpoint;
mod fleet;
mod grants;
#[path = "../support/job.rs"]
mod job;
mod keys;
mod listing;
mod member;
mod reachability;
mod retired;
#[path = "../support/route.rs"]
mod route;
mod scorers;
mod speeds;
mod steps;
mod updates;
mod usage;
