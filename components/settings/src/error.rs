//! Errors in files, with their position and the allowed values, so that the author can correct
//! them.

use std::path::PathBuf;

use thiserror::Error;

/// A settings or template file is invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{}: cannot be read", .0.display())]
    Read(PathBuf, #[source] std::io::Error),
    /// The file is not YAML, or a value has the wrong type.
    #[error("{}:{place}: {detail}", .file.display())]
    Malformed {
        /// The file.
        file: PathBuf,
        /// The position in the file.
        place: Place,
        /// The error, with the allowed values.
        detail: String,
    },
    /// A field has an unknown name.
    #[error(transparent)]
    UnknownField(Box<UnknownField>),
    /// The file is well formed, but has values that are invalid by themselves or in combination.
    #[error("{}", describe_all(.file, .faults))]
    Unusable {
        /// The file.
        file: PathBuf,
        /// All faults, in the order in which they were found.
        faults: Vec<Located>,
    },
}

/// A field has an unknown name. It is usually misspelled, and its value would otherwise be ignored
/// silently.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{}:{place}: unknown field `{name}`{}; allowed: {}", .file.display(), hint(.nearest.as_deref()), .allowed.join(", "))]
pub struct UnknownField {
    /// The file.
    pub file: PathBuf,
    /// The position in the file.
    pub place: Place,
    /// The unknown name.
    pub name: String,
    /// The most similar known name.
    pub nearest: Option<String>,
    /// All names that are allowed at this position.
    pub allowed: Vec<String>,
}

/// A position in a file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Place {
    /// The line number, counted from one; zero if unknown.
    pub line: usize,
    /// The path of the field: the names of its parents and its own, separated by dots.
    pub field: String,
}

impl std::fmt::Display for Place {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match (self.line, self.field.as_str()) {
            (0, "") => f.write_str("the file"),
            (0, field) => write!(f, "{field}"),
            (line, "") => write!(f, "{line}"),
            (line, field) => write!(f, "{line}: {field}"),
        }
    }
}

/// An invalid value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The path of the field: the names of its parents and its own, separated by dots.
    pub field: String,
    /// The problem with the value.
    pub problem: Problem,
}

/// A fault with its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Located {
    /// The position in the file.
    pub place: Place,
    /// The problem with the value.
    pub problem: Problem,
}

/// The problem with a value.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Problem {
    /// A number is out of range.
    #[error("{value} is out of range; allowed: {least} to {most}")]
    Range {
        /// The number.
        value: u64,
        /// The minimum.
        least: u64,
        /// The maximum.
        most: u64,
    },
    /// A name has invalid characters or an invalid length.
    #[error("{0:?} is no name; allowed: 1 to 64 letters, digits, `-`, `_` and `.`")]
    Name(String),
    /// An address does not consist of an IP address and a port.
    #[error(
        "{0:?} is no address; allowed: an IP number, a colon and a port, such as 127.0.0.1:7100"
    )]
    Address(String),
    /// Something that is required is missing.
    #[error("{0}")]
    Missing(&'static str),
    /// Two values are incompatible.
    #[error("{0}")]
    Clash(&'static str),
    /// A value occurs twice.
    #[error("{0:?} is listed twice")]
    Twice(String),
}

fn hint(nearest: Option<&str>) -> String {
    nearest.map(|name| format!(", did you mean `{name}`?")).unwrap_or_default()
}

fn describe_all(file: &std::path::Path, faults: &[Located]) -> String {
    let file = file.display();
    let lines: Vec<_> =
        faults.iter().map(|f| format!("{file}:{}: {}", f.place, f.problem)).collect();
    lines.join("\n")
}
