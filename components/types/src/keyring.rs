//! Lookup of the holders of API keys and tokens, by digest.

use serde::Deserialize;
use serde::Serialize;

use crate::digest::Digest;

/// The holders of keys. Only digests are stored, so that no dump, log line or error can expose a
/// key.
///
/// A key is looked up by binary search over the sorted digests. The lookup time does not reveal how
/// much of a guessed key is right: digests of keys that differ in one character are unrelated, and
/// the search takes as many steps for an unknown key as for a known one, however many workspaces
/// there are.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Keyring<T> {
    sorted: Vec<(Digest, T)>,
}

impl<T> Default for Keyring<T> {
    fn default() -> Self {
        Self { sorted: Vec::new() }
    }
}

impl<T> Keyring<T> {
    /// Builds a keyring from digests and their holders. If a digest occurs more than once, its
    /// first holder is used.
    pub fn new(pairs: impl IntoIterator<Item = (Digest, T)>) -> Self {
        let mut sorted: Vec<(Digest, T)> = pairs.into_iter().collect();
        sorted.sort_by_key(|(digest, _)| *digest);
        sorted.dedup_by_key(|(digest, _)| *digest);
        Self { sorted }
    }

    /// Returns the holder of a key.
    pub fn holder(&self, key: &str) -> Option<&T> {
        self.digest_holder(&Digest::of(key.as_bytes()))
    }

    /// Returns the holder of the key with this digest.
    pub fn digest_holder(&self, digest: &Digest) -> Option<&T> {
        let index = self.sorted.partition_point(|(known, _)| known < digest);
        self.sorted.get(index).filter(|(known, _)| known == digest).map(|(_, holder)| holder)
    }
}
