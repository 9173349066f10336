//! Cached capacity and load of the endpoints of each model.

use std::collections::HashMap;

use chicoryford_admission::Capacity;
use chicoryford_routing::Router;
use chicoryford_types::Millis;
use chicoryford_types::Model;

/// Milliseconds for which the capacity and load of a model are cached. Computing them visits every
/// endpoint of the subset, which would cost more per request than all its other decisions. The load
/// reports are older than this interval anyway, and starts and ends of this entry's own attempts
/// are counted immediately.
const CACHE_MS: u64 = 5;

/// The capacity and load of each model when they were last computed.
#[derive(Clone, Debug, Default)]
pub struct CapacityCache(HashMap<Model, (Millis, Capacity)>);

impl CapacityCache {
    /// Returns the capacity and load of a model.
    pub fn get(&mut self, routing: &Router, model: &Model, now: Millis) -> Capacity {
        if let Some((at, room)) = self.0.get(model)
            && now.since(*at) < CACHE_MS
        {
            return *room;
        }
        let view = routing.pool_capacity(now, model, None);
        let room = Capacity { slots: view.slots, load: view.load };
        self.0.insert(model.clone(), (now, room));
        room
    }

    /// Counts an attempt that started after the values were computed.
    pub fn started(&mut self, model: &Model) {
        if let Some((_, room)) = self.0.get_mut(model) {
            room.load += 1;
        }
    }

    /// Counts an attempt that ended after the values were computed.
    pub fn ended(&mut self, model: &Model) {
        if let Some((_, room)) = self.0.get_mut(model) {
            room.load = room.load.saturating_sub(1);
        }
    }

    /// Clears the cache, because the set of available endpoints has changed.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
