//! Contents that crash endpoints, at the leader: written into the log, told to all members.

use std::rc::Rc;

use chicoryford_fleet::Command;
use chicoryford_fleet::crashes::Crash;
use chicoryford_types::Fingerprint;

use crate::lead::Lead;
use crate::message::News;

impl Lead {
    /// Takes in that an endpoint crashed while it ran a content.
    pub fn take_crash(self: &Rc<Self>, crash: Crash) {
        self.write(Command::Crash(crash));
    }

    /// Takes in that a content ran to its end.
    pub fn take_cleared(self: &Rc<Self>, content: Fingerprint) {
        self.write(Command::Clear(content));
    }

    fn write(self: &Rc<Self>, command: Command) {
        let lead = self.clone();
        actix_rt::spawn(async move { lead.commit(command).await });
    }

    /// Tells all members once a content is refused.
    pub(super) fn crash_noted(&self, crash: &Crash) {
        let refused = self.parts.core.state().crashes.refused();
        let is_refused = refused.contains(&crash.content);
        let (content, endpoint) = (crash.content.0, &crash.endpoint);
        tracing::warn!(event = "content_crashed", content, endpoint, refused = is_refused);
        if is_refused {
            self.parts.followers.tell(&News::Refused(refused));
        }
    }
}
