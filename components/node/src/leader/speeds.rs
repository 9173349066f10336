//! The leader's use of the engines' speeds: moving runs to faster engines, and recording the speeds
//! for the next leader.

use std::rc::Rc;

use chicoryford_fleet::Command;
use chicoryford_fleet::Config;
use chicoryford_fleet::plan::RunEnd;
use chicoryford_types::Millis;

use crate::leader::Leader;
use crate::message::Answer;
use crate::metrics;

impl Leader {
    /// Passes the recorded speeds of engines to the plan, whose engines must be known already.
    pub(super) fn adopt_speeds(&self) {
        let state = self.context.replica.state();
        self.plan.borrow_mut().restore_speeds(&state.speeds, self.began);
    }

    /// Ends the runs that are to continue on a faster engine. Returns whether there are any.
    pub(super) fn move_to_faster_engines(self: &Rc<Self>, config: &Config, now: Millis) -> bool {
        let moves = self.plan.borrow_mut().reserve_faster_engines(config, now);
        for one in &moves {
            let reason = if one.is_slowed { "slow" } else { "faster" };
            metrics::MOVED_RUNS.with_label_values(&[reason]).inc();
            tracing::info!(
                event = "run_moved",
                step = one.step,
                index = one.index,
                sample = one.sample,
                from = one.from,
                to = one.to,
                saved_ms = one.saved_ms,
                reason
            );
            self.end_run(&one.step, one.index, RunEnd::Taken);
        }
        !moves.is_empty()
    }

    /// Commits the speeds of engines that differ from the median, if they have changed. If that
    /// fails, the next attempt includes the changes.
    pub(super) async fn persist_speeds(&self) {
        let changes = {
            let state = self.context.replica.state();
            self.plan.borrow().speed_changes(&state.speeds, &state.endpoints)
        };
        let Some(changes) = changes else { return };
        let endpoints: Vec<String> =
            changes.changes.iter().map(|change| change.endpoint.clone()).collect();
        if matches!(self.commit(Command::Speeds(changes)).await, Answer::Done) {
            tracing::info!(event = "speed_recorded", count = endpoints.len(), ?endpoints);
        }
    }
}
