//! A leader with hosts, stores and other members simulated by the test, on real sockets.

mod absent_engines;
#[path = "../support/answering.rs"]
mod answering;
mod checkpoints;
mod costs;
#[path = "../support/endpoint.rs"]
mod endpoint;
mod fleet;
mod follower;
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
#[path = "../support/send.rs"]
mod send;
mod speeds;
mod step_owners;
mod steps;
#[path = "../support/unreachable.rs"]
mod unreachable;
mod updates;
mod usage;
