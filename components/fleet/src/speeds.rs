//! The replicated speeds of engines, so that a new leader knows the fast ones before its first
//! round.
//!
//! Only engines that differ from the median are recorded. In a fleet whose engines are alike,
//! nothing is written.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::Announcement;
use crate::endpoint::Endpoint;

/// Maximum number of changes in one command. One command every two seconds then covers 10,000
/// endpoints within 40 s, and a larger one would delay other commands.
pub const MAX_SPEED_CHANGES: usize = 500;

/// The recorded speed of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct EngineSpeed {
    /// When the engine started, which distinguishes incarnations that share an id.
    pub started_ms: u64,
    /// Its usual microseconds between events.
    pub pace_us: u32,
}

/// A change of the recorded speed of an engine.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct SpeedChange {
    /// The endpoint id of the engine.
    pub endpoint: String,
    /// When the engine started.
    pub started_ms: u64,
    /// Its usual microseconds between events, or `None` if it equals the median again.
    pub pace_us: Option<u32>,
}

/// Changes that are recorded together.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct SpeedChanges {
    /// The median of the fleet in microseconds between events.
    pub median_us: u32,
    /// The changes, at most [`MAX_SPEED_CHANGES`].
    pub changes: Vec<SpeedChange>,
}

/// The recorded speeds.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct SpeedState {
    /// The median of the fleet in microseconds between events when a speed was recorded last.
    /// Engines that equal it are not recorded, so it does not follow from the entries.
    pub median_us: u32,
    /// The speeds, by endpoint id.
    pub engines: BTreeMap<String, EngineSpeed>,
}

impl SpeedState {
    /// Records changes and returns whether anything changed. Changes of endpoints that are unknown,
    /// or that have restarted since, are ignored: nothing would remove them later.
    pub fn record(
        &mut self,
        changes: SpeedChanges,
        endpoints: &BTreeMap<String, Endpoint>,
    ) -> bool {
        let mut changed = self.median_us != changes.median_us;
        self.median_us = changes.median_us;
        for SpeedChange { endpoint, started_ms, pace_us } in changes.changes {
            let known = endpoints.get(&endpoint).map(|known| known.announcement.started_ms);
            let recorded = self.engines.get(&endpoint).map(|recorded| recorded.started_ms);
            if known.is_none_or(|known| known > started_ms) || recorded > Some(started_ms) {
                continue;
            }
            changed |= match pace_us {
                Some(pace_us) => {
                    let speed = EngineSpeed { started_ms, pace_us };
                    self.engines.insert(endpoint, speed) != Some(speed)
                }
                None => self.engines.remove(&endpoint).is_some(),
            };
        }
        changed
    }

    /// Drops the speed of an endpoint that has restarted since it was recorded.
    pub fn record_announcement(&mut self, announcement: &Announcement) {
        let recorded = self.engines.get(&announcement.id);
        if recorded.is_some_and(|recorded| recorded.started_ms < announcement.started_ms) {
            self.engines.remove(&announcement.id);
        }
    }

    /// Drops the speed of an endpoint that is gone.
    pub fn remove(&mut self, endpoint: &str) {
        self.engines.remove(endpoint);
    }
}
