//! Handles calls from members.

use std::rc::Rc;

use chicoryford_fleet::Command;

use crate::leader::Leader;
use crate::members;
use crate::message::Answer;
use crate::message::Call;

impl Leader {
    /// Handles a call from a member.
    pub async fn answer(self: &Rc<Self>, call: Call) -> Answer {
        if !self.leads() {
            return Answer::NotNow;
        }
        match call {
            Call::Announce(announcement) => self.announce(announcement).await,
            Call::Leave(id) => self.leave(&id).await,
            Call::Configure(config) => self.commit(Command::Configure(config)).await,
            Call::ReadConfig => self.read_config().await,
            Call::Publish { model, version } => {
                self.commit(Command::Publish { model, version }).await
            }
            Call::Submit(step) => self.submit(step).await,
            Call::Reserve { step, bytes } => self.reserve_step(&step, bytes),
            Call::Read { step, after, wait_ms, near } => {
                self.read_results(&step, after, wait_ms, &near).await
            }
            Call::Body { step, sample } => self.body(&step, &sample).await,
            Call::End(step) => self.end_step(step).await,
            Call::Retire(node) => self.retire(node).await,
            Call::Retired(node) => self.retired(&node),
            Call::Join(id) => members::join(self, id).await,
            Call::Resign(id) => members::resign(self, id).await,
        }
    }

    async fn read_config(&self) -> Answer {
        match self.context.replica.read().await {
            Ok(()) => Answer::Config(self.context.replica.state().config.clone()),
            Err(_) => Answer::NotNow,
        }
    }
}
