//! Contents that crash endpoints, at the leader: written into the log, told to all members.

use std::rc::Rc;

use chicoryford_fleet::Command;
use chicoryford_fleet::crashes::Crash;
use chicoryford_types::Fingerprint;

use crate::leader::Leader;
use crate::message::Update;

impl Leader {
    /// Takes in that an endpoint crashed while it ran a content.
    pub fn record_crash(self: &Rc<Self>, crash: Crash) {
        self.write(Command::Crash(crash));
    }

    /// Takes in that a content ran to its end.
    pub fn record_cleared(self: &Rc<Self>, content: Fingerprint) {
        self.write(Command::Clear(content));
    }

    fn write(self: &Rc<Self>, command: Command) {
        let leader = self.clone();
        actix_rt::spawn(async move { leader.commit(command).await });
    }

    /// Tells all members once a content is refused.
    pub(super) fn crash_noted(&self, crash: &Crash) {
        let refused = self.context.replica.state().crashes.refused();
        let is_refused = refused.contains(&crash.content);
        let (content, endpoint) = (crash.content.0, &crash.endpoint);
        tracing::warn!(event = "content_crashed", content, endpoint, refused = is_refused);
        if is_refused {
            self.context.followers.broadcast(&Update::Refused(refused));
        }
    }
}
