//! How other threads tell the steps duty something.

use chicoryford_kernel::Sender;
use chicoryford_ledger::StepKey;
use tokio::sync::oneshot;

use crate::steps::pull_waker::PullNotifier;

/// The name under which [`Steps`] is offered.
pub const SERVICE: &str = "steps";

/// What is put into the duty's ring.
pub enum Notice {
    /// A trainer opened a step here.
    Opened(StepKey),
    /// The session was opened, or lost.
    Session(Option<u64>),
    /// No session owns these steps.
    Orphans(Vec<StepKey>),
    /// A step ended here, whoever runs it from now on.
    Ended(StepKey),
    /// A dump is wanted.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// Tells the steps duty something.
#[derive(Clone)]
pub struct Steps {
    /// The duty's ring.
    pub notices: Sender<Notice>,
    /// PullNotifier pulls that wait.
    pub pull_notifier: PullNotifier,
}

impl Steps {
    /// Hands over a step that a trainer opened. If the ring is full the step stays an orphan,
    /// which the next renewal of some entry's session finds.
    pub fn opened(&self, key: StepKey) {
        let _ = self.notices.offer(Notice::Opened(key));
    }

    /// Takes the duty's part of the dump.
    pub async fn dump(&self) -> serde_json::Value {
        let (sender, receiver) = oneshot::channel();
        if self.notices.offer(Notice::Dump(sender)).is_err() {
            return serde_json::Value::Null;
        }
        receiver.await.unwrap_or_default()
    }
}
