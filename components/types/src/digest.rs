//! Digests of content, for compare-and-set and for byte-for-byte checks.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Fingerprint;

/// The SHA-256 of some content.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Takes the digest of `content`.
    pub fn of(content: &[u8]) -> Self {
        Self(Sha256::digest(content).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in &self.0[..8] {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl Fingerprint {
    /// Takes the fingerprint of a request's content, without its identifiers: a caller who sends
    /// the same content again under a new id gets the same fingerprint.
    pub fn of(content: &[u8]) -> Self {
        Self(xxh3_64(content))
    }
}
