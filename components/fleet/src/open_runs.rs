//! Runs whose hosts may have called a scorer's endpoints without having reported so.
//!
//! A leader takes a run away from its host if the host is lost, if the run is moved, or if its step
//! ends. Until the host reports for the last time, the endpoints that it has called are unknown. They
//! count against the limit of the call nevertheless, for as long as the call may be repeated. See
//! docs/PLATFORM.md.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::MapAccess;
use serde::de::Visitor;

use crate::grant::NEEDED_ENDPOINTS;

/// The maximum number of endpoints that a host may have called without having reported so: one for
/// the call and one for a hedge.
pub const MAX_UNREPORTED_CALLS: u32 = NEEDED_ENDPOINTS as u32;

/// Returns how many endpoints a run may call in addition to those that were known before, given how
/// many of them are recorded in the log. Otherwise a host that is cut off would use all endpoints of
/// the grant one after the other.
pub fn allowed_calls(recorded: usize) -> usize {
    (recorded + 1).max(MAX_UNREPORTED_CALLS as usize)
}

/// Returns how many endpoints a run may have called without having reported so, given how many it
/// has reported.
pub fn unreported_calls(reported: usize) -> u32 {
    (allowed_calls(reported) - reported) as u32
}

/// The number of endpoints that runs may have called without having reported so, by run id.
///
/// A number only decreases, so the knowledge of several processes merges into the lowest one. A run
/// whose host has reported for the last time stays with zero; otherwise a process that has not
/// received that report would count it again.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct OpenRuns(BTreeMap<u64, u32>);

impl OpenRuns {
    /// Records that a run may have called at most this many endpoints that were not reported.
    pub fn limit(&mut self, run: u64, calls: u32) {
        let known = self.0.entry(run).or_insert(calls);
        *known = calls.min(*known);
    }

    /// Adds what another process knows.
    pub fn merge(&mut self, other: &Self) {
        other.0.iter().for_each(|(run, calls)| self.limit(*run, *calls));
    }

    /// Returns whether a run is known, even if it has called nothing that was not reported.
    pub fn contains(&self, run: u64) -> bool {
        self.0.contains_key(&run)
    }

    /// Returns the newest known run other than `except`.
    pub fn newest_except(&self, except: u64) -> Option<u64> {
        self.0.keys().rev().copied().find(|run| *run != except)
    }

    /// Returns the runs that may have called endpoints that were not reported.
    pub fn open(&self) -> impl Iterator<Item = u64> {
        self.0.iter().filter(|(_, calls)| **calls > 0).map(|(run, _)| *run)
    }

    /// Returns how many endpoints all runs but `except` may have called without having reported so.
    pub fn calls_except(&self, except: u64) -> usize {
        self.0.iter().filter(|(run, _)| **run != except).map(|(_, calls)| *calls as usize).sum()
    }
}

impl<'de> Deserialize<'de> for OpenRuns {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(OpenRunsVisitor)
    }
}

/// Reads open runs. Logs of earlier versions contain the number of lost hosts in their place.
struct OpenRunsVisitor;

impl<'de> Visitor<'de> for OpenRunsVisitor {
    type Value = OpenRuns;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a map of runs, or a number of lost hosts")
    }

    fn visit_u64<E>(self, hosts: u64) -> Result<OpenRuns, E> {
        let calls = u32::try_from(hosts).unwrap_or(u32::MAX).saturating_mul(MAX_UNREPORTED_CALLS);
        let runs = (hosts > 0).then_some((u64::default(), calls));
        Ok(OpenRuns(runs.into_iter().collect()))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<OpenRuns, A::Error> {
        let mut runs = BTreeMap::new();
        while let Some((run, calls)) = map.next_entry()? {
            runs.insert(run, calls);
        }
        Ok(OpenRuns(runs))
    }
}
