//! The agent role: the one small process beside an endpoint.
//!
//! It announces the endpoint, reports its load, gates its work and carries out orders to it
//! under fencing. docs/AGENT.md says how it is built and how to run it.

pub mod fence;
pub mod gate;
