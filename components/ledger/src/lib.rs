//! The exactly-once ledger of steps, groups, samples and deliveries.
//!
//! It is part of the replicated state (docs/STEPS.md): pure, deterministic, and identical on every
//! replica.

pub mod audit;
pub mod command;
pub mod delivery;
pub mod group;
pub mod holders;
pub mod ledger;
pub mod pull;
pub mod record;
pub mod step;

pub use audit::Audit;
pub use audit::AuditReply;
pub use audit::UnderReplicated;
pub use command::Body;
pub use command::GroupSpec;
pub use command::LedgerCommand;
pub use command::LedgerReply;
pub use command::Progress;
pub use command::Record;
pub use command::StepKey;
pub use command::StepSpec;
pub use holders::BodyName;
pub use holders::HOLDERS_PER_BODY;
pub use holders::Holder;
pub use ledger::Ledger;
