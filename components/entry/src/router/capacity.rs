//! The room of each model's endpoints, summed up at most every few milliseconds.

use std::collections::HashMap;

use chicoryford_admission::Room;
use chicoryford_routing::Router;
use chicoryford_types::Millis;
use chicoryford_types::Model;

/// Milliseconds for which a sum holds. It visits every endpoint of the subset, which for each
/// request would cost more than all the rest of its decisions; load reports are older than this
/// anyway, and this entry's own starts and ends are counted at once.
const HOLDS: u64 = 5;

/// The room of each model, as last summed up.
#[derive(Clone, Debug, Default)]
pub struct CapacityCache(HashMap<Model, (Millis, Room)>);

impl CapacityCache {
    /// Gives the room of a model.
    pub fn get(&mut self, routing: &Router, model: &Model, now: Millis) -> Room {
        if let Some((at, room)) = self.0.get(model)
            && now.since(*at) < HOLDS
        {
            return *room;
        }
        let view = routing.view(now, model, None);
        let room = Room { slots: view.slots, load: view.load };
        self.0.insert(model.clone(), (now, room));
        room
    }

    /// Counts an attempt that started since the sum.
    pub fn started(&mut self, model: &Model) {
        if let Some((_, room)) = self.0.get_mut(model) {
            room.load += 1;
        }
    }

    /// Counts an attempt that ended since the sum.
    pub fn ended(&mut self, model: &Model) {
        if let Some((_, room)) = self.0.get_mut(model) {
            room.load = room.load.saturating_sub(1);
        }
    }

    /// Forgets all sums, because endpoints came, went or are leaving.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
