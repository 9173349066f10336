//! Runs requests: attempts at agents, their frames, retries, the continuation elsewhere.

pub mod attempt;
pub mod check;
pub mod first;
pub mod generate;
pub mod job;
pub mod once;
pub mod probe;
pub mod rescue;
pub mod serve;
pub mod settle;
pub mod spans;
pub mod tries;

pub use generate::Generating;
pub use generate::Piece;
pub use job::Job;
