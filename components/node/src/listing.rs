//! Verdicts of samples on their way to the stores and into the log.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Weak;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chicoryford_fleet::Command;
use chicoryford_fleet::Listed;
use chicoryford_fleet::Verdict;
use chicoryford_fleet::copies::PartId;
use chicoryford_fleet::step::Result;
use chicoryford_types::Millis;
use tokio::sync::Notify;

use crate::clock;
use crate::leader::Leader;
use crate::message::Answer;

/// Pause after the log did not take them.
const PAUSE: Duration = Duration::from_millis(50);

/// A verdict on a sample.
#[derive(Clone, Debug)]
pub struct SampleVerdict {
    /// The place of the sample in its step.
    pub index: u32,
    /// The sample.
    pub sample: String,
    /// The verdict.
    pub verdict: Verdict,
}

/// The verdicts of one step that wait to be listed, and since when the first does.
struct Waiting {
    since: Millis,
    settled: Vec<SampleVerdict>,
}

/// Verdicts that wait to be listed.
#[derive(Default)]
pub struct Outbox {
    waiting: RefCell<BTreeMap<String, Waiting>>,
    filled: Notify,
}

impl Outbox {
    /// Adds a verdict.
    pub fn put(&self, step: &str, settled: SampleVerdict) {
        self.add(step, vec![settled]);
        self.filled.notify_one();
    }

    fn add(&self, step: &str, settled: Vec<SampleVerdict>) {
        let mut waiting = self.waiting.borrow_mut();
        let since = clock::now();
        let begun = || Waiting { since, settled: Vec::new() };
        waiting.entry(step.to_owned()).or_insert_with(begun).settled.extend(settled);
    }

    /// Has it looked again when verdicts are to be listed.
    pub fn recheck(&self) {
        self.filled.notify_one();
    }

    /// Takes the verdicts of the steps that are due, and tells when the next are; none if there are no
    /// others. `list_at` tells that from the step and since when the first of its verdicts waits.
    fn take(
        &self,
        now: Millis,
        list_at: impl Fn(&str, Millis) -> Millis,
    ) -> (Vec<(String, Vec<SampleVerdict>)>, Option<Millis>) {
        let mut due = Vec::new();
        let mut next: Option<Millis> = None;
        self.waiting.borrow_mut().retain(|step, waiting| {
            let at = list_at(step, waiting.since);
            if at <= now {
                due.push((step.clone(), std::mem::take(&mut waiting.settled)));
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
        let (due, next) = outbox.take(clock::now(), list_at);
        if due.is_empty() {
            // A verdict that comes meanwhile may be the last that others wait for.
            let filled = outbox.filled.notified();
            match next {
                Some(next) => {
                    let left = Duration::from_millis(next.since(clock::now()));
                    drop(tokio::time::timeout(left, filled).await);
                }
                None => filled.await,
            }
            continue;
        }
        let listings = due.into_iter().map(|(step, settled)| {
            let leader = leader.clone();
            async move {
                let answer = list(&leader, &step, &settled).await;
                (step, settled, answer)
            }
        });
        let done = futures_util::future::join_all(listings).await;
        let mut held_up = false;
        for (step, settled, answer) in done {
            if matches!(answer, Answer::NotNow | Answer::Unclear) {
                // Listed twice, a sample keeps its first result.
                outbox.add(&step, settled);
                held_up = true;
            }
        }
        if held_up {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Writes the texts to stores, then lists the results. In the other order a result could be read
/// whose text is on no disk yet.
async fn list(leader: &Leader, step: &str, settled: &[SampleVerdict]) -> Answer {
    let part = PartId(rand::random());
    let mut texts: Vec<&str> = Vec::new();
    let mut results = Vec::new();
    for one in settled {
        let result = match &one.verdict {
            Verdict::GivenUp => Result::GivenUp,
            Verdict::Completed { text, versions, score } => {
                texts.push(text);
                Result::Completed {
                    part,
                    place: texts.len() as u32 - 1,
                    bytes: text.len() as u32,
                    versions: versions.clone(),
                    score: score.clone(),
                }
            }
        };
        let (index, sample) = (one.index, one.sample.clone());
        results.push(Arc::new(Listed { index, sample, result }));
    }
    let mut written = None;
    if !texts.is_empty() {
        let bytes = Bytes::from(rmp_serde::to_vec(&texts).expect("texts are plain data"));
        let retired = leader.context.replica.state().retired.clone();
        written = Some((part, leader.copies.write(part, &bytes, &retired).await));
    }
    leader.commit(Command::List { step: step.to_owned(), part: written, results }).await
}
