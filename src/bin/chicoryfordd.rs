//! The daemon.
fn main() {}
