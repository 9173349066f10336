//! Retiring store VMs: their parts are copied elsewhere first.

use std::collections::BTreeSet;

use chicoryford_fleet::Command;
use chicoryford_fleet::copies::StoreShortage;

use crate::copies;
use crate::leader::Leader;
use crate::message::Answer;

impl Leader {
    pub(super) async fn retire(&self, node: String) -> Answer {
        if self.context.replica.state().retired.contains(&node) {
            return Answer::Done;
        }
        let retired = self.retired_stores();
        if !self.copies.has(&node) {
            return Answer::Unknown;
        }
        let left = self.copies.count(|other| other != node && !retired.contains(other));
        if let Some(shortage) =
            StoreShortage::after_retirement(left, self.context.settings.tolerated)
        {
            let StoreShortage { left, needed } = shortage;
            tracing::info!(event = "retirement_refused", store = node, left, needed);
            return Answer::Shortage(shortage);
        }
        tracing::info!(event = "store_retires", store = node, left);
        self.retiring.borrow_mut().insert(node.clone());
        let answer = self.commit(Command::Retire { node: node.clone() }).await;
        if matches!(answer, Answer::NotNow) {
            self.retiring.borrow_mut().remove(&node);
        }
        answer
    }

    /// Returns the stores that must not get further parts: those that are retired, and those whose
    /// retirement is being committed. A place that is recorded in the log after the retirement would
    /// be missed when the store is reported to be empty.
    pub(crate) fn retired_stores(&self) -> BTreeSet<String> {
        self.context.replica.state().retired.union(&self.retiring.borrow()).cloned().collect()
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
