//! The agent with real connections, beside stand-in endpoints, in one process.

mod faults;
mod orders;
mod rig;
mod work;
