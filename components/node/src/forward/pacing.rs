//! Queue of scorers' calls at this host while the windows of their endpoints are full.
//!
//! `chicoryford_fleet::pacing` decides which call is next; this module wakes it, and reports how
//! its attempts end.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::pacing::CallPlace;
use chicoryford_fleet::pacing::Pacer;
use chicoryford_fleet::pick::AttemptOutcome;
use chicoryford_kernel::run_time;
use chicoryford_kernel::run_time::RunTimer;
use chicoryford_types::Millis;
use tokio::sync::Notify;

use super::Forwarder;
use super::dispatch::Dispatch;
use super::gate::Attempts;
use crate::clock;
use crate::message::Update;
use crate::metrics;

/// Interval at which a waiting call checks again which endpoints it may use. Its grant may be
/// extended and endpoints may end while it waits, which does not wake it.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The windows of this host, and the calls that wait for them.
#[derive(Default)]
pub(super) struct Pacing {
    pacer: RefCell<Pacer>,
    turns: RefCell<BTreeMap<CallPlace, Rc<Notify>>>,
}

impl Pacing {
    pub(super) fn set_hosts(&self, hosts: u32) {
        self.pacer.borrow_mut().set_hosts(hosts);
        self.wake_next();
    }

    pub(super) fn apply(&self, update: &Update) {
        match update {
            Update::Endpoint(endpoint) => self.pacer.borrow_mut().observe(endpoint),
            Update::Forgotten(id) => self.pacer.borrow_mut().forget(id),
            _ => return,
        }
        self.wake_next();
    }

    /// Wakes the first call that may be sent now. When it has been sent or has left the queue, the
    /// next one is woken.
    fn wake_next(&self) {
        let next = self.pacer.borrow().next_call();
        if let Some(turn) = next.and_then(|place| self.turns.borrow().get(&place).cloned()) {
            turn.notify_one();
        }
    }
}

/// A call in the queue; dropping it removes it.
struct QueuedCall<'a> {
    pacing: &'a Pacing,
    place: CallPlace,
    route: &'a str,
    turn: Rc<Notify>,
    began: Millis,
    /// The time for which the call has waited in all; `None` for a second attempt, whose wait does
    /// not delay the first one.
    paced_ms: Option<&'a Cell<u64>>,
}

impl<'a> QueuedCall<'a> {
    fn new(
        pacing: &'a Pacing,
        place: CallPlace,
        route: &'a str,
        paced_ms: Option<&'a Cell<u64>>,
    ) -> Self {
        let turn = Rc::new(Notify::new());
        pacing.turns.borrow_mut().insert(place, turn.clone());
        if paced_ms.is_some() {
            metrics::SCORER_CALLS_WAITING.inc();
        }
        Self { pacing, place, route, turn, began: clock::now(), paced_ms }
    }
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        if let Some(paced_ms) = self.paced_ms {
            let waited = clock::now().since(self.began);
            paced_ms.set(paced_ms.get() + waited);
            metrics::SCORER_CALLS_WAITING.dec();
            let seconds = Duration::from_millis(waited).as_secs_f64();
            metrics::SCORER_WAIT_SECONDS.with_label_values(&[self.route]).observe(seconds);
        }
        self.pacing.turns.borrow_mut().remove(&self.place);
        self.pacing.pacer.borrow_mut().leave(self.place);
        self.pacing.wake_next();
    }
}

/// An attempt of a scorer's call, which counts against the window of its endpoint until it is
/// dropped.
pub(super) struct PacedAttempt<'a> {
    forwarder: &'a Forwarder,
    pacing: &'a Pacing,
    id: String,
    route: &'a str,
    /// The attempts of the request, and the index of this one.
    record: (Rc<Attempts>, usize),
}

impl Drop for PacedAttempt<'_> {
    fn drop(&mut self) {
        let (attempts, index) = &self.record;
        let end = attempts.records.borrow().get(*index).and_then(|record| record.end);
        let outcome = end.map_or(AttemptOutcome::Dropped(0), |(outcome, _)| outcome);
        let baseline = self.forwarder.picker.borrow().baseline_ms(self.route);
        if self.pacing.pacer.borrow_mut().record_end(&self.id, outcome, baseline) {
            metrics::SCORER_WINDOW_CUTS.inc();
        }
        self.pacing.wake_next();
    }
}

