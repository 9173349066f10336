//! Readiness: whether this process accepts callers.

use std::cell::Cell;
use std::rc::Rc;

use chicoryford_http::Reply;
use chicoryford_http::Request;
use chicoryford_http::message::StatusCode;

use crate::link::Link;
use crate::overload::OverloadProtection;
use crate::view::View;

/// Silence of the leader, in milliseconds, after which new callers should use another process. An
/// election and a failover take less time, so this process itself is disconnected.
const DISCONNECTED_MS: u64 = 4_000;

/// What readiness depends on.
pub struct Readiness {
    /// The state that the leader has sent to this process.
    pub view: Rc<View>,
    /// The connection to the leader.
    pub link: Rc<Link>,
    /// Whether the process was asked to stop.
    pub stopping: Rc<Cell<bool>>,
    /// The overload protection of the entry, if it is enabled.
    pub overload: Option<Rc<OverloadProtection>>,
}

impl Readiness {
    /// Answers the balancer's readiness check.
    pub fn answer(&self, _: &Request) -> Reply {
        let ready = !self.stopping.get()
            && self.view.config().is_some()
            && self.link.silent_ms() < DISCONNECTED_MS
            && !self.overload.as_ref().is_some_and(|overload| overload.diverts());
        if ready {
            Reply::new(StatusCode::OK, "ready")
        } else {
            Reply::new(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }
}
