//! Who holds which key, by the keys' digests.

use serde::Deserialize;
use serde::Serialize;

use crate::digest::Digest;

/// Holders of keys. Only digests are kept, so that no dump, log line or error can show a key.
///
/// A key is found by its digest's place in a sorted list. How far a comparison gets says nothing of
/// how much of a guessed key was right, because the digests of two keys that differ in one letter
/// have nothing in common; and the steps of the search are as many for an unknown key as for a
/// known one, however many workspaces there are.
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
    /// Makes a ring of digests and their holders. Of a digest that stands more than once, the first
    /// holder counts.
    pub fn new(pairs: impl IntoIterator<Item = (Digest, T)>) -> Self {
        let mut sorted: Vec<(Digest, T)> = pairs.into_iter().collect();
        sorted.sort_by_key(|(digest, _)| *digest);
        sorted.dedup_by_key(|(digest, _)| *digest);
        Self { sorted }
    }

    /// Gives the holder of a key.
    pub fn holder(&self, key: &str) -> Option<&T> {
        let digest = Digest::of(key.as_bytes());
        let place = self.sorted.partition_point(|(known, _)| *known < digest);
        self.sorted.get(place).filter(|(known, _)| *known == digest).map(|(_, holder)| holder)
    }
}
