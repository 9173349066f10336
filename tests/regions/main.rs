//! Tests with the processes of three regions, one of which is cut off from the two others.
//!
//! A process that is frozen (SIGSTOP) sends no answers and closes no connections. For the running
//! processes, this is the same as a silent network partition.

mod cut;
mod fixture;
mod healed;
mod members;
