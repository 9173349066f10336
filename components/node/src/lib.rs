//! The processes of a fleet: entries, control processes, stores, and the protocol between them.
//!
//! One process runs the parts that its settings enable. All of them share one thread, next to one
//! thread for the disk, because a VM has only a small share of one core. docs/PLATFORM.md describes
//! which parts run where, and what each does when it is disconnected.

mod clients;
pub mod clock;
pub mod control;
pub mod copies;
pub mod crashes;
pub mod entry;
pub mod followers;
pub mod forward;
pub mod frame;
pub mod hosts;
pub mod leader;
pub mod link;
pub mod link_server;
pub mod listing;
pub mod members;
pub mod message;
pub mod metrics;
pub mod offload;
pub mod orders;
pub mod overload;
pub mod parts;
pub mod peers;
pub mod ready;
pub mod replica;
pub mod runner;
pub mod settings;
pub mod start;
pub mod traffic;
pub mod usage;
pub mod view;
pub mod wait_queues;

pub use settings::Settings;
pub use start::StartError;
pub use start::run;
