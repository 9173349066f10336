//! The bodies that one process stores.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use chicoryford_ledger::BodyName;
use chicoryford_ledger::StepKey;
use chicoryford_ledger::audit::NeededGroups;
use chicoryford_types::Digest;
use chicoryford_types::Group;
use chicoryford_types::Millis;
use thiserror::Error;

/// Milliseconds for which a body is kept regardless of audits. A leader that has just taken over
/// may not have applied the opening of the body's step yet.
pub const MIN_AGE_MS: u64 = 60_000;

/// Why a body was not stored.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum PutError {
    /// The store is full.
    #[error("{bytes} of {bound} bytes are in use")]
    Full {
        /// Bytes in use.
        bytes: usize,
        /// The limit in bytes.
        bound: usize,
    },
    /// The bytes do not match the digest in the name.
    #[error("the bytes do not match their digest")]
    DigestMismatch,
}

/// The bodies that one process stores, in memory. A restart loses them, and the other processes
/// repair them.
#[derive(Clone, Debug, Default)]
pub struct Store {
    bound: usize,
    bytes: usize,
    bodies: BTreeMap<BodyName, StoredBody>,
}

#[derive(Clone, Debug)]
struct StoredBody {
    bytes: Bytes,
    stored_at: Millis,
}

/// Returns whether bytes match the digest in a name. Every reader of a body must check this: a
/// holder with faulty memory or code must not add wrong bytes to a trainer's batch.
pub fn matches_digest(name: &BodyName, bytes: &[u8]) -> bool {
    Digest::of(bytes) == name.digest
}

impl Store {
    /// Returns an empty store for at most `bound` bytes.
    pub fn new(bound: usize) -> Self {
        Self { bound, ..Self::default() }
    }

    /// Stores a body. A body that is already stored is kept longer.
    ///
    /// # Errors
    ///
    /// Returns [`PutError`] if the store is full or the bytes do not match the name.
    pub fn put(&mut self, name: BodyName, bytes: Bytes, now: Millis) -> Result<(), PutError> {
        if !matches_digest(&name, &bytes) {
            return Err(PutError::DigestMismatch);
        }
        if let Some(body) = self.bodies.get_mut(&name) {
            body.stored_at = now;
            return Ok(());
        }
        if self.bytes.saturating_add(bytes.len()) > self.bound {
            return Err(PutError::Full { bytes: self.bytes, bound: self.bound });
        }
        self.bytes += bytes.len();
        self.bodies.insert(name, StoredBody { bytes, stored_at: now });
        Ok(())
    }

    /// Returns a body.
    pub fn get(&self, name: &BodyName) -> Option<Bytes> {
        self.bodies.get(name).map(|body| body.bytes.clone())
    }

    /// Removes a body. Returns whether it was stored.
    pub fn remove(&mut self, name: &BodyName) -> bool {
        let Some(body) = self.bodies.remove(name) else { return false };
        self.bytes -= body.bytes.len();
        true
    }

    /// Removes all bodies of a group. Returns their number.
    pub fn remove_group(&mut self, key: &StepKey, group: Group) -> usize {
        let first = BodyName { key: key.clone(), group, ..BodyName::default() };
        let names = self.bodies.range(first..).map(|(name, _)| name);
        let names = names.take_while(|name| name.key == *key && name.group == group);
        let names: Vec<BodyName> = names.cloned().collect();
        names.iter().filter(|name| self.remove(name)).count()
    }

    /// Drops the bodies that the ledger no longer needs, among the steps in the audit reply.
    /// Returns their number.
    pub fn retain(&mut self, needed: &[NeededGroups], now: Millis) -> usize {
        let needed: BTreeMap<&StepKey, &NeededGroups> =
            needed.iter().map(|groups| (&groups.key, groups)).collect();
        let is_not_needed = |name: &BodyName, body: &StoredBody| {
            let step = needed.get(&name.key);
            now.since(body.stored_at) >= MIN_AGE_MS
                && step.is_some_and(|step| !step.contains(name.group))
        };
        let not_needed = self.bodies.iter().filter(|(name, body)| is_not_needed(name, body));
        let not_needed: Vec<BodyName> = not_needed.map(|(name, _)| name.clone()).collect();
        not_needed.iter().filter(|name| self.remove(name)).count()
    }

    /// Lists the steps of the stored bodies.
    pub fn steps(&self) -> Vec<StepKey> {
        let steps: BTreeSet<&StepKey> = self.bodies.keys().map(|name| &name.key).collect();
        steps.into_iter().cloned().collect()
    }

    /// Returns the stored bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of bodies.
    pub fn len(&self) -> usize {
        self.bodies.len()
    }

    /// Returns whether the store is empty.
    pub fn is_empty(&self) -> bool {
        self.bodies.is_empty()
    }
}
