//! The state machine.

use chicoryford_ledger::Ledger;
use chicoryford_types::Change;
use chicoryford_types::ChangeId;
use chicoryford_types::Config;
use chicoryford_types::Delta;
use chicoryford_types::Epoch;
use chicoryford_types::Position;
use chicoryford_types::Unix;
use serde::Deserialize;
use serde::Serialize;

use crate::changes::ChangeWindow;
use crate::claims::Claims;
use crate::command::Command;
use crate::command::Refusal;
use crate::command::Reply;
use crate::recent::RecentChanges;
use crate::sessions::Sessions;
use crate::suspects::Suspects;
use crate::templates::Histories;

/// The replicated state.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct State {
    /// The configuration that is pushed to all processes.
    pub config: Config,
    /// The greatest timestamp of all commands so far. Windows are measured by it, so that a new
    /// leader whose wall clock is behind does not reopen them.
    pub now: Unix,
    /// The steps of trainers and their deliveries.
    pub ledger: Ledger,
    /// Number of invariant violations in this replica since it started; zero unless there is a bug.
    #[serde(skip)]
    pub violations: u64,
    pub(crate) recent: RecentChanges,
    pub(crate) window: ChangeWindow,
    pub(crate) histories: Histories,
    pub(crate) claims: Claims,
    pub(crate) sessions: Sessions,
    pub(crate) suspects: Suspects,
    /// The epoch of the command that is being applied.
    pub(crate) epoch: Epoch,
}

impl State {
    /// Applies a committed command.
    ///
    /// Only the epoch of `at` is used, in which the command was committed. The state numbers
    /// revisions itself, because one command may change the configuration several times or not at
    /// all; [`State::changes_after`] returns them. `stamp` is the wall clock that the leader wrote
    /// into the log entry, which is the same on every replica.
    pub fn apply(&mut self, at: Position, stamp: Unix, command: Command) -> Reply {
        self.epoch = self.epoch.max(at.epoch);
        self.now = self.now.max(stamp);
        self.expire_suspicions();
        match change_id_of(&command) {
            Some(change) => self.apply_once(change, command),
            None => self.execute(command),
        }
    }

    /// Returns the changes that a follower at `from` needs to reach this state's configuration.
    pub fn delta_since(&self, from: Position) -> Delta {
        self.recent.delta(&self.config, from)
    }

    /// Returns the configuration changes after `from`, oldest first. A control process sends them
    /// to its followers after each command.
    pub fn changes_after(&self, from: Position) -> impl Iterator<Item = &(Position, Change)> {
        self.recent.after(from)
    }

    /// Returns the number of invariant violations in this replica; zero unless there is a bug.
    pub fn violations(&self) -> u64 {
        self.violations + self.ledger.violations
    }

    /// Puts a configuration change in force as the next revision and returns its position.
    pub(crate) fn accept(&mut self, change: Change) -> Position {
        let revision = self.config.at.revision.next();
        let at = Position { epoch: self.epoch, revision };
        if !self.config.apply(at, change.clone()) {
            // Followers would refuse this change and never reach it, without an error of their own,
            // so a revision that does not increase must be detected here.
            self.report_violation("revision_reverts");
        }
        self.recent.push(at, change);
        at
    }

    pub(crate) fn report_violation(&mut self, invariant: &str) {
        self.violations += 1;
        tracing::error!(event = "promise_broken", promise = invariant, at = %self.config.at);
    }

    /// Applies a command with a change id, or returns its first reply if it is a resend.
    fn apply_once(&mut self, change: ChangeId, command: Command) -> Reply {
        let digest = ChangeWindow::digest(&command);
        match self.window.find(&change, digest, self.now) {
            Ok(Some(first)) => return first,
            Ok(None) => {}
            Err(refusal) => return Reply::Refused(refusal),
        }
        let reply = self.execute(command);
        if !self.window.record(change, digest, &reply, self.now) {
            self.report_violation("change_applied_twice");
        }
        reply
    }

    fn execute(&mut self, command: Command) -> Reply {
        match command {
            Command::Apply { template, base, .. } => self.apply_template(*template, base),
            Command::Remove { workspace, base, .. } => self.remove_template(workspace, base),
            Command::Rollback { workspace, to, base, .. } => self.roll_back(workspace, to, base),
            Command::History { workspace } => self.history(&workspace),
            Command::PlanStop { id, stop, .. } => self.plan_stop(id, stop),
            Command::CancelStop { id, .. } => self.cancel_stop(id),
            Command::Publish { model, version, source, .. } => self.publish(model, version, source),
            Command::Crashed { endpoint, crash, incarnation, blamed } => {
                self.crashed(endpoint, (incarnation, crash), &blamed)
            }
            Command::Cleared { fingerprint } => self.cleared(fingerprint),
            Command::Pardon { fingerprint, .. } => self.pardon(fingerprint),
            Command::Claim { workspace, key, digest, request, to } => {
                self.claims.claim(self.now, workspace, key, digest, (request, to))
            }
            Command::Reassign { workspace, key, request, after, to } => {
                self.claims.reassign(self.now, workspace, key, after, (request, to))
            }
            Command::Settle { workspace, key, attempt, end } => {
                self.claims.settle(self.now, workspace, key, attempt, end)
            }
            Command::OpenSession { node, incarnation } => self.open_session(node, incarnation),
            Command::CloseSession { session } => self.close_session(session),
            Command::Ledger(command) => self.ledger_command(*command),
            Command::Nothing => Reply::Done,
        }
    }
}

/// Returns the change id of a command that an operator or trainer may send again.
fn change_id_of(command: &Command) -> Option<ChangeId> {
    match command {
        Command::Apply { change, .. }
        | Command::Remove { change, .. }
        | Command::Rollback { change, .. }
        | Command::PlanStop { change, .. }
        | Command::CancelStop { change, .. }
        | Command::Publish { change, .. }
        | Command::Pardon { change, .. } => Some(change.clone()),
        _ => None,
    }
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}
