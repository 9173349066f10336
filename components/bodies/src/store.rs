//! The bodies that one process holds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use chicoryford_ledger::BodyName;
use chicoryford_ledger::StepKey;
use chicoryford_ledger::audit::NeededGroups;
use chicoryford_types::Digest;
use chicoryford_types::Millis;
use thiserror::Error;

/// Milliseconds for which a body is kept whatever an audit says. A leader that has just taken
/// over may not yet have applied the opening of the step that the body belongs to.
pub const YOUNG: u64 = 60_000;

/// A body was not taken.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum PutError {
    /// There is no room.
    #[error("{bytes} of {bound} bytes are taken")]
    Full {
        /// Bytes that are held.
        bytes: usize,
        /// Bytes that may be held.
        bound: usize,
    },
    /// The bytes are not those that the name's digest was taken of.
    #[error("the bytes do not match their digest")]
    Garbled,
}

/// The bodies that one process holds, in memory: a restart loses them, and the others repair.
#[derive(Clone, Debug, Default)]
pub struct Store {
    bound: usize,
    bytes: usize,
    bodies: BTreeMap<BodyName, Held>,
}

#[derive(Clone, Debug)]
struct Held {
    bytes: Bytes,
    since: Millis,
}

/// Tells whether bytes are those that a name stands for. Who reads a body checks this: a holder
/// whose memory or code is at fault must not put wrong bytes into a trainer's batch.
pub fn is_genuine(name: &BodyName, bytes: &[u8]) -> bool {
    Digest::of(bytes) == name.digest
}

impl Store {
    /// Makes an empty store that holds at most `bound` bytes.
    pub fn new(bound: usize) -> Self {
        Self { bound, ..Self::default() }
    }

    /// Holds a body; one that is held already is held on.
    ///
    /// # Errors
    ///
    /// [`PutError`] if there is no room, or the bytes are not what the name says.
    pub fn put(&mut self, name: BodyName, bytes: Bytes, now: Millis) -> Result<(), PutError> {
        if !is_genuine(&name, &bytes) {
            return Err(PutError::Garbled);
        }
        if let Some(held) = self.bodies.get_mut(&name) {
            held.since = now;
            return Ok(());
        }
        if self.bytes.saturating_add(bytes.len()) > self.bound {
            return Err(PutError::Full { bytes: self.bytes, bound: self.bound });
        }
        self.bytes += bytes.len();
        self.bodies.insert(name, Held { bytes, since: now });
        Ok(())
    }

    /// Gives a body.
    pub fn get(&self, name: &BodyName) -> Option<Bytes> {
        self.bodies.get(name).map(|held| held.bytes.clone())
    }

    /// Drops a body; tells whether it was held.
    pub fn remove(&mut self, name: &BodyName) -> bool {
        let Some(held) = self.bodies.remove(name) else { return false };
        self.bytes -= held.bytes.len();
        true
    }

    /// Drops the bodies that the ledger has no use for, of the steps that it was asked about.
    /// Returns how many there were.
    pub fn retain(&mut self, wanted: &[NeededGroups], now: Millis) -> usize {
        let wanted: BTreeMap<&StepKey, &NeededGroups> =
            wanted.iter().map(|w| (&w.key, w)).collect();
        let is_idle = |name: &BodyName, held: &Held| {
            let step = wanted.get(&name.key);
            now.since(held.since) >= YOUNG && step.is_some_and(|step| !step.contains(name.group))
        };
        let idle = self.bodies.iter().filter(|(name, held)| is_idle(name, held));
        let idle: Vec<BodyName> = idle.map(|(name, _)| name.clone()).collect();
        idle.iter().filter(|name| self.remove(name)).count()
    }

    /// Lists the steps of which bodies are held.
    pub fn steps(&self) -> Vec<StepKey> {
        let steps: BTreeSet<&StepKey> = self.bodies.keys().map(|name| &name.key).collect();
        steps.into_iter().cloned().collect()
    }

    /// Counts the bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Counts the bodies that are held.
    pub fn len(&self) -> usize {
        self.bodies.len()
    }

    /// Tells whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.bodies.is_empty()
    }
}
