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

use super::Budget;
use super::Forwarder;
use super::dispatch::Dispatch;
use super::gate::Attempts;
use crate::clock;
use crate::message::Update;
use crate::metrics;

/// The windows of this host, and the calls that wait for them.
#[derive(Default)]
pub(super) struct Pacing {
    pacer: RefCell<Pacer>,
    turns: RefCell<BTreeMap<CallPlace, Rc<Notify>>>,
    /// The endpoints that were last known to be unreachable, with their start times.
    marks: RefCell<BTreeMap<String, u64>>,
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

    /// Wakes the calls that depend on the state of one of these endpoints.
    pub(super) fn wake_affected(&self, changed: &BTreeSet<String>) {
        let affected = self.pacer.borrow().affected_calls(changed);
        let turns = self.turns.borrow();
        affected.iter().filter_map(|place| turns.get(place)).for_each(|turn| turn.notify_one());
    }

    /// Wakes the calls that depend on endpoints which have become reachable or unreachable. The
    /// marks are `None` if they are too old.
    pub(super) fn record_marks(&self, marks: Option<&BTreeMap<String, u64>>) {
        let none = BTreeMap::new();
        let marks = marks.unwrap_or(&none);
        let mut known = self.marks.borrow_mut();
        if *known == *marks {
            return;
        }
        let either = known.keys().chain(marks.keys());
        let changed = either.filter(|id| known.get(*id) != marks.get(*id)).cloned().collect();
        known.clone_from(marks);
        self.wake_affected(&changed);
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

/// A call that is woken when the state of its endpoints changes, until this is dropped.
struct Watch<'a> {
    pacing: &'a Pacing,
    place: CallPlace,
    turn: Rc<Notify>,
}

impl<'a> Watch<'a> {
    fn new(pacing: &'a Pacing, place: CallPlace) -> Self {
        let turn = Rc::new(Notify::new());
        pacing.turns.borrow_mut().insert(place, turn.clone());
        Self { pacing, place, turn }
    }

    /// Waits until the call is woken, or may use more endpoints.
    async fn woken(&self, budget: &Budget) {
        self.pacing.pacer.borrow_mut().watch(self.place, budget.granted(|_| true));
        tokio::select! {
            () = self.turn.notified() => {}
            () = budget.widened.notified() => {}
        }
    }
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        self.pacing.turns.borrow_mut().remove(&self.place);
        self.pacing.pacer.borrow_mut().unwatch(self.place);
    }
}

/// A call in the queue; dropping it removes it.
struct QueuedCall<'a> {
    watch: Watch<'a>,
    route: &'a str,
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
        if paced_ms.is_some() {
            metrics::SCORER_CALLS_WAITING.inc();
        }
        Self { watch: Watch::new(pacing, place), route, began: clock::now(), paced_ms }
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
        self.watch.pacing.pacer.borrow_mut().leave(self.watch.place);
        self.watch.pacing.wake_next();
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
        let pacing = self.forwarder.pacing.as_deref().filter(|_| self.budget.is_shared())?;
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

    /// Returns the endpoints that could be tried now if their windows were not full.
    fn wanted_endpoints(&self) -> BTreeSet<String> {
        if self.budget.permits_send() { self.open_endpoints() } else { BTreeSet::new() }
    }

    /// Returns the endpoints that could be tried while the request may be sent, if their windows
    /// were not full: those that were not tried, and those at which an attempt was abandoned and
    /// which are reachable again. A full window of a reachable endpoint is no reason to try an
    /// unreachable one.
    fn open_endpoints(&self) -> BTreeSet<String> {
        if self.attempts_left == 0 {
            return BTreeSet::new();
        }
        let picker = self.forwarder.picker.borrow();
        let now = clock::now();
        let may_return = |id: &str| self.abandoned.contains(id) && !picker.is_unreachable(id, now);
        let is_open = |id: &str| self.may_try(id) || may_return(id) && self.within_budget(id);
        let ids = self.budget.granted(|id| picker.serves(self.service, id) && is_open(id));
        picker.prefer_reachable(ids, now)
    }

    /// Returns the endpoints for which the request waits if their windows are full, or `None` if it
    /// is not paced. Whether it may be sent now is not considered: that also changes with time,
    /// which wakes no call.
    pub(super) fn paced_endpoints(&self) -> Option<BTreeSet<String>> {
        self.pacing().map(|_| self.open_endpoints())
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
            // Without this condition, each of many waiting calls would examine the whole queue
            // whenever it is woken.
            let given_up = pacing.pacer.borrow_mut().wait(place, wanted);
            if given_up {
                pacing.wake_next();
            }
            queued.watch.woken(self.budget).await;
        }
    }

    /// Waits until the attempts in flight of a paced call are cut off. Returns false at once if the
    /// call is not paced.
    pub(super) async fn paced_cut_off(&self) -> bool {
        let Some((pacing, place)) = self.pacing() else { return false };
        let watch = Watch::new(pacing, place);
        while !self.is_cut_off() {
            tokio::select! {
                () = watch.woken(self.budget) => {}
                () = self.attempts.sent.notified() => {}
            }
        }
        true
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

    /// Waits until a second attempt is due, and for a window for it if it would be sent, which is
    /// checked again whenever the call is woken. One that would not be sent must not wait: nothing
    /// of this call would use the window. Without a timer, none is due. Returns whether the call
    /// was cut off instead: its next attempt is a first one again, which must not wait behind the
    /// first attempts of later calls.
    ///
    /// The timer outlives this future, which is created anew after each event of the request, so
    /// such an event does not extend the wait.
    pub(super) async fn hedge_due(&self, timer: Option<Rc<RunTimer>>, pause: Duration) -> bool {
        match timer {
            Some(timer) => timer.expired(pause).await,
            None => std::future::pending().await,
        }
        let Some((pacing, place)) = self.pacing() else { return false };
        let is_due = || self.would_hedge();
        tokio::select! {
            biased;
            is_cut_off = self.paced_cut_off() => is_cut_off,
            () = self.wait_in_queue(pacing, place.for_second(), None, is_due) => false,
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
