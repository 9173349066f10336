//! Errors of the client's commands, with their exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use chicoryford_config::in_force::InForce;
use chicoryford_fleet::ConfigError;
use chicoryford_settings::SettingsError;
use chicoryford_state::Refusal;
use chicoryford_types::Failure;
use chicoryford_types::Outcome;
use chicoryford_wire::keys::KeyError;
use chicoryford_wire::tls::TlsError;
use thiserror::Error;

/// A command failed.
#[derive(Debug, Error)]
pub enum CmdError {
    /// A file of templates or settings is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The client's own settings are invalid.
    #[error("{}: {source}", .file.display())]
    Client {
        /// The file.
        file: PathBuf,
        /// What is wrong with it.
        source: serde_yaml_ng::Error,
    },
    /// The client's own settings cannot be read.
    #[error("{}: cannot be read", .0.display())]
    ReadClient(PathBuf, #[source] std::io::Error),
    /// A log file cannot be read.
    #[error("{}: cannot be read", .0.display())]
    ReadLog(PathBuf, #[source] std::io::Error),
    /// No address was given.
    #[error("no address: give --address, CHICORYFORD_ADDRESS or a client settings file")]
    NoAddress,
    /// The token file is invalid.
    #[error(transparent)]
    Token(#[from] KeyError),
    /// The root certificates are invalid.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// A fingerprint is not a number.
    #[error("{0:?} is not a fingerprint: use a decimal number, or a hexadecimal one with 0x")]
    Fingerprint(String),
    /// No address accepted a connection.
    #[error("no process could be reached: {0}")]
    Unreachable(String),
    /// The request was sent, but no answer was received.
    #[error("the answer was lost: {detail}{}", resend_hint(.change.as_deref()))]
    Lost {
        /// The error message of the HTTP library.
        detail: String,
        /// The id with which to send the change again.
        change: Option<String>,
    },
    /// The system answered with a failure.
    #[error(transparent)]
    Failure(#[from] Failure),
    /// The change was refused.
    #[error("{}", describe_refusal(.0))]
    Refused(Box<Refusal>),
    /// The answer has an unexpected format.
    #[error("{path} answered in an unexpected format: {detail}")]
    Shape {
        /// The path of the request.
        path: &'static str,
        /// What is wrong.
        detail: String,
    },
    /// No object has this name.
    #[error("no {kind} is named {name:?}")]
    Missing {
        /// The kind of object.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// The change was not in force everywhere within the time to wait.
    #[error("not everywhere within {seconds} s; {}", describe_lag(.behind))]
    TimedOut {
        /// How long the client waited.
        seconds: u64,
        /// The processes that were behind at the last poll.
        behind: Box<Behind>,
    },
    /// A configuration would be refused or ignored.
    #[error("{}: cannot be used (errors: {errors})", .file.display())]
    Rejected {
        /// The file.
        file: PathBuf,
        /// How many errors it has.
        errors: usize,
    },
    /// A file is not a configuration.
    #[error("{}: {source}", .file.display())]
    Config {
        /// The file.
        file: PathBuf,
        /// What is wrong with it.
        source: ConfigError,
    },
    /// The configuration in force cannot be read now.
    #[error("the configuration in force cannot be read now: {0}")]
    NotNow(String),
    /// There are differences, and `--exit-code` was given.
    #[error("there are differences")]
    Differs,
}

/// The processes that were behind when the wait for a change ended.
#[derive(Debug)]
pub enum Behind {
    /// The answer of the control processes.
    Known(InForce),
    /// No process could be queried.
    Unknown(CmdError),
}

/// Describes the processes that are behind. The answer names only some of many; their number lets
/// an operator distinguish a slow process from a partitioned region.
fn describe_lag(behind: &Behind) -> String {
    let status = match behind {
        Behind::Known(status) => status,
        Behind::Unknown(error) => return format!("no process could be queried: {error}"),
    };
    let names: Vec<&str> = status.lagging.iter().map(|node| node.as_str()).collect();
    let unnamed = status.behind.saturating_sub(names.len());
    let more = if unnamed > 0 { format!(" and {unnamed} more") } else { String::new() };
    let (count, all) = (status.behind, status.processes);
    format!("{count} of {all} processes are behind: {}{more}", names.join(", "))
}

fn resend_hint(change: Option<&str>) -> String {
    change.map(|id| format!("; send it again with --change {id}")).unwrap_or_default()
}

fn describe_refusal(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Conflict { current, diff } => {
            let version = current.as_ref().map_or(0, |c| c.version);
            format!("conflict: version {version} is in force; it differs from your base:\n{diff}")
        }
        Refusal::Missing => "refused: no object has this name or version".to_owned(),
        Refusal::IdReused => {
            "refused: the change id was already used for another change".to_owned()
        }
        Refusal::IdExpired => "refused: the change id is too old to detect a resend".to_owned(),
        Refusal::NotNewer(newest) => format!("refused: version {newest} is already published"),
        Refusal::Full => "refused: the maximum number of these is already stored".to_owned(),
        other => format!("refused: {other:?}"),
    }
}

/// The exit codes, as `--help` lists them.
mod exit {
    pub const FAILED: u8 = 1;
    pub const USAGE: u8 = 2;
    pub const CONFLICT: u8 = 3;
    pub const NOT_RUN: u8 = 4;
    pub const TIMED_OUT: u8 = 5;
    pub const UNKNOWN: u8 = 6;
}

impl CmdError {
    /// Returns the exit code; `--help` lists them.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Settings(_)
            | Self::Client { .. }
            | Self::ReadClient(..)
            | Self::ReadLog(..)
            | Self::NoAddress
            | Self::Token(_)
            | Self::Tls(_)
            | Self::Rejected { .. }
            | Self::Config { .. }
            | Self::Fingerprint(_) => exit::USAGE,
            Self::Refused(refusal) => match **refusal {
                Refusal::Conflict { .. } => exit::CONFLICT,
                _ => exit::FAILED,
            },
            Self::Unreachable(_) | Self::NotNow(_) => exit::NOT_RUN,
            Self::Failure(failure) if is_transient(failure) => exit::NOT_RUN,
            Self::Failure(failure) if failure.outcome == Outcome::Unknown => exit::UNKNOWN,
            Self::Lost { .. } => exit::UNKNOWN,
            Self::TimedOut { .. } => exit::TIMED_OUT,
            Self::Failure(_) | Self::Shape { .. } | Self::Missing { .. } | Self::Differs => {
                exit::FAILED
            }
        })
    }
}

/// Returns whether a failure is transient, so that a retry, possibly at another process, may
/// succeed.
pub fn is_transient(failure: &Failure) -> bool {
    failure.outcome == Outcome::NotRun && failure.code.status() == 503
}
