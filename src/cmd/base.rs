//! The base of a change: the version and content from which an operator's file was made.

use std::fmt;
use std::str::FromStr;

use chicoryford_state::Base;
use chicoryford_types::Workspace;
use chicoryford_types::config::Versioned;

use super::template::versions;
use crate::connect::Connection;
use crate::error::CmdError;

/// The comment by which a file tells the version that it was made from.
pub const BASE_MARK: &str = "# base ";

/// The base as a file or the command line names it.
///
/// A file names the content as well. Deployments that were founded anew count their versions from
/// one again: by the number alone a file from before could replace a content that its author
/// never saw.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Mark {
    /// The version; zero for none.
    pub version: u64,
    /// The digest of its content as it is printed, if it is named.
    pub digest: Option<String>,
}

/// A comment does not name a base.
#[derive(Debug, thiserror::Error)]
#[error("a base is a version, and the digest of its content")]
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
    /// Names the version in force.
    pub fn of(current: Option<&Versioned>) -> Self {
        let digest = current.map(|held| held.template.digest().to_string());
        Self { version: current.map_or(0, |held| held.version), digest }
    }

    fn names(&self, held: &Versioned) -> bool {
        let content = held.template.digest().to_string();
        held.version == self.version && self.digest.as_ref().is_none_or(|named| *named == content)
    }

    /// Finds what the mark names: the version in force, or one of those kept, so that a conflict
    /// shows just what was changed after it. A base that is found nowhere is sent without its
    /// content, and is refused as a conflict.
    ///
    /// # Errors
    ///
    /// [`CmdError`] if no process answers.
    pub async fn find(
        &self,
        to: &Connection,
        workspace: &Workspace,
        current: Option<&Versioned>,
    ) -> Result<Base, CmdError> {
        if let Some(held) = current.filter(|held| self.names(held)) {
            return Ok(in_force(Some(held)));
        }
        let kept = match versions(to, workspace.as_str()).await {
            Ok(kept) => kept,
            Err(CmdError::Missing { .. } | CmdError::Refused(_)) => Vec::new(),
            Err(error) => return Err(error),
        };
        let named = kept.iter().map(|(_, _, held)| held).find(|held| self.names(held));
        let unknown = Base { version: self.version, ..Base::default() };
        Ok(named.map_or(unknown, |held| in_force(Some(held))))
    }
}

/// Gives a version as the base of a change; none if the workspace has no template.
pub fn in_force(current: Option<&Versioned>) -> Base {
    current.map_or(Base::default(), |held| Base {
        version: held.version,
        digest: held.template.digest(),
    })
}
