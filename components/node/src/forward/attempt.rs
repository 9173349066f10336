//! One attempt at an endpoint, and what is written down of it.

use std::cell::RefCell;
use std::rc::Rc;

use chicoryford_fleet::pick::Ending;
use chicoryford_fleet::pick::Target;
use chicoryford_http::Broken;
use chicoryford_http::Request;
use chicoryford_platform::plain;
use chicoryford_types::Millis;

use super::Forwarder;
use crate::clock;
use crate::metrics;

/// What became of a request's attempts, for its log line.
pub(super) type AttemptLog = Rc<RefCell<Vec<AttemptRecord>>>;

/// One attempt: why it went where it went, and how it ended.
pub(super) struct AttemptRecord {
    /// Where it went.
    pub(super) target: Target,
    /// Milliseconds after the request came.
    pub(super) at_ms: u64,
    /// When the request was written to a connection; none before.
    pub(super) sent: Option<Millis>,
    /// How it ended, after so many milliseconds; none while it is under way.
    pub(super) end: Option<(Ending, u64)>,
}

impl AttemptRecord {
    /// Gives when the endpoint began to run the request, as far as is known; none if it did not.
    pub(super) fn began(&self) -> Option<Millis> {
        let refused = matches!(self.end, Some((Ending::Refused | Ending::Moved, _)));
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
            Some((ending, ms)) => write!(f, " {}={ms}", word(ending)),
            None => write!(f, " unended"),
        }
    }
}

/// An attempt under way; dropped without an end, its caller has left.
pub(super) struct Attempt<'a> {
    /// Chose the endpoint, and learns from how it ends.
    pub(super) forwarder: &'a Forwarder,
    /// The endpoint's incarnation.
    pub(super) id: &'a str,
    /// The route.
    pub(super) route: &'a str,
    /// When it began.
    pub(super) began: Millis,
    /// Whether its end was noted.
    pub(super) ended: bool,
    /// Where it is written down.
    pub(super) note: (AttemptLog, usize),
}

impl Attempt<'_> {
    /// Notes that the request is being written.
    pub(super) fn send(&mut self) {
        let (tries, place) = &self.note;
        tries.borrow_mut()[*place].sent = Some(clock::now());
    }

    /// Notes how it ended.
    pub(super) fn end(&mut self, ending: Ending) {
        self.ended = true;
        let (tries, place) = &self.note;
        tries.borrow_mut()[*place].end = Some((ending, clock::now().since(self.began)));
        metrics::TRIES.with_label_values(&[word(ending)]).inc();
        self.forwarder.picker.borrow_mut().ended(self.id, self.route, ending, clock::now());
    }

    /// Writes down why it came to nothing.
    pub(super) fn log(&self, request: &Request, outcome: &str, error: &Broken) {
        let ms = clock::now().since(self.began);
        let request = plain::attempt(request).unwrap_or_default();
        tracing::info!(event = "try_ended", request, endpoint = self.id, outcome, ms, %error);
    }
}

fn word(ending: Ending) -> &'static str {
    match ending {
        Ending::Answered(_) => "answered",
        Ending::Refused => "refused",
        Ending::Failed => "failed",
        Ending::Dropped(_) => "dropped",
        Ending::Moved => "moved",
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let ms = clock::now().since(self.began);
            self.end(Ending::Dropped(ms));
        }
    }
}
