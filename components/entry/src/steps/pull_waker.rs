//! Wakes waiting pulls when a group of their workspace is complete.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chicoryford_types::Workspace;
use tokio::sync::watch;

/// Polling interval of a pull whose workspace has steps running at this entry. It is only a
/// fallback, because a completed group wakes the pull.
const LOCAL_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Polling interval of a pull whose workspace has no steps running at this entry. Groups completed
/// at another entry do not wake it.
const REMOTE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Activity at this entry that the pulls of a workspace watch.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkspaceActivity {
    /// Number of groups completed at this entry.
    groups: u64,
    /// Number of steps running at this entry.
    steps: u64,
}

/// Notifies the threads that answer pulls of progress in the steps duty.
#[derive(Clone, Debug, Default)]
pub struct PullNotifier(Arc<Mutex<BTreeMap<Workspace, watch::Sender<WorkspaceActivity>>>>);

impl PullNotifier {
    /// Subscribes to a workspace. A pull must subscribe before it queries the ledger; otherwise it
    /// misses a group that completes between the reply of the ledger and the wait.
    pub fn subscribe(&self, workspace: &Workspace) -> PullWaiter {
        let mut workspaces = self.0.lock().expect("the lock is not poisoned");
        PullWaiter(workspaces.entry(workspace.clone()).or_default().subscribe())
    }

    /// Wakes the pulls of a workspace after a group was completed.
    pub fn group_completed(&self, workspace: &Workspace) {
        self.update(workspace, |activity| activity.groups += 1);
    }

    /// Counts a step as running at this entry until the returned guard is dropped.
    pub fn step_started(&self, workspace: &Workspace) -> RunningStep {
        self.update(workspace, |activity| activity.steps += 1);
        RunningStep(self.clone(), workspace.clone())
    }

    fn update(&self, workspace: &Workspace, change: impl FnOnce(&mut WorkspaceActivity)) {
        let mut workspaces = self.0.lock().expect("the lock is not poisoned");
        workspaces.entry(workspace.clone()).or_default().send_modify(change);
    }
}

/// Guard that counts a step as running.
pub struct RunningStep(PullNotifier, Workspace);

impl Drop for RunningStep {
    fn drop(&mut self) {
        self.0.update(&self.1, |activity| activity.steps -= 1);
    }
}

/// Lets one pull wait for progress in its workspace.
pub struct PullWaiter(watch::Receiver<WorkspaceActivity>);

impl PullWaiter {
    /// Marks all activity so far as seen, so that only later activity ends a wait. It is called
    /// right before the ledger is queried.
    pub fn mark_seen(&mut self) {
        self.0.mark_unchanged();
    }

    /// Waits until the ledger should be queried again, at most for `timeout`.
    pub async fn wait(&mut self, timeout: Duration) {
        let interval =
            if self.0.borrow().steps > 0 { LOCAL_POLL_INTERVAL } else { REMOTE_POLL_INTERVAL };
        let _ = actix_rt::time::timeout(interval.min(timeout), self.0.changed()).await;
    }
}
