//! Stand-ins of the platform: engines, services, a scorer, a weight store, trainers and callers.
//!
//! They are small, are not shipped, and keep records of their own as JSON lines, so that a run
//! can be judged by what the endpoints and callers saw and not by what the system says of itself.
//! docs/STANDINS.md describes the protocols.

pub mod caller;
pub mod driver;
pub mod engine;
pub mod http;
pub mod matching;
pub mod pace;
pub mod ports;
pub mod process;
pub mod raw;
pub mod record;
pub mod records;
pub mod scorer;
pub mod service;
pub mod store;
pub mod trainer;

pub use record::Recorder;
