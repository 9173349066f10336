//! The YAML settings of a process and the templates of operators, checked.
//!
//! docs/SETTINGS.md lists every field with its default.

pub mod process;

pub use process::AgentSettings;
pub use process::BoundSettings;
pub use process::ControlSettings;
pub use process::EntrySettings;
pub use process::Replica;
pub use process::Settings;
pub use process::TlsSettings;
