//! Connection fallback: another endpoint in place of one that could not be connected to in time.

use chicoryford_fleet::pick::Target;
use futures_util::stream::FuturesUnordered;

use super::dispatch::Dispatch;
use crate::clock;

impl Dispatch<'_> {
    /// Chooses an endpoint in place of one that could not be connected to in time. Attempts that
    /// are still connecting go on beside it only if the request may be repeated and its route
    /// allows one more; otherwise they are abandoned, which closes their connections before the
    /// next one is opened.
    pub(super) fn fall_back<F>(&mut self, running: &mut FuturesUnordered<F>) -> Option<Target> {
        // The attempt may have been connected, or have ended, at the same moment.
        if self.attempts.gate.borrow().fallback_wait(clock::now()) != Some(0) {
            return None;
        }
        let target = self.pick_fallback(running);
        let mut gate = self.attempts.gate.borrow_mut();
        if target.is_some() {
            gate.count_fallback();
        } else {
            gate.defer_fallback(clock::now());
        }
        target
    }

    fn pick_fallback<F>(&mut self, running: &mut FuturesUnordered<F>) -> Option<Target> {
        if !self.at_most_once
            && let Ok(target) = self.pick_endpoint()
        {
            return Some(target);
        }
        if self.attempts.gate.borrow().in_flight() > 0 {
            return None;
        }
        let live: Vec<usize> = self.attempts.gate.borrow().live_attempts().collect();
        let removed: Vec<bool> = live.iter().map(|index| self.uncount(*index)).collect();
        let target = self.pick_endpoint().ok();
        if target.is_some() {
            running.clear();
            return target;
        }
        let records = self.attempts.records.borrow();
        for (index, was_removed) in live.into_iter().zip(removed) {
            self.attempts_left -= 1;
            self.possible_runs += 1;
            if was_removed {
                let id = &records[index].target.id;
                self.budget.spent.borrow_mut().endpoints.insert(id.clone());
                self.new_endpoints.insert(id.clone());
            }
        }
        None
    }
}
