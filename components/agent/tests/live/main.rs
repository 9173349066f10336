//! Tests of the agent over real connections, with stand-in endpoints, in one process.

mod faults;
mod orders;
mod rig;
mod work;