impl<'a> Dispatch<'a> {
    /// Returns the windows and the place of the call in the queue, if it is a scorer's call and
    /// these are paced.
    fn pacing(&self) -> Option<(&'a Pacing, CallPlace)> {
        let pacing = self.forwarder.pacing.as_ref().filter(|_| self.budget.is_shared())?;
        let place = self.budget.place.get().unwrap_or_else(|| {
            let place = pacing.pacer.borrow_mut().assign_place(self.requester.rank);
            self.budget.place.set(Some(place));
            place
        });
        Some((pacing, place))
    }

    /// Returns whether the window of an endpoint is not full for this request.
    pub(super) fn has_window(&self, id: &str) -> bool {
        self.pacing().is_none_or(|(pacing, place)| {
            let place = if self.picks_second.get() { place.for_second() } else { place };
            pacing.pacer.borrow().admits(place, id)
        })
    }

    /// Returns the endpoints that could be tried now if their windows were not full. A full window
    /// of a reachable endpoint is no reason to try an unreachable one.
    fn wanted_endpoints(&self) -> BTreeSet<String> {
        if self.attempts_left == 0 || !self.budget.permits_send() {
            return BTreeSet::new();
        }
        let picker = self.forwarder.picker.borrow();
        let ids = self.budget.granted(|id| picker.serves(self.service, id) && self.may_try(id));
        picker.prefer_reachable(ids, clock::now())
    }

    /// Returns the endpoints for which the request waits if their windows are full, or `None` if it
    /// is not paced.
    pub(super) fn paced_endpoints(&self) -> Option<BTreeSet<String>> {
        self.pacing().map(|_| self.wanted_endpoints())
    }

    /// Returns whether only full windows prevent an attempt.
    pub(super) fn is_paced(&self) -> bool {
        let wanted = self.wanted_endpoints();
        !wanted.is_empty() && !wanted.iter().any(|id| self.has_window(id))
    }

    /// Waits while only full windows prevent an attempt.
    pub(super) async fn wait_for_window(&self) {
        let Some((pacing, place)) = self.pacing() else { return };
        self.wait_in_queue(pacing, place, Some(&self.paced_ms), || true).await;
    }

    /// Waits while `is_due` returns true and only full windows prevent an attempt.
    async fn wait_in_queue(
        &self,
        pacing: &Pacing,
        place: CallPlace,
        paced_ms: Option<&Cell<u64>>,
        is_due: impl Fn() -> bool,
    ) {
        let mut queued = None;
        while is_due() {
            let wanted = self.wanted_endpoints();
            let is_admitted = |id: &String| pacing.pacer.borrow().admits(place, id);
            if wanted.is_empty() || wanted.iter().any(is_admitted) {
                return;
            }
            let queued =
                queued.get_or_insert_with(|| QueuedCall::new(pacing, place, self.route, paced_ms));
            // Without this condition, each of many waiting calls would examine the whole queue at
            // each check.
            let given_up = pacing.pacer.borrow_mut().wait(place, wanted);
            if given_up {
                pacing.wake_next();
            }
            tokio::select! {
                () = queued.turn.notified() => {}
                () = tokio::time::sleep(RECHECK_INTERVAL) => {}
            }
        }
    }

    /// Waits before the first attempt of a pass. A pass is as long as an answer may take, so the
    /// wait must not shorten it: the attempt would be cancelled although the endpoint works on it.
    pub(super) async fn wait_before_pass(&self) {
        if self.pacing().is_none() {
            return;
        }
        let left = Duration::from_millis(self.budget.left_ms());
        // The caller of this function checks the time left.
        let _ = run_time::deadline(left, self.wait_for_window()).await;
    }

    /// Waits until a second attempt is due, and for a window for it while it would be sent. One
    /// that would not be sent must not wait: nothing of this call would use the window. Without a
    /// timer, none is due.
    ///
    /// The timer outlives this future, which is created anew after each event of the request, so
    /// such an event does not extend the wait.
    pub(super) async fn hedge_due(&self, timer: Option<Rc<RunTimer>>, pause: Duration) {
        match timer {
            Some(timer) => timer.expired(pause).await,
            None => std::future::pending().await,
        }
        if let Some((pacing, place)) = self.pacing() {
            let is_due = || self.would_hedge();
            self.wait_in_queue(pacing, place.for_second(), None, is_due).await;
        }
    }

    /// Counts an attempt that starts now against the window of its endpoint.
    pub(super) fn start_paced(&self, id: &str, index: usize) -> Option<PacedAttempt<'a>> {
        let (pacing, _) = self.pacing()?;
        pacing.pacer.borrow_mut().record_start(id);
        pacing.wake_next();
        let (forwarder, record) = (self.forwarder, (self.attempts.clone(), index));
        Some(PacedAttempt { forwarder, pacing, id: id.to_owned(), route: self.route, record })
    }
}
