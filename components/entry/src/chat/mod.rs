//! Generations in the shape that completions clients send and read.

pub mod body;
pub mod events;
pub mod handler;
pub mod whole;

pub use body::Shape;
pub use handler::answer;
