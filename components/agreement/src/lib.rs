//! The consensus protocol of the replicated log: elections, leases, replication, membership
//! changes.
//!
//! A [`Replica`] is a deterministic state machine without I/O: events and readings of the monotonic
//! clock go in, actions come out. The tasks of the control role persist its log and deliver its
//! messages. docs/AGREEMENT.md explains the design and how it is tested.

pub mod action;
mod append;
mod bootstrap;
mod check;
mod durable;
mod election;
pub mod entry;
pub mod event;
mod handover;
pub mod identity;
pub mod invariant;
mod leader;
mod log;
mod membership;
pub mod message;
mod progress;
mod read;
mod receive;
pub mod replica;
mod replicate;
mod restart;
pub mod saved;
pub mod seats;
pub mod settings;
mod snapshot;
pub mod status;

pub use action::Action;
pub use action::Committed;
pub use action::Refusal;
pub use entry::Entry;
pub use entry::EntryId;
pub use entry::Payload;
pub use event::Event;
pub use event::MembershipChange;
pub use event::Proposal;
pub use event::Token;
pub use identity::Founder;
pub use identity::Membership;
pub use identity::ReplicaId;
pub use identity::ReplicaInfo;
pub use invariant::Invariant;
pub use message::Body;
pub use message::Message;
pub use replica::Replica;
pub use saved::HardState;
pub use saved::Saved;
pub use saved::Snapshot;
pub use saved::SnapshotMeta;
pub use saved::Write;
pub use settings::Protections;
pub use settings::Settings;
pub use status::PeerStatus;
pub use status::Role;
pub use status::Status;
