//! PullNotifier pulls that wait when a group of their workspace has become whole.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chicoryford_types::Workspace;
use tokio::sync::watch;

/// The time between two tries of a pull whose workspace has steps here; each is woken before.
const LOCAL_POLL: Duration = Duration::from_secs(1);
/// The same without steps here: another entry runs them, whose groups wake nobody here.
const REMOTE_POLL: Duration = Duration::from_millis(100);

/// What pulls of a workspace wait for.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkspaceActivity {
    /// Groups that became whole here.
    groups: u64,
    /// Steps that run here.
    steps: u64,
}

/// Joins the duty that runs steps to the threads that answer pulls.
#[derive(Clone, Debug, Default)]
pub struct PullNotifier(Arc<Mutex<BTreeMap<Workspace, watch::Sender<WorkspaceActivity>>>>);

impl PullNotifier {
    /// Follows a workspace. A pull must do so before it asks the ledger: a group that became whole
    /// between the answer and the wait would otherwise wake it no more.
    pub fn subscribe(&self, workspace: &Workspace) -> PullWaiter {
        let mut activity = self.0.lock().expect("nothing panics while it holds this lock");
        PullWaiter(activity.entry(workspace.clone()).or_default().subscribe())
    }

    /// Tells that a group became whole.
    pub fn group_completed(&self, workspace: &Workspace) {
        self.update(workspace, |activity| activity.groups += 1);
    }

    /// Counts a step that runs here until the guard is dropped.
    pub fn step_started(&self, workspace: &Workspace) -> RunningStep {
        self.update(workspace, |activity| activity.steps += 1);
        RunningStep(self.clone(), workspace.clone())
    }

    fn update(&self, workspace: &Workspace, change: impl FnOnce(&mut WorkspaceActivity)) {
        let mut activity = self.0.lock().expect("nothing panics while it holds this lock");
        activity.entry(workspace.clone()).or_default().send_modify(change);
    }
}

/// Counts a step while it runs.
pub struct RunningStep(PullNotifier, Workspace);

impl Drop for RunningStep {
    fn drop(&mut self) {
        self.0.update(&self.1, |activity| activity.steps -= 1);
    }
}

/// PullNotifier one pull.
pub struct PullWaiter(watch::Receiver<WorkspaceActivity>);

impl PullWaiter {
    /// Notes that the ledger is asked now: only what follows wakes.
    pub fn mark_seen(&mut self) {
        self.0.mark_unchanged();
    }

    /// Waits until the ledger should be asked again, at most for `most`.
    pub async fn wait(&mut self, most: Duration) {
        let pause = if self.0.borrow().steps > 0 { LOCAL_POLL } else { REMOTE_POLL };
        let _ = actix_rt::time::timeout(pause.min(most), self.0.changed()).await;
    }
}
