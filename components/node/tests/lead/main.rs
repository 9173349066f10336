//! A leader with hosts, stores and other members that the test plays, on real sockets.

mod fleet;
mod listing;
mod member;
mod news;
mod scorers;
mod steps;
