//! Tests of how processes share which endpoints are unreachable.

mod broadcasts;
mod crowd;
mod fixture;
mod marks;
mod members;
mod simulation;
