//! Authentication by the tokens of a key file.
//!
//! A key file has one key per line: kind, principal and token, separated by spaces; `#` starts a
//! comment. The file is reloaded when it changes, so that tokens can be rotated without a restart:
//! first add the new token next to the old one, later remove the old one.

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

/// The kind of a token's holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A caller, which sends requests to workspaces whose template lists it.
    Caller,
    /// A trainer, which opens steps in workspaces whose template lists it.
    Trainer,
    /// An operator, which changes configuration and reads dumps.
    Operator,
    /// A process of the system.
    Process,
}

/// The sender of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// The kind of the sender.
    pub kind: Kind,
    /// The name of the sender.
    pub principal: Principal,
}

/// A key file could not be loaded.
#[derive(Debug, Error)]
pub enum KeyError {
    /// The file could not be read.
    #[error("cannot read key file {}", .0.display())]
    Read(PathBuf, #[source] std::io::Error),
    /// A line is malformed. The error does not contain the line because it may include a token.
    #[error("{}:{line}: a key reads `<caller|trainer|operator|process> <name> <token>`", .path.display())]
    Line {
        /// The file.
        path: PathBuf,
        /// The line number, counted from one.
        line: usize,
    },
}

/// The keys of a process. Only digests of tokens are stored, so that no dump can expose a token.
#[derive(Default)]
pub struct Keys {
    path: Option<PathBuf>,
    loaded: RwLock<Loaded>,
}

#[derive(Default)]
struct Loaded {
    modified: Option<SystemTime>,
    keys: Keyring<Identity>,
}

impl Keys {
    /// Loads a key file.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError`] if the file cannot be read or has a malformed line.
    pub fn load(path: &Path) -> Result<Self, KeyError> {
        let keys = Self { path: Some(path.to_owned()), loaded: RwLock::default() };
        keys.refresh()?;
        Ok(keys)
    }

    /// Reloads the file if it has changed, and returns whether it did. On an error, the previous
    /// keys remain valid.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError`] if the file cannot be read or has a malformed line.
    pub fn refresh(&self) -> Result<bool, KeyError> {
        let Some(path) = &self.path else { return Ok(false) };
        let read_error = |error| KeyError::Read(path.clone(), error);
        let modified = fs::metadata(path).and_then(|meta| meta.modified()).map_err(read_error)?;
        if self.loaded.read().expect("readers do not panic").modified == Some(modified) {
            return Ok(false);
        }
        let text = fs::read_to_string(path).map_err(read_error)?;
        let keys = Keyring::new(parse(path, &text)?);
        let mut loaded = self.loaded.write().expect("readers do not panic");
        *loaded = Loaded { modified: Some(modified), keys };
        Ok(true)
    }

    /// Returns the holder of a token. The time that this takes does not reveal how much of a
    /// guessed token is right; see [`Keyring`].
    pub fn identify(&self, token: &str) -> Option<Identity> {
        let loaded = self.loaded.read().expect("readers do not panic");
        loaded.keys.holder(token).cloned()
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

/// Reads who has a key in a key file, without keeping the tokens.
///
/// # Errors
///
/// Returns [`KeyError`] if the file cannot be read or has a malformed line.
pub fn read_holders(path: &Path) -> Result<Vec<Identity>, KeyError> {
    let text = fs::read_to_string(path).map_err(|e| KeyError::Read(path.to_owned(), e))?;
    Ok(parse(path, &text)?.into_iter().map(|(_, identity)| identity).collect())
}

/// Reads the token that authenticates a process or client, which is the first line of a file.
///
/// # Errors
///
/// Returns [`KeyError::Read`] if the file cannot be read.
pub fn read_token(path: &Path) -> Result<String, KeyError> {
    let text = fs::read_to_string(path).map_err(|e| KeyError::Read(path.to_owned(), e))?;
    Ok(text.lines().next().unwrap_or_default().trim().to_owned())
}
