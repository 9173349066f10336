//! What is wrong with a file, with the place and what is allowed, so that its author can correct it.

use std::path::PathBuf;

use thiserror::Error;

/// A settings or template file cannot be used.
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
        /// Where in it.
        place: Place,
        /// What is wrong, with the values that would do.
        detail: String,
    },
    /// A field has a name that nothing reads.
    #[error(transparent)]
    UnknownField(Box<UnknownField>),
    /// The file is well formed, but values cannot be used, or not together.
    #[error("{}", listed(.file, .faults))]
    Unusable {
        /// The file.
        file: PathBuf,
        /// Every fault found, in the order of checking.
        faults: Vec<Located>,
    },
}

/// A field has a name that nothing reads: most often a misspelt one, whose value would otherwise
/// be ignored without a word.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{}:{place}: unknown field `{name}`{}; allowed: {}", .file.display(), hint(.nearest.as_deref()), .allowed.join(", "))]
pub struct UnknownField {
    /// The file.
    pub file: PathBuf,
    /// Where in it.
    pub place: Place,
    /// The unknown name.
    pub name: String,
    /// The known name most like it.
    pub nearest: Option<String>,
    /// All names allowed in its place.
    pub allowed: Vec<String>,
}

/// Where in a file something is wrong.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Place {
    /// The line, counted from one; zero if not known.
    pub line: usize,
    /// The field, with the fields that hold it, separated by dots.
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

/// A value that cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// The field, with the fields that hold it, separated by dots.
    pub field: String,
    /// What is wrong.
    pub problem: Problem,
}

/// A fault and its line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Located {
    /// Where it is.
    pub place: Place,
    /// What is wrong.
    pub problem: Problem,
}

/// What is wrong with a value.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Problem {
    /// A number lies outside of its range.
    #[error("{value} is out of range; allowed: {least} to {most}")]
    Range {
        /// The number.
        value: u64,
        /// The least allowed.
        least: u64,
        /// The greatest allowed.
        most: u64,
    },
    /// A name has characters that names may not have.
    #[error("{0:?} is no name; allowed: 1 to 64 letters, digits, `-`, `_` and `.`")]
    Name(String),
    /// An address is not `host:port` with a host by IP number.
    #[error(
        "{0:?} is no address; allowed: an IP number, a colon and a port, such as 127.0.0.1:7100"
    )]
    Address(String),
    /// Something that must be there is missing.
    #[error("{0}")]
    Missing(&'static str),
    /// Two values do not go together.
    #[error("{0}")]
    Clash(&'static str),
    /// Something is there twice.
    #[error("{0:?} is listed twice")]
    Twice(String),
}

fn hint(nearest: Option<&str>) -> String {
    nearest.map(|name| format!(", did you mean `{name}`?")).unwrap_or_default()
}

fn listed(file: &std::path::Path, faults: &[Located]) -> String {
    let file = file.display();
    let lines: Vec<_> =
        faults.iter().map(|f| format!("{file}:{}: {}", f.place, f.problem)).collect();
    lines.join("\n")
}
