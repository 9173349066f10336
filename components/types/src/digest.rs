//! Digests of content, for compare-and-set and for checks of equality byte by byte.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Fingerprint;

/// The SHA-256 digest of some content.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of `content`.
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
    /// Computes the fingerprint of a request's content. Identifiers are not part of the content, so
    /// the same content sent again under a new id has the same fingerprint.
    pub fn of(content: &[u8]) -> Self {
        Self(xxh3_64(content))
    }

    /// Computes the fingerprint of content that consists of several parts, without copying them.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        parts.iter().for_each(|part| hasher.update(part));
        Self(hasher.digest())
    }
}
