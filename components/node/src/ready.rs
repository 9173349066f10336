//! Says whether this process takes callers.

use std::cell::Cell;
use std::rc::Rc;

use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::message::StatusCode;

use crate::link::Link;
use crate::view::View;

/// Silence of the leader, in milliseconds, after which new callers are better off elsewhere. An
/// election and a failover are over by then, so this process itself is cut off.
const CUT_OFF_MS: u64 = 4_000;

/// What readiness depends on.
pub struct Readiness {
    /// What the leader told.
    pub view: Rc<View>,
    /// The way to the leader.
    pub link: Rc<Link>,
    /// Whether the process was asked to stop.
    pub stopping: Rc<Cell<bool>>,
}

impl Readiness {
    /// Answers the balancer's question.
    pub fn answer(&self, _: &Request) -> Reply {
        let ready = !self.stopping.get()
            && self.view.config().is_some()
            && self.link.silent_ms() < CUT_OFF_MS;
        if ready {
            Reply::new(StatusCode::OK, "ready")
        } else {
            Reply::new(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}
