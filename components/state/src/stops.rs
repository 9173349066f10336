//! Planned stops.

use chicoryford_types::Change;
use chicoryford_types::StopId;
use chicoryford_types::config::Stop;

use crate::command::Refusal;
use crate::command::Reply;
use crate::machine::State;

/// Maximum number of planned stops in force.
pub const MAX_STOPS: usize = 1_024;

impl State {
    /// Puts a stop in force. An id that already refers to another target is refused, so that one
    /// operator's stop does not silently become another's. A new deadline replaces the old one.
    pub(crate) fn plan_stop(&mut self, id: StopId, stop: Stop) -> Reply {
        match self.config.stops.get(&id) {
            Some(planned) if planned.target != stop.target => return Refusal::Moved.into(),
            None if self.config.stops.len() >= MAX_STOPS => return Refusal::Full.into(),
            _ => {}
        }
        let stop = Stop { accepted: self.now, ..stop };
        let at = self.accept(Change::Stop(id, stop));
        Reply::Accepted { at, version: 0 }
    }

    pub(crate) fn cancel_stop(&mut self, id: StopId) -> Reply {
        if !self.config.stops.contains_key(&id) {
            return Refusal::Missing.into();
        }
        let at = self.accept(Change::StopRemoved(id));
        Reply::Accepted { at, version: 0 }
    }
}
