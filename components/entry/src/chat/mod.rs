//! The chat completions and text completions APIs.

pub mod body;
pub mod events;
pub mod handler;
pub mod response;

pub use body::ApiKind;
pub use handler::answer;
