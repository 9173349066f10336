//! Dispatches one request: tries endpoints until one answers.

use std::collections::BTreeSet;
use std::time::Duration;

use chicoryford_fleet::crashes::Crash;
use chicoryford_fleet::pick::PickError;
use chicoryford_fleet::pick::Target;
use chicoryford_fleet::wait_queue::QueuePosition;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::message::StatusCode;
use chicoryford_kernel::run_time;
use chicoryford_platform::request;
use chicoryford_types::Millis;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::AttemptResult;
use super::Budget;
use super::CRASHING_CONTENT;
use super::FULL_RETRY_AFTER_MS;
use super::Forwarder;
use super::NOT_READY_RETRY_AFTER_MS;
use super::Outcome;
use super::REFUSED_RETRY_AFTER_MS;
use super::Requester;
use super::attempt::AttemptLog;
use super::attempt::AttemptRecord;
use crate::clock;
use crate::crashes;
use crate::metrics;

/// Multiple of the usual response time after which a second attempt starts concurrently. An
/// endpoint that becomes slow takes about four times as long; about one attempt in a hundred takes
/// three times as long by chance.
const HEDGE_FACTOR: f64 = 3.0;
/// Minimum time before a second attempt in milliseconds, also used while the usual response time is
/// unknown.
const MIN_HEDGE_MS: u64 = 60;
/// Milliseconds for which a request waits while all endpoints are full before it is refused. The
/// caller can wait just as well, and another entry may find a free endpoint.
const MAX_FULL_WAIT_MS: u64 = 90;

/// The state of one request in one pass.
pub(super) struct Dispatch<'a> {
    pub(super) forwarder: &'a Forwarder,
    pub(super) service: &'a str,
    pub(super) route: &'a str,
    pub(super) request: &'a Request,
    pub(super) budget: &'a Budget,
    pub(super) at_most_once: bool,
    /// Maximum number of endpoints that may run the request, over all passes.
    pub(super) max_endpoints: u32,
    /// Remaining attempts in this pass.
    pub(super) attempts_left: u32,
    pub(super) tried: Vec<String>,
    /// Endpoints that may have run the request in this pass for the first time.
    pub(super) new_endpoints: BTreeSet<String>,
    /// Its place in the queue for endpoints with free capacity, once it has reached the head.
    pub(super) queue_place: Option<QueuePosition>,
    /// Milliseconds for which it has waited because all endpoints were full.
    pub(super) waited_ms: u64,
    /// Number of attempts that may have run.
    pub(super) possible_runs: u32,
    pub(super) last_failure: Option<Reply>,
    pub(super) began: Millis,
    pub(super) attempt_log: AttemptLog,
    /// Whether its outcome was logged, or did not have to be.
    pub(super) is_logged: bool,
    /// Whether an endpoint has answered.
    pub(super) is_answered: bool,
    pub(super) requester: Requester<'a>,
}

impl Drop for Dispatch<'_> {
    /// Logs the attempts of a request that was dropped, and records for its workspace whether and when
    /// the request began to run. It counts once, however many endpoints ran it.
    fn drop(&mut self) {
        if !self.is_logged && !self.tried.is_empty() {
            self.log(None);
        }
        self.record_unanswered();
        let Some(usage) = &mut self.requester.usage else { return };
        let tries = self.attempt_log.borrow();
        if let Some(began) = tries.iter().filter_map(AttemptRecord::began).min() {
            usage.record_start(began);
        }
    }
}

