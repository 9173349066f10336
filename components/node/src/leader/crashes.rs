//! Request contents that crash endpoints: recorded in the log and broadcast to all members.

use std::rc::Rc;

use chicoryford_fleet::Command;
use chicoryford_fleet::crashes::Crash;
use chicoryford_types::Fingerprint;

use crate::leader::Leader;
use crate::message::Update;

impl Leader {
    /// Records that an endpoint crashed while it ran a request with this content.
    pub fn record_crash(self: &Rc<Self>, crash: Crash) {
        self.commit_in_background(Command::Crash(crash));
    }

    /// Records that a request with this content completed.
    pub fn record_cleared(self: &Rc<Self>, content: Fingerprint) {
        // Several processes may report it, each before the others are informed.
        if self.context.replica.state().crashes.suspected().contains(&content) {
            self.commit_in_background(Command::Clear(content));
        }
    }

    pub(super) fn commit_in_background(self: &Rc<Self>, command: Command) {
        let leader = self.clone();
        actix_rt::spawn(async move { leader.commit(command).await });
    }

    /// Broadcasts the suspected contents.
    pub(super) fn broadcast_suspected(&self) {
        let suspected = self.context.replica.state().crashes.suspected();
        self.context.followers.broadcast(&Update::Suspected(suspected));
    }

    /// Logs an applied crash, and broadcasts the refused contents if this one is refused now.
    pub(super) fn on_crash_applied(&self, crash: &Crash) {
        let refused = self.context.replica.state().crashes.refused();
        let is_refused = refused.contains(&crash.content);
        let (content, endpoint) = (crash.content.0, &crash.endpoint);
        tracing::warn!(event = "content_crashed", content, endpoint, refused = is_refused);
        self.broadcast_suspected();
        if is_refused {
            self.context.followers.broadcast(&Update::Refused(refused));
        }
    }
}
