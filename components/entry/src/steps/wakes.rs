//! Wakes pulls that wait when a group of their workspace has become whole.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use chicoryford_types::Workspace;
use tokio::sync::watch;

/// The time between two tries of a pull whose workspace has steps here; each is woken before.
const HERE: Duration = Duration::from_secs(1);
/// The same without steps here: another entry runs them, whose groups wake nobody here.
const ELSEWHERE: Duration = Duration::from_millis(100);

/// What pulls of a workspace wait for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    /// Groups that became whole here.
    groups: u64,
    /// Steps that run here.
    steps: u64,
}

/// Joins the duty that runs steps to the threads that answer pulls.
#[derive(Clone, Debug, Default)]
pub struct Wakes(Arc<Mutex<BTreeMap<Workspace, watch::Sender<Told>>>>);

impl Wakes {
    /// Follows a workspace. A pull must do so before it asks the ledger: a group that became whole
    /// between the answer and the wait would otherwise wake it no more.
    pub fn follow(&self, workspace: &Workspace) -> Wake {
        let mut told = self.0.lock().expect("nothing panics while it holds this lock");
        Wake(told.entry(workspace.clone()).or_default().subscribe())
    }

    /// Tells that a group became whole.
    pub fn whole(&self, workspace: &Workspace) {
        self.tell(workspace, |told| told.groups += 1);
    }

    /// Counts a step that runs here until the guard is dropped.
    pub fn runs(&self, workspace: &Workspace) -> Runs {
        self.tell(workspace, |told| told.steps += 1);
        Runs(self.clone(), workspace.clone())
    }

    fn tell(&self, workspace: &Workspace, change: impl FnOnce(&mut Told)) {
        let mut told = self.0.lock().expect("nothing panics while it holds this lock");
        told.entry(workspace.clone()).or_default().send_modify(change);
    }
}

/// Counts a step while it runs.
pub struct Runs(Wakes, Workspace);

impl Drop for Runs {
    fn drop(&mut self) {
        self.0.tell(&self.1, |told| told.steps -= 1);
    }
}

/// Wakes one pull.
pub struct Wake(watch::Receiver<Told>);

impl Wake {
    /// Notes that the ledger is asked now: only what follows wakes.
    pub fn asking(&mut self) {
        self.0.mark_unchanged();
    }

    /// Waits until the ledger should be asked again, at most for `most`.
    pub async fn wait(&mut self, most: Duration) {
        let pause = if self.0.borrow().steps > 0 { HERE } else { ELSEWHERE };
        let _ = actix_rt::time::timeout(pause.min(most), self.0.changed()).await;
    }
}