impl<'a> Dispatch<'a> {
    /// Tries endpoints until the outcome is known.
    pub(super) async fn run(&mut self) -> Outcome {
        let mut running = FuturesUnordered::new();
        let mut hedged = self.at_most_once || !self.forwarder.hedging;
        if self.forwarder.queues.must_wait(self.service) && !self.wait_for_turn().await {
            return self.give_up(PickError::AllTried);
        }
        loop {
            if running.is_empty() {
                if self.forwarder.crashes.refuses(self.request, self.requester.workspace) {
                    return self.refuse_content();
                }
                match self.pick_endpoint() {
                    Ok(target) => running.push(self.start_attempt(target)),
                    Err(PickError::AllTried)
                        if self.attempts_left > 0 && !self.is_budget_limited() =>
                    {
                        self.tried.clear();
                        self.forwarder.queues.record_full(self.service);
                        if !self.wait_for_turn().await {
                            return self.give_up(PickError::AllTried);
                        }
                        continue;
                    }
                    Err(nowhere) => return self.give_up(nowhere),
                }
            }
            let hedge = Duration::from_millis(self.hedge_ms());
            let tried = tokio::select! {
                tried = running.next() => tried,
                () = run_time::sleep(hedge), if !hedged => {
                    hedged = true;
                    if let Ok(target) = self.pick_endpoint() {
                        running.push(self.start_attempt(target));
                    }
                    continue;
                }
            };
            if let Some(outcome) = tried.and_then(|tried| self.handle_result(tried)) {
                return outcome;
            }
        }
    }

    /// Waits in the queue while all endpoints are full. Returns whether the turn came in time.
    async fn wait_for_turn(&mut self) -> bool {
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
    fn is_budget_limited(&self) -> bool {
        if !self.budget.permits_send() {
            return true;
        }
        let picker = self.forwarder.picker.borrow();
        picker.has_ready(self.service, |id| !self.tried.iter().any(|tried| tried == id))
    }

    fn pick_endpoint(&mut self) -> Result<Target, PickError> {
        if self.attempts_left == 0 || !self.budget.permits_send() {
            return Err(PickError::AllTried);
        }
        let mut picker = self.forwarder.picker.borrow_mut();
        let tried = |id: &str| self.tried.iter().any(|tried| tried == id);
        let limit = self.max_endpoints as usize;
        let fits = |id: &str| !tried(id) && self.budget.allows(id, limit);
        // A probe may fail, after which the request needs another attempt.
        if self.tried.is_empty()
            && self.attempts_left > 1
            && let Some(target) = picker.pick_probe(self.service, self.route, fits, clock::now())
        {
            return Ok(target);
        }
        picker.pick(self.service, self.route, fits, clock::now())
    }

    fn start_attempt(
        &mut self,
        target: Target,
    ) -> impl Future<Output = (String, AttemptResult)> + use<'a> {
        let why = match (self.attempt_log.borrow().is_empty(), self.in_progress()) {
            (true, _) => "first",
            (false, true) => "beside",
            (false, false) => "again",
        };
        metrics::ATTEMPTS.with_label_values(&[why]).inc();
        self.attempts_left -= 1;
        self.possible_runs += 1;
        let id = target.id.clone();
        self.tried.push(id.clone());
        if self.budget.spent.borrow_mut().endpoints.insert(id.clone()) {
            self.new_endpoints.insert(id.clone());
            self.budget.changed.notify_one();
        }
        let at_ms = clock::now().since(self.began);
        self.attempt_log.borrow_mut().push(AttemptRecord {
            target: target.clone(),
            at_ms,
            sent: None,
            end: None,
        });
        let record = (self.attempt_log.clone(), self.attempt_log.borrow().len() - 1);
        let (forwarder, route, request) = (self.forwarder, self.route, self.request);
        let (budget, at_most_once) = (self.budget, self.at_most_once);
        async move {
            (id, forwarder.attempt(target, route, request, budget, at_most_once, record).await)
        }
    }

    /// Returns whether an attempt is in progress.
    fn in_progress(&self) -> bool {
        self.attempt_log.borrow().iter().any(|attempt| attempt.end.is_none())
    }

