//! The base of a change: the version and content that an operator's file was derived from.

use std::fmt;
use std::str::FromStr;

use chicoryford_state::Base;
use chicoryford_types::Workspace;
use chicoryford_types::config::Versioned;

use super::template::versions;
use crate::connect::Connection;
use crate::error::CmdError;

/// The prefix of the comment in which a file names its base version.
pub const BASE_MARK: &str = "# base ";

/// The base, as named in a file or on the command line.
///
/// A file also names the digest of the content. A deployment that was set up again restarts its
/// version numbers at one, so with the number alone an older file could replace content that its
/// author has never seen.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Mark {
    /// The version; zero if there is none.
    pub version: u64,
    /// The digest of its content in printed form, if given.
    pub digest: Option<String>,
}

/// A base could not be parsed.
#[derive(Debug, thiserror::Error)]
#[error("a base consists of a version and the digest of its content")]
pub struct MarkError;

impl FromStr for Mark {
    type Err = MarkError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut words = text.split_whitespace();
        let version = words.next().and_then(|word| word.parse().ok()).ok_or(MarkError)?;
        Ok(Self { version, digest: words.next().map(str::to_owned) })
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.version)?;
        self.digest.iter().try_for_each(|digest| write!(f, " {digest}"))
    }
}

impl Mark {
    /// Returns the mark of the version in force.
    pub fn of(current: Option<&Versioned>) -> Self {
        let digest = current.map(|held| held.template.digest().to_string());
        Self { version: current.map_or(0, |held| held.version), digest }
    }

    fn matches(&self, held: &Versioned) -> bool {
        let content = held.template.digest().to_string();
        held.version == self.version && self.digest.as_ref().is_none_or(|digest| *digest == content)
    }

    /// Finds the version that the mark refers to: the one in force or an earlier one that is still
    /// stored, so that a conflict shows only the changes since then. A base that is not found is
    /// sent without the digest of its content and is refused as a conflict.
    ///
    /// # Errors
    ///
    /// Returns [`CmdError`] if no process answers.
    pub async fn find(
        &self,
        to: &Connection,
        workspace: &Workspace,
        current: Option<&Versioned>,
    ) -> Result<Base, CmdError> {
        if let Some(held) = current.filter(|held| self.matches(held)) {
            return Ok(in_force(Some(held)));
        }
        let kept = match versions(to, workspace.as_str()).await {
            Ok(kept) => kept,
            Err(CmdError::Missing { .. } | CmdError::Refused(_)) => Vec::new(),
            Err(error) => return Err(error),
        };
        let found = kept.iter().map(|(_, _, held)| held).find(|held| self.matches(held));
        let unknown = Base { version: self.version, ..Base::default() };
        Ok(found.map_or(unknown, |held| in_force(Some(held))))
    }
}

/// Returns the base of a change for the version in force, or the default if the workspace has no
/// template.
pub fn in_force(current: Option<&Versioned>) -> Base {
    current.map_or(Base::default(), |held| Base {
        version: held.version,
        digest: held.template.digest(),
    })
}
