//! Chooses the endpoints of a request, within its budget and the capacity of its service.

use chicoryford_fleet::pick::PickError;
use chicoryford_fleet::pick::Target;

use super::CONNECT_TIMEOUT;
use super::dispatch::Dispatch;
use crate::clock;

/// Milliseconds for which a request waits while all endpoints are full before it is refused. The
/// caller can wait just as well, and another entry may find a free endpoint.
const MAX_FULL_WAIT_MS: u64 = 90;

impl Dispatch<'_> {
    /// Waits in the queue while all endpoints are full. Returns whether the turn came in time.
    pub(super) async fn wait_for_turn(&mut self) -> bool {
        let began = clock::now();
        let until = began + MAX_FULL_WAIT_MS.saturating_sub(self.waited_ms);
        let queued_as = (self.requester.workspace, self.requester.rank);
        let place = self.queue_place.take();
        self.queue_place =
            self.forwarder.queues.wait_for_turn(self.service, queued_as, place, until).await;
        self.waited_ms += clock::now().since(began);
        self.queue_place.is_some()
    }

    /// Returns whether the budget excludes an untried ready endpoint, or any attempt now. Then a
    /// lack of capacity is not the reason that no endpoint can be picked.
    pub(super) fn is_budget_limited(&self) -> bool {
        if !self.budget.permits_send() {
            return true;
        }
        let picker = self.forwarder.picker.borrow();
        picker.has_ready(self.service, |id| !self.tried.iter().any(|tried| tried == id))
    }

    pub(super) fn pick_endpoint(&mut self) -> Result<Target, PickError> {
        if self.attempts_left == 0 || !self.budget.permits_send() {
            return Err(PickError::AllTried);
        }
        let paced = self.paced_endpoints();
        let mut picker = self.forwarder.picker.borrow_mut();
        let may_probe = |id: &str| self.may_try(id) && self.has_window(id);
        if self.can_probe()
            && let Some(target) =
                picker.pick_probe(self.service, self.route, may_probe, clock::now())
        {
            return Ok(target);
        }
        let is_open =
            |id: &str| paced.as_ref().map_or_else(|| self.may_try(id), |paced| paced.contains(id));
        let fits = |id: &str| is_open(id) && self.has_window(id);
        picker.pick(self.service, self.route, fits, clock::now())
    }

    /// Returns whether the request can be used as a probe. If the probe fails, it needs another
    /// attempt and time for it, and a request that may run once would wait for the whole connection
    /// timeout if its connection were not given up earlier.
    pub(super) fn can_probe(&self) -> bool {
        let min_left_ms = 2 * CONNECT_TIMEOUT.as_millis() as u64;
        self.tried.is_empty()
            && self.attempts_left > 1
            && self.budget.left_ms() > min_left_ms
            && (!self.at_most_once || self.forwarder.policy.connect_fallback)
    }

    /// Returns whether the budget allows an endpoint that was not tried yet.
    pub(super) fn may_try(&self, id: &str) -> bool {
        let tried = self.tried.iter().any(|tried| tried == id);
        !tried && self.within_budget(id)
    }

    /// Returns whether the budget allows an endpoint.
    pub(super) fn within_budget(&self, id: &str) -> bool {
        self.budget.allows(id, self.max_endpoints as usize)
    }

    /// Removes an attempt that was not run from the counts. Returns whether its endpoint was removed
    /// from those that may have run the request: it was chosen first in this pass, and no earlier
    /// attempt there may have run.
    pub(super) fn uncount(&mut self, index: usize) -> bool {
        self.attempts_left += 1;
        self.possible_runs -= 1;
        let records = self.attempts.records.borrow();
        let id = &records[index].target.id;
        let may_have_run = records[..index]
            .iter()
            .any(|record| record.target.id == *id && record.began().is_some());
        let was_removed = !may_have_run && self.new_endpoints.remove(id);
        if was_removed {
            self.budget.spent.borrow_mut().endpoints.remove(id);
        }
        was_removed
    }

    /// Removes the endpoints from the budget that were chosen first in this pass and were sent
    /// nothing, so that a later pass may use others in their place.
    pub(super) fn uncount_unsent(&self) {
        let records = self.attempts.records.borrow();
        let was_sent = |id: &String| {
            records.iter().any(|record| record.target.id == *id && record.sent.is_some())
        };
        let mut spent = self.budget.spent.borrow_mut();
        for id in self.new_endpoints.iter().filter(|id| !was_sent(id)) {
            spent.endpoints.remove(id);
        }
    }
}
