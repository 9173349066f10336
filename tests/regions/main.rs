//! Three regions over real processes, one of them cut off from the two others.
//!
//! A process that is held still (SIGSTOP) answers nothing and closes nothing. Towards those that
//! run, this is what a silent network partition looks like.

mod cut;
mod fixture;
mod healed;
mod members;
