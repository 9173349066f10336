//! One attempt at an endpoint, and its record for the log.

use std::cell::RefCell;
use std::rc::Rc;

use chicoryford_fleet::pick::AttemptOutcome;
use chicoryford_fleet::pick::Target;
use chicoryford_http::ExchangeError;
use chicoryford_http::Request;
use chicoryford_platform::request;
use chicoryford_types::Millis;

use super::Forwarder;
use crate::clock;
use crate::metrics;

/// The records of a request's attempts, for its log line.
pub(super) type AttemptLog = Rc<RefCell<Vec<AttemptRecord>>>;

/// The record of one attempt: which endpoint was chosen and why, and how the attempt ended.
pub(super) struct AttemptRecord {
    /// The chosen endpoint.
    pub(super) target: Target,
    /// Milliseconds between the arrival of the request and the start of the attempt.
    pub(super) at_ms: u64,
    /// When the request was written to a connection; `None` before that.
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
    /// The endpoint's incarnation.
    pub(super) id: &'a str,
    /// The route.
    pub(super) route: &'a str,
    /// When it began.
    pub(super) began: Millis,
    /// Whether its end was recorded.
    pub(super) ended: bool,
    /// The attempt log and the index of this attempt in it.
    pub(super) record: (AttemptLog, usize),
}

impl Attempt<'_> {
    /// Records that the request is being written.
    pub(super) fn send(&mut self) {
        let (log, index) = &self.record;
        log.borrow_mut()[*index].sent = Some(clock::now());
    }

    /// Records how it ended.
    pub(super) fn end(&mut self, ending: AttemptOutcome) {
        self.ended = true;
        let (log, index) = &self.record;
        log.borrow_mut()[*index].end = Some((ending, clock::now().since(self.began)));
        metrics::ATTEMPT_ENDINGS.with_label_values(&[outcome_label(ending)]).inc();
        self.forwarder.picker.borrow_mut().record_outcome(
            self.id,
            self.route,
            ending,
            clock::now(),
        );
    }

    /// Logs why the attempt failed.
    pub(super) fn log(&self, request: &Request, outcome: &str, error: &ExchangeError) {
        let ms = clock::now().since(self.began);
        let request = request::attempt_id(request).unwrap_or_default();
        tracing::info!(event = "try_ended", request, endpoint = self.id, outcome, ms, %error);
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
            let ms = clock::now().since(self.began);
            self.end(AttemptOutcome::Dropped(ms));
        }
    }
}
