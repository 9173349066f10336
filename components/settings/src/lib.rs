//! Parsing and validation of the YAML settings of a process and of operators' templates.
//!
//! docs/SETTINGS.md lists all fields with their defaults.

pub mod check;
pub mod error;
pub mod findings;
pub mod load;
pub mod locate;
pub mod process;
pub mod template;

pub use error::SettingsError;
pub use load::load;
pub use load::parse;
pub use process::AgentSettings;
pub use process::BoundSettings;
pub use process::ControlSettings;
pub use process::EntrySettings;
pub use process::Replica;
pub use process::Settings;
pub use process::TlsSettings;
pub use template::load_templates;
pub use template::parse_templates;
