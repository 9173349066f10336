//! Retiring store VMs: their parts are copied elsewhere first.

use chicoryford_fleet::Command;

use crate::copies;
use crate::leader::Leader;
use crate::message::Answer;

impl Leader {
    pub(super) async fn retire(&self, node: String) -> Answer {
        let retired = self.context.replica.state().retired.clone();
        if retired.contains(&node) {
            return Answer::Done;
        }
        if !self.copies.has(&node) {
            return Answer::Unknown;
        }
        let left = self.copies.count(|other| other != node && !retired.contains(other));
        if left < self.context.settings.tolerated as usize + 1 {
            return Answer::TooFew;
        }
        tracing::info!(event = "store_retires", store = node, left);
        self.commit(Command::Retire { node }).await
    }

    pub(super) fn retired(&self, node: &str) -> Answer {
        let state = self.context.replica.state();
        if !state.retired.contains(node) {
            return Answer::Unknown;
        }
        let holds = |place: &copies::Placement| match place {
            copies::Placement::Inline(_) => false,
            copies::Placement::Stores(stores) => stores.iter().any(|store| store.node == node),
        };
        let left = state.parts.values().filter(|part| holds(&part.placement)).count();
        Answer::Retired(left == 0)
    }
}
