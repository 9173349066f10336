//! One request on its way: from endpoint to endpoint until one answers.

use std::collections::BTreeSet;
use std::time::Duration;

use chicoryford_fleet::crashes::Crash;
use chicoryford_fleet::line::Place;
use chicoryford_fleet::pick::Nowhere;
use chicoryford_fleet::pick::Target;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::message::StatusCode;
use chicoryford_platform::plain;
use chicoryford_types::Millis;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::AttemptResult;
use super::Budget;
use super::CRASHES;
use super::FULL_AFTER_MS;
use super::Forwarder;
use super::NONE_AFTER_MS;
use super::Outcome;
use super::REFUSED_AFTER_MS;
use super::Requester;
use super::attempt::AttemptLog;
use super::attempt::AttemptRecord;
use crate::clock;
use crate::crashes;
use crate::metrics;

/// Multiples of the usual time after which a second attempt starts beside the first. An endpoint
/// that turns slow takes about four times as long; one attempt in some hundred takes three times
/// as long by itself.
const HEDGE: f64 = 3.0;
/// Milliseconds before which no second attempt starts, and when nothing is known of the usual
/// time.
const HEDGE_LEAST_MS: u64 = 60;
/// Milliseconds for which a request waits while endpoints are all full before it is refused. The caller
/// can wait just as well, and another entry may know of room.
const FULL_MS: u64 = 90;

/// One request on its way.
pub(super) struct Dispatch<'a> {
    pub(super) forwarder: &'a Forwarder,
    pub(super) service: &'a str,
    pub(super) route: &'a str,
    pub(super) request: &'a Request,
    pub(super) budget: &'a Budget,
    pub(super) once: bool,
    /// Endpoints that may run it, over all passes.
    pub(super) attempts: u32,
    /// Attempts that are left in this pass.
    pub(super) left: u32,
    pub(super) tried: Vec<String>,
    /// Endpoints that may have run it in this pass, and not before.
    pub(super) added: BTreeSet<String>,
    /// Its place among those that wait while endpoints are full, if it was first there.
    pub(super) place: Option<Place>,
    /// Milliseconds for which it has waited while endpoints were full.
    pub(super) waited_ms: u64,
    /// Attempts that may have run.
    pub(super) runs: u32,
    pub(super) last: Option<Reply>,
    pub(super) began: Millis,
    pub(super) tries: AttemptLog,
    pub(super) user: Requester<'a>,
}

impl Drop for Dispatch<'_> {
    /// Notes for its workspace whether the request began to run, and when. It counts once, however
    /// many endpoints ran it.
    fn drop(&mut self) {
        let Some(usage) = &mut self.user.usage else { return };
        let tries = self.tries.borrow();
        if let Some(began) = tries.iter().filter_map(AttemptRecord::began).min() {
            usage.began(began);
        }
    }
}

impl<'a> Dispatch<'a> {
    /// Carries it until that is settled.
    pub(super) async fn run(&mut self) -> Outcome {
        let mut running = FuturesUnordered::new();
        let mut hedged = self.once || !self.forwarder.second;
        if self.forwarder.queues.is_closed(self.service) && !self.wait().await {
            return self.give_up(Nowhere::AllTried);
        }
        loop {
            if running.is_empty() {
                if self.forwarder.crashes.refuses(self.request, self.user.workspace) {
                    return self.refuse();
                }
                match self.choose() {
                    Ok(target) => running.push(self.start(target)),
                    Err(Nowhere::AllTried) if self.left > 0 && !self.is_bound() => {
                        self.tried.clear();
                        self.forwarder.queues.found_full(self.service);
                        if !self.wait().await {
                            return self.give_up(Nowhere::AllTried);
                        }
                        continue;
                    }
                    Err(nowhere) => return self.give_up(nowhere),
                }
            }
            let hedge = Duration::from_millis(self.hedge_ms());
            let tried = tokio::select! {
                tried = running.next() => tried,
                () = tokio::time::sleep(hedge), if !hedged => {
                    hedged = true;
                    if let Ok(target) = self.choose() {
                        running.push(self.start(target));
                    }
                    continue;
                }
            };
            if let Some(outcome) = tried.and_then(|tried| self.take(tried)) {
                return outcome;
            }
        }
    }

    /// Waits for the turn to ask endpoints that were full; tells whether it came in time.
    async fn wait(&mut self) -> bool {
        let began = clock::now();
        let until = began + FULL_MS.saturating_sub(self.waited_ms);
        let user = (self.user.workspace, self.user.rank);
        let place = self.place.take();
        self.place = self.forwarder.queues.turn(self.service, user, place, until).await;
        self.waited_ms += clock::now().since(began);
        self.place.is_some()
    }

    /// Tells whether an endpoint is ready that was not tried, and that the budget does not allow: then it is
    /// not for want of room that there is none.
    fn is_bound(&self) -> bool {
        let picker = self.forwarder.picker.borrow();
        picker.has_ready(self.service, |id| !self.tried.iter().any(|tried| tried == id))
    }

