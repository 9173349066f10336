//! Dispatches one request: tries endpoints until one answers.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::crashes::Crash;
use chicoryford_fleet::hedge::HedgeDecision;
use chicoryford_fleet::pick::PickError;
use chicoryford_fleet::pick::Target;
use chicoryford_fleet::wait_queue::QueuePosition;
use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::message::StatusCode;
use chicoryford_kernel::run_time;
use chicoryford_kernel::run_time::RunTimer;
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
use super::attempt::Attempt;
use super::attempt::AttemptReason;
use super::attempt::AttemptRecord;
use super::gate::Attempts;
use crate::clock;
use crate::crashes;
use crate::metrics;

/// Minimum milliseconds before a connection fallback. In this time, the thread reads its sockets,
/// and may find that the connection was established while it did not run.
const MIN_WAIT_MS: u64 = 1;

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
    /// Endpoints at which the latest attempt of a paced call was abandoned because they were
    /// unreachable.
    pub(super) abandoned: BTreeSet<String>,
    /// Endpoints that may have run the request in this pass for the first time.
    pub(super) new_endpoints: BTreeSet<String>,
    /// Its place in the queue for endpoints with free capacity, once it has reached the head.
    pub(super) queue_place: Option<QueuePosition>,
    /// Milliseconds for which it has waited because all endpoints were full.
    pub(super) waited_ms: u64,
    /// Milliseconds for which its first attempts have waited because the windows of its endpoints
    /// were full.
    pub(super) paced_ms: Cell<u64>,
    /// Whether the endpoint of a second attempt is being chosen, which other calls may be ahead of.
    pub(super) picks_second: Cell<bool>,
    /// Number of attempts that may have run.
    pub(super) possible_runs: u32,
    pub(super) last_failure: Option<Reply>,
    pub(super) began: Millis,
    pub(super) attempts: Rc<Attempts>,
    /// What was decided when a second attempt was due.
    pub(super) hedge: Option<HedgeDecision>,
    /// The attempt that was answered with success.
    pub(super) winner: Option<usize>,
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
        self.uncount_unsent();
        self.record_unanswered();
        self.record_seconds();
        let Some(usage) = &mut self.requester.usage else { return };
        let tries = self.attempts.records.borrow();
        if let Some(began) = tries.iter().filter_map(AttemptRecord::began).min() {
            usage.record_start(began);
        }
    }
}

