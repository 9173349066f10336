//! Verdicts of samples on their way into the log.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Weak;
use std::sync::Arc;
use std::time::Duration;

use chicoryford_fleet::Command;
use chicoryford_fleet::Listed;
use chicoryford_fleet::Verdict;
use tokio::sync::Notify;

use crate::lead::Lead;
use crate::message::Answer;

/// How long the first of several verdicts waits for others, so that they share an entry and a
/// sync. It is short beside the half second between two reads of a trainer.
const GATHER: Duration = Duration::from_millis(10);
/// Pause after the log did not take them.
const PAUSE: Duration = Duration::from_millis(50);

/// Verdicts that wait to be listed.
#[derive(Default)]
pub struct Outbox {
    waiting: RefCell<BTreeMap<String, Vec<Arc<Listed>>>>,
    filled: Notify,
}

impl Outbox {
    /// Adds a verdict.
    pub fn put(&self, step: &str, index: u32, verdict: Verdict) {
        let listed = Arc::new(Listed { index, verdict });
        self.waiting.borrow_mut().entry(step.to_owned()).or_default().push(listed);
        self.filled.notify_one();
    }
}

/// Lists verdicts until the process no longer leads.
pub async fn run(lead: Weak<Lead>) {
    loop {
        let Some(lead) = lead.upgrade() else { return };
        let outbox = lead.outbox();
        if outbox.waiting.borrow().is_empty() {
            outbox.filled.notified().await;
            tokio::time::sleep(GATHER).await;
        }
        let waiting = std::mem::take(&mut *outbox.waiting.borrow_mut());
        let commits = waiting.into_iter().map(|(step, results)| {
            let lead = lead.clone();
            async move {
                let command = Command::List { step: step.clone(), results: results.clone() };
                let answer = lead.commit(command).await;
                (step, results, answer)
            }
        });
        let done = futures_util::future::join_all(commits).await;
        let mut held_up = false;
        for (step, results, answer) in done {
            if matches!(answer, Answer::NotNow | Answer::Unclear) {
                // Listed twice, a sample keeps its first result.
                outbox.waiting.borrow_mut().entry(step).or_default().extend(results);
                held_up = true;
            }
        }
        if held_up {
            tokio::time::sleep(PAUSE).await;
        }
    }
}