    fn choose(&mut self) -> Result<Target, Nowhere> {
        if self.left == 0 {
            return Err(Nowhere::AllTried);
        }
        let mut picker = self.forwarder.picker.borrow_mut();
        let spent = self.budget.spent.borrow();
        let live = spent.endpoints.iter().filter(|id| picker.is_ready(id)).count();
        let may_add = live < self.attempts as usize;
        let tried = |id: &str| self.tried.iter().any(|tried| tried == id);
        let preferred = self.budget.shared.as_ref().map(|request| {
            // Those that did not run it are passed over for the next in order.
            let open = |id: &str| !tried(id) || spent.endpoints.contains(id);
            picker.preferred(self.service, request, self.attempts as usize, open)
        });
        let fits = |id: &str| {
            let may_add = may_add && preferred.as_ref().is_none_or(|some| some.contains(id));
            !tried(id) && (may_add || spent.endpoints.contains(id))
        };
        picker.pick(self.service, self.route, fits, clock::now())
    }

    fn start(&mut self, target: Target) -> impl Future<Output = (String, AttemptResult)> + use<'a> {
        let why = match (self.tries.borrow().is_empty(), self.under_way()) {
            (true, _) => "first",
            (false, true) => "beside",
            (false, false) => "again",
        };
        metrics::ATTEMPTS.with_label_values(&[why]).inc();
        self.left -= 1;
        self.runs += 1;
        let id = target.id.clone();
        self.tried.push(id.clone());
        if self.budget.spent.borrow_mut().endpoints.insert(id.clone()) {
            self.added.insert(id.clone());
            self.budget.grown.notify_one();
        }
        let at_ms = clock::now().since(self.began);
        self.tries.borrow_mut().push(AttemptRecord {
            target: target.clone(),
            at_ms,
            sent: None,
            end: None,
        });
        let note = (self.tries.clone(), self.tries.borrow().len() - 1);
        let (forwarder, route, request) = (self.forwarder, self.route, self.request);
        let (deadline, once) = (self.budget.deadline, self.once);
        async move { (id, forwarder.attempt(target, route, request, deadline, once, note).await) }
    }

    /// Tells whether an attempt has not ended yet.
    fn under_way(&self) -> bool {
        self.tries.borrow().iter().any(|one| one.end.is_none())
    }

    /// Takes in how an attempt ended; gives the outcome if that settles the request.
    fn take(&mut self, (id, tried): (String, AttemptResult)) -> Option<Outcome> {
        match tried {
            AttemptResult::Answered(reply) => {
                // Only this status says that the endpoint failed at it; samples are given up for it.
                let failed = reply.status == StatusCode::INTERNAL_SERVER_ERROR;
                self.forwarder.crashes.ran(self.request, self.user.workspace);
                self.budget.spent.borrow_mut().failures += u32::from(failed);
                if self.once || !reply.status.is_server_error() {
                    return Some(Outcome::Answered(reply));
                }
                self.last = Some(reply);
                None
            }
            AttemptResult::NotRun | AttemptResult::Unsent => {
                self.left += 1;
                self.runs -= 1;
                if self.added.remove(&id) {
                    self.budget.spent.borrow_mut().endpoints.remove(&id);
                }
                None
            }
            AttemptResult::Lost => self.once.then_some(Outcome::Lost),
            AttemptResult::Broken(address) => {
                let content = crashes::content(self.request, self.user.workspace);
                self.forwarder.crashes.look(Crash { content, endpoint: id }, address);
                self.once.then_some(Outcome::Lost)
            }
        }
    }

    /// Gives up because others found meanwhile that the content crashes endpoints.
    fn refuse(&mut self) -> Outcome {
        match self.give_up(Nowhere::AllTried) {
            Outcome::NotRun(..) => Outcome::NotRun(CRASHES, REFUSED_AFTER_MS),
            outcome => outcome,
        }
    }

    fn give_up(&mut self, nowhere: Nowhere) -> Outcome {
        match (self.last.take(), nowhere) {
            (Some(reply), _) => Outcome::Answered(reply),
            (None, _) if self.runs > 0 => Outcome::Lost,
            (None, Nowhere::NoneReady) => Outcome::NotRun("no endpoint is ready", NONE_AFTER_MS),
            (None, Nowhere::AllTried) => Outcome::NotRun("all endpoints are full", FULL_AFTER_MS),
        }
    }

    /// Writes down what became of the attempts of a request that was late or failed: with this line
    /// alone it can be told whether an endpoint was slow, failed, or was the only one left. The
    /// others are only counted, so that the volume stays bounded.
    pub(super) fn explain(&self, outcome: &Outcome, target_ms: u64) {
        let ms = clock::now().since(self.began);
        let good = matches!(outcome, Outcome::Answered(reply) if reply.status.is_success());
        if good && ms <= target_ms {
            return;
        }
        let request = plain::attempt(self.request).unwrap_or_default();
        let tries: Vec<String> = self.tries.borrow().iter().map(AttemptRecord::to_string).collect();
        let tries = tries.join("; ");
        let (service, waited_ms) = (self.service, self.waited_ms);
        tracing::info!(event = "request_tried", request, service, tries, waited_ms, ms, target_ms);
    }

    fn hedge_ms(&self) -> u64 {
        let usual = self.forwarder.picker.borrow().usual_ms(self.route);
        usual.map_or(HEDGE_LEAST_MS, |ms| ((ms * HEDGE) as u64).max(HEDGE_LEAST_MS))
    }
}
