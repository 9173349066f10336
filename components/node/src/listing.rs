//! Listing of verdicts: writes them to the stores and commits them to the log.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Weak;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_fleet::Command;
use chicoryford_fleet::ListedResult;
use chicoryford_fleet::SampleResult;
use chicoryford_fleet::copies::PartId;
use chicoryford_fleet::step::StoredResult;
use chicoryford_types::Millis;
use tokio::sync::Notify;

use crate::clock;
use crate::leader::Leader;
use crate::message::Answer;

/// Pause after a failed commit.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A verdict on a sample.
#[derive(Clone, Debug)]
pub struct SampleVerdict {
    /// The index of the sample in its step.
    pub index: u32,
    /// The sample.
    pub sample: String,
    /// The verdict.
    pub verdict: SampleResult,
}

/// The verdicts of one step that wait to be listed, and since when the first one waits.
struct StepVerdicts {
    since: Millis,
    verdicts: Vec<SampleVerdict>,
}

/// The queue of verdicts that wait to be listed.
#[derive(Default)]
pub struct Outbox {
    waiting: RefCell<BTreeMap<String, StepVerdicts>>,
    changed: Notify,
}

impl Outbox {
    /// Adds a verdict.
    pub fn put(&self, step: &str, verdict: SampleVerdict) {
        self.add(step, vec![verdict]);
        self.changed.notify_one();
    }

    fn add(&self, step: &str, verdicts: Vec<SampleVerdict>) {
        let mut waiting = self.waiting.borrow_mut();
        let since = clock::now();
        let empty = || StepVerdicts { since, verdicts: Vec::new() };
        waiting.entry(step.to_owned()).or_insert_with(empty).verdicts.extend(verdicts);
    }

    /// Makes the listing task check again which verdicts are due.
    pub fn recheck(&self) {
        self.changed.notify_one();
    }

    /// Removes and returns the verdicts of the steps that are due, and the time at which the next
    /// ones are due, if there are others. `list_at` returns the due time from the step and the time
    /// since when its first verdict waits.
    fn take_due(
        &self,
        now: Millis,
        list_at: impl Fn(&str, Millis) -> Millis,
    ) -> (Vec<(String, Vec<SampleVerdict>)>, Option<Millis>) {
        let mut due = Vec::new();
        let mut next: Option<Millis> = None;
        self.waiting.borrow_mut().retain(|step, waiting| {
            let at = list_at(step, waiting.since);
            if at <= now {
                due.push((step.clone(), std::mem::take(&mut waiting.verdicts)));
            } else {
                next = Some(next.map_or(at, |next| next.min(at)));
            }
            at > now
        });
        (due, next)
    }
}

/// Lists verdicts until the process no longer leads.
pub async fn run(leader: Weak<Leader>) {
    loop {
        let Some(leader) = leader.upgrade() else { return };
        let outbox = leader.outbox();
        let list_at = |step: &str, since| {
            leader.plan.borrow().list_at(step, since, leader.readers.earliest_deadline(step))
        };
        let (due, next) = outbox.take_due(clock::now(), list_at);
        if due.is_empty() {
            // Wakes up for a new verdict, which may be the last that the others wait for.
            let changed = outbox.changed.notified();
            match next {
                Some(next) => {
                    let left = Duration::from_millis(next.since(clock::now()));
                    drop(tokio::time::timeout(left, changed).await);
                }
                None => changed.await,
            }
            continue;
        }
        let listings = due.into_iter().map(|(step, verdicts)| {
            let leader = leader.clone();
            async move {
                let answer = list(&leader, &step, &verdicts).await;
                (step, verdicts, answer)
            }
        });
        let done = futures_util::future::join_all(listings).await;
        let mut must_retry = false;
        for (step, verdicts, answer) in done {
            if matches!(answer, Answer::NotNow | Answer::Unclear) {
                // Listing a sample twice is safe: it keeps its first result.
                outbox.add(&step, verdicts);
                must_retry = true;
            }
        }
        if must_retry {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Writes the texts to stores, then commits the results. In the opposite order, a result could be
/// read before its text is on any disk.
async fn list(leader: &Leader, step: &str, verdicts: &[SampleVerdict]) -> Answer {
    let part = PartId(rand::random());
    let mut texts: Vec<&str> = Vec::new();
    let mut results = Vec::new();
    for one in verdicts {
        let result = match &one.verdict {
            SampleResult::GivenUp => StoredResult::GivenUp,
            SampleResult::Completed { text, versions, score } => {
                texts.push(text);
                StoredResult::Completed {
                    part,
                    text_index: texts.len() as u32 - 1,
                    bytes: text.len() as u32,
                    versions: versions.clone(),
                    score: score.clone(),
                }
            }
        };
        let (index, sample) = (one.index, one.sample.clone());
        results.push(Arc::new(ListedResult { index, sample, result }));
    }
    let mut written = None;
    if !texts.is_empty() {
        let bytes = Bytes::from(rmp_serde::to_vec(&texts).expect("texts are plain data"));
        let place = leader.copies.write(part, &bytes, || leader.retired_stores()).await;
        written = Some((part, place));
    }
    leader.commit(Command::List { step: step.to_owned(), part: written, results }).await
}
