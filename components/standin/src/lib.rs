//! Stand-ins of the platform for tests: engines, services, a scorer, a weight store, trainers and
//! callers.
//!
//! They are small and are not shipped. They write their own records as JSON lines, so that a run is
//! checked against what the endpoints and callers observed, independently of the system's own
//! reports. docs/STANDINS.md describes the protocols.

pub mod caller;
pub mod driver;
pub mod engine;
pub mod http;
pub mod matching;
pub mod ports;
pub mod process;
pub mod rate_limit;
pub mod raw;
pub mod record;
pub mod records;
pub mod scorer;
pub mod service;
pub mod store;
pub mod trainer;

pub use record::Recorder;
