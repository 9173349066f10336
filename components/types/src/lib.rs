//! Identifiers, messages and outcomes that all components share.
//!
//! These types are the contract between the roles that docs/ARCHITECTURE.md describes, and every
//! component may depend on them. This crate performs no I/O and reads no clock.

pub mod config;
pub mod digest;
pub mod endpoint;
pub mod frame;
pub mod ids;
pub mod keyring;
pub mod member;
pub mod order;
pub mod outcome;
pub mod position;
pub mod request;
pub mod sample;
pub mod template;
pub mod time;

pub use config::Change;
pub use config::Config;
pub use config::Delta;
pub use digest::Digest;
pub use endpoint::EndpointInfo;
pub use endpoint::EndpointKind;
pub use endpoint::LoadReport;
pub use frame::Frame;
pub use ids::*;
pub use keyring::Keyring;
pub use member::Known;
pub use member::Member;
pub use member::Members;
pub use member::Roles;
pub use member::Standing;
pub use order::Order;
pub use outcome::Code;
pub use outcome::Failure;
pub use outcome::Outcome;
pub use position::Position;
pub use request::Class;
pub use request::Work;
pub use sample::Sample;
pub use sample::Span;
pub use template::Template;
pub use time::Millis;
pub use time::Unix;
