//! Loads of weights that a process has observed, for the case that it leads next.
//!
//! A leader announces each order before it sends it, but not when the load has ended. That follows
//! from the versions of the engine.

use std::collections::BTreeMap;

use chicoryford_types::Millis;

use crate::endpoint::Endpoint;

/// The last load of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ObservedLoad {
    /// When the leader announced the order.
    pub ordered_at: Millis,
    /// When the versions of the engine changed, or `None` if they have not changed since the order.
    pub loaded_at: Option<Millis>,
}

/// The last load of each engine.
#[derive(Clone, Debug, Default)]
pub struct ObservedLoads {
    loads: BTreeMap<String, ObservedLoad>,
}

impl ObservedLoads {
    /// Records that the leader announced an order to an engine.
    pub fn record_order(&mut self, engine: &str, now: Millis) {
        let load = ObservedLoad { ordered_at: now, loaded_at: None };
        self.loads.insert(engine.to_owned(), load);
    }

    /// Records a change of an endpoint. New versions end its load, and a restart discards it.
    pub fn record_endpoint(&mut self, before: &Endpoint, after: &Endpoint, now: Millis) {
        let (before, after) = (&before.announcement, &after.announcement);
        if before.started_ms != after.started_ms {
            self.loads.remove(&after.id);
        } else if before.models != after.models
            && let Some(load) = self.loads.get_mut(&after.id)
        {
            load.loaded_at = Some(now);
        }
    }

    /// Drops the load of an endpoint that is gone.
    pub fn remove(&mut self, engine: &str) {
        self.loads.remove(engine);
    }

    /// Returns the last load of each engine, by id.
    pub fn all(&self) -> impl Iterator<Item = (&str, &ObservedLoad)> {
        self.loads.iter().map(|(id, load)| (id.as_str(), load))
    }
}