impl<'a> Dispatch<'a> {
    /// Tries endpoints until the outcome is known.
    pub(super) async fn run(&mut self) -> Outcome {
        let mut running = FuturesUnordered::new();
        let mut hedged = self.at_most_once;
        let fallback = self.forwarder.policy.connect_fallback;
        let may_give_up = !self.at_most_once && self.forwarder.policy.shared_reachability;
        if self.forwarder.queues.must_wait(self.service) && !self.wait_for_turn().await {
            return self.give_up(PickError::AllTried);
        }
        loop {
            let is_idle = running.is_empty();
            // After a failure, an attempt that was held is sent next.
            let sends_next = is_idle || (fallback && self.attempts.gate.borrow().in_flight() == 0);
            if sends_next && self.is_refused() {
                return self.refuse_content();
            }
            if is_idle {
                let is_first = self.attempts.records.borrow().is_empty();
                let reason = if is_first { AttemptReason::First } else { AttemptReason::Again };
                match self.pick_endpoint() {
                    Ok(target) => running.push(self.start_attempt(target, reason)),
                    Err(PickError::AllTried) if self.is_paced() => {
                        self.wait_for_window().await;
                        continue;
                    }
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
            // With the fallback, a second attempt is due only after an attempt was sent.
            let is_sent = !fallback || self.attempts.gate.borrow().awaits_reply();
            let fallback_ms = self.attempts.gate.borrow().fallback_wait(clock::now());
            let fallback_wait =
                Duration::from_millis(fallback_ms.unwrap_or_default().max(MIN_WAIT_MS));
            let attempts = self.attempts.clone();
            let hedge_timer = attempts.hedge_timer().filter(|_| !hedged && is_sent);
            // A connection that is established when the time is up counts as in time.
            let tried = tokio::select! {
                biased;
                tried = running.next() => tried,
                () = attempts.sent.notified(), if !hedged => continue,
                () = run_time::sleep(fallback_wait), if fallback_ms.is_some() => {
                    if let Some(target) = self.fall_back(&mut running) {
                        running.push(self.start_attempt(target, AttemptReason::Connect));
                    }
                    continue;
                }
                is_cut_off = self.hedge_due(hedge_timer, hedge) => {
                    if is_cut_off {
                        self.abandon_attempts(&mut running);
                        continue;
                    }
                    hedged = true;
                    if let Some(target) = self.hedge() {
                        running.push(self.start_attempt(target, AttemptReason::Beside));
                    }
                    continue;
                }
                () = self.cut_off_check(), if hedged && may_give_up => {
                    if self.is_cut_off() {
                        self.abandon_attempts(&mut running);
                    }
                    continue;
                }
            };
            if let Some(outcome) = tried.and_then(|tried| self.handle_result(tried)) {
                return outcome;
            }
            let gate = self.attempts.gate.borrow();
            let needs_no_permit = gate.in_flight() == 0 || gate.live() <= 1;
            drop(gate);
            if needs_no_permit {
                self.refund();
            }
        }
    }

    fn start_attempt(
        &mut self,
        target: Target,
        reason: AttemptReason,
    ) -> impl Future<Output = (usize, AttemptResult)> + use<'a> {
        metrics::ATTEMPTS.with_label_values(&[reason.as_str()]).inc();
        self.attempts_left -= 1;
        self.possible_runs += 1;
        let id = target.id.clone();
        self.tried.push(id.clone());
        self.abandoned.remove(&id);
        if self.budget.spent.borrow_mut().endpoints.insert(id.clone()) {
            self.new_endpoints.insert(id);
            self.budget.changed.notify_one();
        }
        let began = clock::now();
        let index = self.attempts.gate.borrow_mut().start(began);
        if !self.forwarder.policy.connect_fallback {
            // Without the fallback, a second attempt is the only help against an endpoint that does
            // not accept the connection, so the time counts before the request is sent too.
            self.attempts.start_hedge_timer();
        }
        self.attempts.records.borrow_mut().push(AttemptRecord {
            target: target.clone(),
            reason,
            at_ms: began.since(self.began),
            sent: None,
            end: None,
        });
        let (forwarder, request, budget) = (self.forwarder, self.request, self.budget);
        let paced = self.start_paced(&target.id, index);
        // The attempt exists from here on, so that its end is recorded even if the future is
        // dropped before it is polled.
        let attempt = Attempt {
            forwarder,
            target,
            service: self.service,
            route: self.route,
            at_most_once: self.at_most_once,
            began,
            timer: RunTimer::start(),
            ended: false,
            record: (self.attempts.clone(), index),
        };
        async move {
            let _paced = paced;
            (index, forwarder.attempt(attempt, request, budget).await)
        }
    }

    /// Handles the result of an attempt. Returns the outcome if it decides the request.
    fn handle_result(&mut self, (index, tried): (usize, AttemptResult)) -> Option<Outcome> {
        let id = self.attempts.records.borrow()[index].target.id.clone();
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
                if !reply.status.is_server_error() {
                    self.winner = Some(index);
                }
                if is_final || !reply.status.is_server_error() {
                    return Some(Outcome::Answered(reply));
                }
                self.last_failure = Some(reply);
                None
            }
            AttemptResult::NotRun | AttemptResult::Unsent => {
                self.uncount(index);
                None
            }
            AttemptResult::Lost => self.at_most_once.then_some(Outcome::Lost),
            AttemptResult::Broken(address) => {
                self.budget.broken.set(self.budget.broken() + 1);
                if !self.budget.is_owed() {
                    let workspace = self.requester.workspace;
                    let content = crashes::content_fingerprint(self.request, workspace);
                    self.forwarder.crashes.probe(Crash { content, endpoint: id }, address);
                }
                self.at_most_once.then_some(Outcome::Lost)
            }
        }
    }

    /// Returns whether the content has been found to crash endpoints.
    fn is_refused(&self) -> bool {
        let workspace = self.requester.workspace;
        !self.budget.is_owed() && self.forwarder.crashes.refuses(self.request, workspace)
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
        let tries = self.attempts.records.borrow();
        let is_accused = !self.is_answered && !self.budget.is_owed();
        let dropped = tries.iter().filter(|attempt| is_accused && attempt.was_dropped());
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
            self.attempts.records.borrow().iter().map(AttemptRecord::to_string).collect();
        let tries = tries.join("; ");
        let (service, waited_ms) = (self.service, self.waited_ms);
        let paced_ms = self.budget.is_shared().then(|| self.paced_ms.get());
        let hedge = self.hedge.map(HedgeDecision::as_str);
        tracing::info!(
            event = "request_tried",
            request,
            service,
            tries,
            hedge,
            waited_ms,
            paced_ms,
            ms,
            target_ms,
            dropped
        );
    }
}
