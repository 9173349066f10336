//! Runs requests: sends attempts to agents, reads their frames, retries failed attempts and
//! continues interrupted generations at other endpoints.

pub mod at_most_once;
pub mod attempt;
pub mod attempts;
pub mod background;
pub mod crash_query;
pub mod crash_wait;
pub mod first_token;
pub mod frame_check;
pub mod generate;
pub mod job;
pub mod probe;
pub mod rescue;
pub mod service_call;
pub mod spans;

pub use generate::GenerationStream;
pub use generate::Piece;
pub use job::Job;
