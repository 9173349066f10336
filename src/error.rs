//! How a command of the client ends, and with which exit code.

use std::path::PathBuf;
use std::process::ExitCode;

use chicoryford_config::in_force::InForce;
use chicoryford_settings::SettingsError;
use chicoryford_state::Refusal;
use chicoryford_types::Failure;
use chicoryford_types::Outcome;
use chicoryford_wire::keys::KeyError;
use chicoryford_wire::tls::TlsError;
use thiserror::Error;

/// A command did not end well.
#[derive(Debug, Error)]
pub enum CmdError {
    /// A file of templates or settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The client's own settings cannot be used.
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
    /// A log cannot be read.
    #[error("{}: cannot be read", .0.display())]
    ReadLog(PathBuf, #[source] std::io::Error),
    /// No address was given.
    #[error("no address: give --address, CHICORYFORD_ADDRESS or a client settings file")]
    NoAddress,
    /// The token file cannot be used.
    #[error(transparent)]
    Token(#[from] KeyError),
    /// The roots cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// A fingerprint is no number.
    #[error("{0:?} is no fingerprint: give it decimal, or with 0x in hexadecimal")]
    Fingerprint(String),
    /// No address took a connection.
    #[error("no process could be reached: {0}")]
    Unreachable(String),
    /// The request was sent, but no answer came.
    #[error("the answer was lost: {detail}{}", resend(.change.as_deref()))]
    Lost {
        /// What the library said.
        detail: String,
        /// The id with which to send the change again.
        change: Option<String>,
    },
    /// The system answered with a failure.
    #[error(transparent)]
    Failure(#[from] Failure),
    /// The change was refused.
    #[error("{}", refusal(.0))]
    Refused(Box<Refusal>),
    /// The answer has another shape than this client knows.
    #[error("{path} answered in a shape that this client does not know: {detail}")]
    Shape {
        /// What was asked.
        path: &'static str,
        /// What is wrong.
        detail: String,
    },
    /// Nothing has that name.
    #[error("no {kind} is named {name:?}")]
    Missing {
        /// What was looked for.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// The wait was too short.
    #[error("not everywhere within {seconds} s; {}", lag(.behind))]
    TimedOut {
        /// How long the client waited.
        seconds: u64,
        /// What the last look showed.
        behind: Box<Behind>,
    },
    /// The difference that `--exit-code` asks about.
    #[error("there are differences")]
    Differs,
}

/// Who was behind when the wait for a change ended.
#[derive(Debug)]
pub enum Behind {
    /// What the control processes told.
    Known(InForce),
    /// Nobody could be asked.
    Unknown(CmdError),
}

/// Names those behind. Of many, the answer names just some: their count is what tells an operator
/// a slow process from a region that is cut off.
fn lag(behind: &Behind) -> String {
    let told = match behind {
        Behind::Known(told) => told,
        Behind::Unknown(error) => return format!("nobody could be asked: {error}"),
    };
    let names: Vec<&str> = told.lagging.iter().map(|node| node.as_str()).collect();
    let unnamed = told.behind.saturating_sub(names.len());
    let more = if unnamed > 0 { format!(" and {unnamed} more") } else { String::new() };
    let (count, all) = (told.behind, told.processes);
    format!("{count} of {all} processes are behind: {}{more}", names.join(", "))
}

fn resend(change: Option<&str>) -> String {
    change.map(|id| format!("; send it again with --change {id}")).unwrap_or_default()
}

fn refusal(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Conflict { current, diff } => {
            let version = current.as_ref().map_or(0, |c| c.version);
            format!("conflict: version {version} is in force; it differs from your base:\n{diff}")
        }
        Refusal::Missing => "refused: nothing has that name or version".to_owned(),
        Refusal::IdReused => "refused: the change id was used for another change".to_owned(),
        Refusal::IdExpired => "refused: the change id is too old to tell a resend".to_owned(),
        Refusal::NotNewer(newest) => format!("refused: version {newest} is published already"),
        Refusal::Full => "refused: too many of these are kept already".to_owned(),
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
    /// Gives the exit code, as `--help` lists them.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Settings(_)
            | Self::Client { .. }
            | Self::ReadClient(..)
            | Self::ReadLog(..)
            | Self::NoAddress
            | Self::Token(_)
            | Self::Tls(_)
            | Self::Fingerprint(_) => exit::USAGE,
            Self::Refused(refusal) => match **refusal {
                Refusal::Conflict { .. } => exit::CONFLICT,
                _ => exit::FAILED,
            },
            Self::Unreachable(_) => exit::NOT_RUN,
            Self::Failure(failure) if may_come_back(failure) => exit::NOT_RUN,
            Self::Failure(failure) if failure.outcome == Outcome::Unknown => exit::UNKNOWN,
            Self::Lost { .. } => exit::UNKNOWN,
            Self::TimedOut { .. } => exit::TIMED_OUT,
            Self::Failure(_) | Self::Shape { .. } | Self::Missing { .. } | Self::Differs => {
                exit::FAILED
            }
        })
    }
}

/// Tells whether a failure is of the moment, so that another process or time may do better.
pub fn may_come_back(failure: &Failure) -> bool {
    failure.outcome == Outcome::NotRun && failure.code.status() == 503
}
