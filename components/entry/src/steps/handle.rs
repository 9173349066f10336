//! Handle through which other threads send notices to the steps duty.

use chicoryford_kernel::Sender;
use chicoryford_ledger::StepKey;
use tokio::sync::oneshot;

use crate::steps::pull_waker::PullNotifier;

/// Registry name of [`Steps`].
pub const SERVICE: &str = "steps";

/// A message to the steps duty.
pub enum Notice {
    /// A trainer opened a step at this entry.
    Opened(StepKey),
    /// The session was opened, or lost if `None`.
    Session(Option<u64>),
    /// Steps that no session owns.
    Orphans(Vec<StepKey>),
    /// A step ended at this entry, whether it is complete or another session owns it now.
    Ended(StepKey),
    /// Requests the state dump.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// Handle of the steps duty.
#[derive(Clone)]
pub struct Steps {
    /// Sends notices to the duty.
    pub notices: Sender<Notice>,
    /// Wakes waiting pulls.
    pub pull_notifier: PullNotifier,
}

impl Steps {
    /// Hands over a step that a trainer opened. If the queue is full, the step stays an orphan,
    /// which an entry finds with the next renewal of its session.
    pub fn step_opened(&self, key: StepKey) {
        let _ = self.notices.offer(Notice::Opened(key));
    }

    /// Returns the duty's part of the state dump; null if the duty cannot be asked.
    pub async fn dump(&self) -> serde_json::Value {
        let (sender, receiver) = oneshot::channel();
        if self.notices.offer(Notice::Dump(sender)).is_err() {
            return serde_json::Value::Null;
        }
        receiver.await.unwrap_or_default()
    }
}