    /// Handles the result of an attempt. Returns the outcome if it decides the request.
    fn handle_result(&mut self, (id, tried): (String, AttemptResult)) -> Option<Outcome> {
        match tried {
            AttemptResult::Answered(reply) => {
                self.is_answered = true;
                // Only this status means that the endpoint failed to process the request; samples
                // are given up because of it.
                let failed = reply.status == StatusCode::INTERNAL_SERVER_ERROR;
                self.forwarder.crashes.record_completion(self.request, self.requester.workspace);
                self.budget.spent.borrow_mut().failures += u32::from(failed);
                // A failure of a shared call is recorded before the call is repeated.
                let is_final = self.at_most_once || (failed && self.budget.is_shared());
                if is_final || !reply.status.is_server_error() {
                    return Some(Outcome::Answered(reply));
                }
                self.last_failure = Some(reply);
                None
            }
            AttemptResult::NotRun | AttemptResult::Unsent => {
                self.attempts_left += 1;
                self.possible_runs -= 1;
                if self.new_endpoints.remove(&id) {
                    self.budget.spent.borrow_mut().endpoints.remove(&id);
                }
                None
            }
            AttemptResult::Lost => self.at_most_once.then_some(Outcome::Lost),
            AttemptResult::Broken(address) => {
                let content = crashes::content_fingerprint(self.request, self.requester.workspace);
                self.forwarder.crashes.probe(Crash { content, endpoint: id }, address);
                self.at_most_once.then_some(Outcome::Lost)
            }
        }
    }

    /// Gives up because the content has been found to crash endpoints in the meantime.
    fn refuse_content(&mut self) -> Outcome {
        match self.give_up(PickError::AllTried) {
            Outcome::NotRun(..) => Outcome::NotRun(CRASHING_CONTENT, REFUSED_RETRY_AFTER_MS),
            outcome => outcome,
        }
    }

    fn give_up(&mut self, nowhere: PickError) -> Outcome {
        match (self.last_failure.take(), nowhere) {
            (Some(reply), _) => Outcome::Answered(reply),
            (None, _) if self.possible_runs > 0 => Outcome::Lost,
            (None, PickError::NoneReady) => {
                Outcome::NotRun("no endpoint is ready", NOT_READY_RETRY_AFTER_MS)
            }
            (None, PickError::AllTried) => {
                Outcome::NotRun("all endpoints are full", FULL_RETRY_AFTER_MS)
            }
        }
    }

    /// Logs the attempts of a request that was late or failed. This line alone shows whether an
    /// endpoint was slow, failed, or was the only one left. Other requests are only counted, which
    /// bounds the volume of the log.
    pub(super) fn log_attempts(&mut self, outcome: &Outcome, target_ms: u64) {
        self.is_logged = true;
        let ms = clock::now().since(self.began);
        let good = matches!(outcome, Outcome::Answered(reply) if reply.status.is_success());
        if !good || ms > target_ms {
            self.log(Some(target_ms));
        }
    }

    /// Records the attempts that were in progress when the request ended without any answer.
    fn record_unanswered(&self) {
        let tries = self.attempt_log.borrow();
        let dropped = tries.iter().filter(|attempt| !self.is_answered && attempt.was_dropped());
        for attempt in dropped {
            let content = crashes::content_fingerprint(self.request, self.requester.workspace);
            let endpoint = attempt.target.id.clone();
            self.forwarder.crashes.record_unanswered(Crash { content, endpoint });
        }
    }

    /// Logs the attempts. `target_ms` is `None` if the request was dropped.
    fn log(&self, target_ms: Option<u64>) {
        let ms = clock::now().since(self.began);
        let dropped = target_ms.is_none();
        let request = request::attempt_id(self.request).unwrap_or_default();
        let tries: Vec<String> =
            self.attempt_log.borrow().iter().map(AttemptRecord::to_string).collect();
        let tries = tries.join("; ");
        let (service, waited_ms) = (self.service, self.waited_ms);
        tracing::info!(
            event = "request_tried",
            request,
            service,
            tries,
            waited_ms,
            ms,
            target_ms,
            dropped
        );
    }

    fn hedge_ms(&self) -> u64 {
        let usual = self.forwarder.picker.borrow().median_ms(self.route);
        usual.map_or(MIN_HEDGE_MS, |ms| ((ms * HEDGE_FACTOR) as u64).max(MIN_HEDGE_MS))
    }
}
