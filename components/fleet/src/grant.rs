//! The endpoints that may execute a scorer's call.
//!
//! A call runs at a limited number of endpoints, over all hosts that carry it. After a freeze or a
//! cut, two hosts may carry it at the same time without knowing of each other. The leader therefore
//! chooses the endpoints before any host calls them, and records each choice durably: those of a
//! new step with the step, later ones in the log. A host calls no others, so all hosts together
//! stay within the limit, however late one learns that its run was taken away. See
//! docs/PLATFORM.md.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::step::Scorer;

/// The number of usable endpoints that a host needs: one for the call and one for a hedge. With
/// fewer, the leader replaces those that have ended.
pub const NEEDED_ENDPOINTS: usize = 2;

/// The endpoints that a call may use, in addition to those granted with its step.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Grant {
    /// The endpoints that were added.
    pub endpoints: BTreeSet<String>,
    /// Endpoints that have ended. They are not called again, and others replace them.
    pub ended: BTreeSet<String>,
}

/// What is known about a granted endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It may be called now.
    Usable,
    /// It gets no calls now, but may still execute one, and may become usable again.
    Unready,
    /// It has ended, and executes nothing any more.
    Ended,
}

impl Grant {
    /// Returns the whole grant of a call: what was granted with its step, and what was added.
    pub fn of(scorer: &Scorer, added: &Self) -> Self {
        let endpoints = scorer.endpoints.union(&added.endpoints).cloned().collect();
        Self { endpoints, ended: added.ended.clone() }
    }

    /// Returns whether an endpoint may be called.
    pub fn allows(&self, id: &str) -> bool {
        self.endpoints.contains(id) && !self.ended.contains(id)
    }

    /// Adds what another process knows.
    pub fn merge(&mut self, other: &Self) {
        self.endpoints.extend(other.endpoints.iter().cloned());
        self.ended.extend(other.ended.iter().cloned());
    }

    /// Replaces endpoints that have ended by others of `ready` if too few are usable. An endpoint
    /// that is only unready is not replaced: it may have executed the call, and may be called again
    /// once it is ready. Returns what to add to the grant, if anything.
    pub fn extension(
        &self,
        attempts: usize,
        standing: impl Fn(&str) -> Standing,
        ready: impl Iterator<Item = String>,
    ) -> Option<Self> {
        let allowed: Vec<&String> = self.endpoints.difference(&self.ended).collect();
        let usable = allowed.iter().filter(|id| standing(id) == Standing::Usable).count();
        if usable >= NEEDED_ENDPOINTS.min(attempts) {
            return None;
        }
        let ended: BTreeSet<String> = allowed
            .iter()
            .filter(|id| standing(id) == Standing::Ended)
            .map(|id| (*id).clone())
            .collect();
        let missing = attempts.saturating_sub(allowed.len() - ended.len());
        let fresh = ready.filter(|id| !self.endpoints.contains(id));
        let endpoints: BTreeSet<String> = fresh.take(missing).collect();
        let ended = self.ended.union(&ended).cloned().collect();
        (!endpoints.is_empty()).then_some(Self { endpoints, ended })
    }
}
