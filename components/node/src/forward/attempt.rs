//! One attempt at an endpoint, and its record for the log.

use std::rc::Rc;
use std::time::Duration;

use chicoryford_fleet::hedge::CONNECT_FALLBACK_MS;
use chicoryford_fleet::hedge::SendOrder;
use chicoryford_fleet::pick::AttemptOutcome;
use chicoryford_fleet::pick::Target;
use chicoryford_http::ExchangeError;
use chicoryford_http::Request;
use chicoryford_kernel::run_time::RunTimer;
use chicoryford_platform::request;
use chicoryford_types::Millis;

use super::Forwarder;
use super::gate::Attempts;
use crate::clock;
use crate::metrics;

/// Why an attempt was made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptReason {
    /// It is the first one.
    First,
    /// Another attempt takes too long.
    Beside,
    /// The attempts before it have ended without a result.
    Again,
    /// Another attempt could not connect in time.
    Connect,
}

impl AttemptReason {
    /// Returns the name for logs and metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Beside => "beside",
            Self::Again => "again",
            Self::Connect => "connect",
        }
    }
}

/// The record of one attempt: which endpoint was chosen and why, and how the attempt ended.
pub(super) struct AttemptRecord {
    /// The chosen endpoint.
    pub(super) target: Target,
    /// Why it was made.
    pub(super) reason: AttemptReason,
    /// Milliseconds between the arrival of the request and the start of the attempt.
    pub(super) at_ms: u64,
    /// When the first bytes of the request were written to a connection; `None` before that.
    pub(super) sent: Option<Millis>,
    /// How it ended, and after how many milliseconds; `None` while it is in progress.
    pub(super) end: Option<(AttemptOutcome, u64)>,
}

impl AttemptRecord {
    /// Returns whether the endpoint had received the request, and had not answered when the attempt was
    /// cancelled.
    pub(super) fn was_dropped(&self) -> bool {
        self.sent.is_some() && matches!(self.end, Some((AttemptOutcome::Dropped(_), _)))
    }

    /// Returns when the endpoint began to run the request, as far as is known; `None` if it did
    /// not.
    pub(super) fn began(&self) -> Option<Millis> {
        let refused =
            matches!(self.end, Some((AttemptOutcome::Refused | AttemptOutcome::Moved, _)));
        self.sent.filter(|_| !refused)
    }
}

impl std::fmt::Display for AttemptRecord {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Target { id, expected_ms, running, penalty_ms, .. } = &self.target;
        write!(f, "{id} at={} expected={expected_ms} beside={running}", self.at_ms)?;
        write!(f, " why={}", self.reason.as_str())?;
        if *penalty_ms > 0 {
            write!(f, " penalty={penalty_ms}")?;
        }
        match self.end {
            Some((ending, ms)) => write!(f, " {}={ms}", outcome_label(ending)),
            None => write!(f, " unended"),
        }
    }
}

/// An attempt in progress. If it is dropped before its end was recorded, its caller has left.
pub(super) struct Attempt<'a> {
    /// The forwarder that chose the endpoint, and whose statistics record the end.
    pub(super) forwarder: &'a Forwarder,
    /// The chosen endpoint.
    pub(super) target: Target,
    /// The service.
    pub(super) service: &'a str,
    /// The route.
    pub(super) route: &'a str,
    /// Whether the request must not arrive twice.
    pub(super) at_most_once: bool,
    /// When it began.
    pub(super) began: Millis,
    /// Measures for how long the thread has run since then.
    pub(super) timer: RunTimer,
    /// Whether its end was recorded.
    pub(super) ended: bool,
    /// The attempts of the request, and the index of this one.
    pub(super) record: (Rc<Attempts>, usize),
}

impl Attempt<'_> {
    /// Waits until the request may be sent on the connection of this attempt. Returns whether it
    /// had to wait, in which case its duration counts from now on.
    pub(super) async fn wait_to_send(&mut self) -> bool {
        let (attempts, index) = &self.record;
        let was_held = attempts.wait_to_send(*index).await;
        if was_held {
            self.began = clock::now();
            self.timer = RunTimer::start();
        }
        was_held
    }

    /// Reserves the right to send, so that no other attempt is sent until this one was written or
    /// has ended.
    pub(super) fn reserve(&self) {
        let (attempts, index) = &self.record;
        attempts.gate.borrow_mut().reserve(*index);
    }

    /// Records that the first bytes of the request were written.
    pub(super) fn record_sent(&self) {
        let (attempts, index) = &self.record;
        attempts.records.borrow_mut()[*index].sent = Some(clock::now());
        let order = attempts.gate.borrow_mut().send(*index);
        attempts.start_hedge_timer();
        attempts.sent.notify_one();
        if self.at_most_once {
            return;
        }
        match order {
            SendOrder::First => {
                metrics::FIRST_ATTEMPTS.with_label_values(&[self.service]).inc();
                self.forwarder.hedging.borrow_mut().record_first(self.service);
            }
            SendOrder::Second => {
                metrics::SECOND_ATTEMPTS.with_label_values(&[self.service, "sent"]).inc();
            }
            SendOrder::Again => {}
        }
    }

    /// Records how it ended.
    pub(super) fn end(&mut self, ending: AttemptOutcome) {
        self.ended = true;
        let (attempts, index) = &self.record;
        let was_sent = {
            let record = &mut attempts.records.borrow_mut()[*index];
            record.end = Some((ending, clock::now().since(self.began)));
            record.sent.is_some()
        };
        attempts.end(*index);
        if was_sent {
            let refused = ending == AttemptOutcome::Refused;
            self.forwarder.hedging.borrow_mut().record_end(self.service, refused);
        }
        metrics::ATTEMPT_ENDINGS.with_label_values(&[outcome_label(ending)]).inc();
        self.forwarder.picker.borrow_mut().record_outcome(
            &self.target.id,
            self.route,
            ending,
            clock::now(),
        );
    }

    /// Logs why the attempt failed.
    pub(super) fn log(&self, request: &Request, outcome: &str, error: &ExchangeError) {
        let ms = clock::now().since(self.began);
        let request = request::attempt_id(request).unwrap_or_default();
        tracing::info!(event = "try_ended", request, endpoint = self.target.id, outcome, ms, %error);
    }
}

fn outcome_label(ending: AttemptOutcome) -> &'static str {
    match ending {
        AttemptOutcome::Answered(_) => "answered",
        AttemptOutcome::Refused => "refused",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::Dropped(_) => "dropped",
        AttemptOutcome::Moved => "moved",
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let had_time = self.timer.left(Duration::from_millis(CONNECT_FALLBACK_MS)).is_zero();
            let ran_ms = self.timer.elapsed_ms();
            let (attempts, index) = &self.record;
            let ending = attempts.gate.borrow().drop_outcome(*index, ran_ms, had_time);
            self.end(ending);
        }
    }
}
