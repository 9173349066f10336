//! A leader with hosts, stores and other members that the test plays, on real sockets.

mod fleet;
mod keys;
mod listing;
mod member;
mod news;
mod scorers;
mod steps;
mod usage;
