//! Generations in the kind that completions clients send and read.

pub mod body;
pub mod events;
pub mod handler;
pub mod response;

pub use body::ApiKind;
pub use handler::answer;
