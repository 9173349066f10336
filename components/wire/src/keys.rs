//! Tokens from key files.
//!
//! A key file has one key a line: kind, principal, token, separated by spaces; `#` starts a
//! comment. The file is read again when it changes, so that tokens rotate without a restart:
//! list the old and the new token side by side, then remove the old one.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::RwLock;
use std::time::SystemTime;

use chicoryford_types::Digest;
use chicoryford_types::Keyring;
use chicoryford_types::Principal;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// What the holder of a token is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Sends requests to workspaces whose template names it.
    Caller,
    /// Opens steps in workspaces whose template names it.
    Trainer,
    /// Changes configuration and reads dumps.
    Operator,
    /// Is a process of the system.
    Process,
}

/// Who sent a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// What it is.
    pub kind: Kind,
    /// Its name.
    pub principal: Principal,
}

/// A key file could not be used.
#[derive(Debug, Error)]
pub enum KeyError {
    /// The file could not be read.
    #[error("cannot read key file {}", .0.display())]
    Read(PathBuf, #[source] std::io::Error),
    /// A line is malformed. The line's text is not shown, because it may hold a token.
    #[error("{}:{line}: a key reads `<caller|trainer|operator|process> <name> <token>`", .path.display())]
    Line {
        /// The file.
        path: PathBuf,
        /// The line, counted from one.
        line: usize,
    },
}

/// The keys of a process. Only digests of tokens are kept, so that no dump can show a token.
#[derive(Default)]
pub struct Keys {
    path: Option<PathBuf>,
    held: RwLock<Held>,
}

#[derive(Default)]
struct Held {
    read: Option<SystemTime>,
    keys: Keyring<Identity>,
}

impl Keys {
    /// Reads a key file.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if the file cannot be read or has a malformed line.
    pub fn load(path: &Path) -> Result<Self, KeyError> {
        let keys = Self { path: Some(path.to_owned()), held: RwLock::default() };
        keys.refresh()?;
        Ok(keys)
    }

    /// Reads the file again if it has changed; on an error the keys read before stay in force.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if the file cannot be read or has a malformed line.
    pub fn refresh(&self) -> Result<bool, KeyError> {
        let Some(path) = &self.path else { return Ok(false) };
        let read_error = |error| KeyError::Read(path.clone(), error);
        let changed = fs::metadata(path).and_then(|meta| meta.modified()).map_err(read_error)?;
        if self.held.read().expect("readers do not panic").read == Some(changed) {
            return Ok(false);
        }
        let text = fs::read_to_string(path).map_err(read_error)?;
        let keys = Keyring::new(parse(path, &text)?);
        let mut held = self.held.write().expect("readers do not panic");
        *held = Held { read: Some(changed), keys };
        Ok(true)
    }

    /// Finds whose token this is. The time taken tells nothing of how much of a guess was right
    /// ([`Keyring`]).
    pub fn identify(&self, token: &str) -> Option<Identity> {
        let held = self.held.read().expect("readers do not panic");
        held.keys.holder(token).cloned()
    }
}

fn parse(path: &Path, text: &str) -> Result<Vec<(Digest, Identity)>, KeyError> {
    let mut keys = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or_default().trim();
        if line.is_empty() {
            continue;
        }
        let key =
            parse_line(line).ok_or(KeyError::Line { path: path.to_owned(), line: index + 1 })?;
        keys.push(key);
    }
    Ok(keys)
}

fn parse_line(line: &str) -> Option<(Digest, Identity)> {
    let mut words = line.split_whitespace();
    let kind = match words.next()? {
        "caller" => Kind::Caller,
        "trainer" => Kind::Trainer,
        "operator" => Kind::Operator,
        "process" => Kind::Process,
        _ => return None,
    };
    let principal = Principal::from(words.next()?);
    let token = words.next()?;
    let rest = words.next();
    rest.is_none().then(|| (Digest::of(token.as_bytes()), Identity { kind, principal }))
}

/// Reads the token with which a process or client presents itself: the first line of a file.
///
/// # Errors
///
/// [`KeyError::Read`] if the file cannot be read.
pub fn read_token(path: &Path) -> Result<String, KeyError> {
    let text = fs::read_to_string(path).map_err(|e| KeyError::Read(path.to_owned(), e))?;
    Ok(text.lines().next().unwrap_or_default().trim().to_owned())
}
