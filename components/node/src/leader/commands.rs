//! Commits commands to the log, and reacts to those that were applied to the state.

use std::rc::Rc;
use std::sync::Arc;

use chicoryford_fleet::ApplyOutcome;
use chicoryford_fleet::Command;
use chicoryford_fleet::Stamped;
use chicoryford_fleet::step::StoredResult;

use crate::clock;
use crate::leader::LOG_TARGET;
use crate::leader::Leader;
use crate::message::Answer;
use crate::message::Update;
use crate::metrics;

impl Leader {
    /// Commits a command and translates the outcome into an answer.
    pub async fn commit(&self, command: Command) -> Answer {
        match self.propose(command).await {
            Ok(ApplyOutcome::Changed | ApplyOutcome::Held) => Answer::Done,
            Ok(ApplyOutcome::Unknown) => Answer::Unknown,
            Err(answer) => answer,
        }
    }

    /// Commits a command. Returns its outcome, or the answer to the call if it was not committed.
    pub(super) async fn propose(
        &self,
        command: Command,
    ) -> std::result::Result<ApplyOutcome, Answer> {
        let stamped = Stamped { at: self.fleet_now(), command };
        let began = clock::now();
        let done = self.context.replica.propose(&stamped).await;
        let outcome = if done.is_ok() { "committed" } else { "refused" };
        let seconds = clock::now().since(began) as f64 / 1_000.0;
        metrics::COMMITS.with_label_values(&[outcome]).inc();
        metrics::COMMIT_SECONDS.with_label_values(&[outcome]).observe(seconds);
        done.map_err(|why| {
            tracing::info!(target: LOG_TARGET, event = "commit_refused", %why);
            if why.is_final() { Answer::NotNow } else { Answer::Unclear }
        })
    }

    /// Reacts to a command that was applied to the state.
    pub(super) fn on_applied(self: &Rc<Self>, command: &Command, done: ApplyOutcome) {
        if done != ApplyOutcome::Changed {
            return;
        }
        match command {
            Command::Configure(config) => {
                self.context
                    .followers
                    .broadcast(&Update::Config(Arc::new(config.without_source())));
                self.publish_callable(config);
            }
            Command::Submit { step, placement: place } => self.on_submitted(step, place),
            Command::End { step } => {
                self.close_step(step);
            }
            Command::List { step, results, .. } => {
                for listed in results {
                    self.release(step, listed.index);
                }
                let given_up = results.iter().filter(|r| r.result == StoredResult::GivenUp).count();
                let listed =
                    self.context.replica.state().steps.get(step).map_or(0, |s| s.results.len());
                tracing::info!(
                    target: LOG_TARGET,
                    event = "results_listed",
                    step,
                    more = results.len(),
                    given_up,
                    listed
                );
                self.listed.send_modify(|count| *count += 1);
                let is_closed =
                    self.context.replica.state().steps.get(step).is_none_or(|s| !s.is_open());
                if is_closed {
                    self.close_step(step);
                }
            }
            Command::Crash(crash) => self.on_crash_applied(crash),
            Command::Clear(_) => self.broadcast_suspected(),
            Command::Spend(costs) => self.on_costs_applied(costs),
            Command::Publish { model, version } => {
                tracing::info!(target: LOG_TARGET, event = "version_named", model, version);
                self.orders.borrow_mut().check_at_once();
            }
            Command::Claim { step, workspace } => {
                tracing::info!(target: LOG_TARGET, event = "step_claimed", step, workspace);
            }
            Command::Forget { .. }
            | Command::Retire { .. }
            | Command::Move { .. }
            | Command::Note { .. }
            | Command::Know { .. }
            | Command::Depart { .. }
            | Command::Hold(_)
            | Command::Speeds(_)
            | Command::Use(_)
            | Command::CloseWindow { .. } => {}
        }
        self.wake_planner.notify_one();
    }
}
