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
use tokio::sync::Notify;

use crate::lead::Lead;
use crate::message::Answer;

/// How long the first of several verdicts waits for others, so that they share a part, an entry
/// and a sync. It is short beside the half second between two reads of a trainer.
const GATHER: Duration = Duration::from_millis(25);
/// Pause after the log did not take them.
const PAUSE: Duration = Duration::from_millis(50);

/// A verdict on a sample.
#[derive(Clone, Debug)]
pub struct Settled {
    /// The place of the sample in its step.
    pub index: u32,
    /// The sample.
    pub sample: String,
    /// The verdict.
    pub verdict: Verdict,
}

/// Verdicts that wait to be listed.
#[derive(Default)]
pub struct Outbox {
    waiting: RefCell<BTreeMap<String, Vec<Settled>>>,
    filled: Notify,
}

impl Outbox {
    /// Adds a verdict.
    pub fn put(&self, step: &str, settled: Settled) {
        self.waiting.borrow_mut().entry(step.to_owned()).or_default().push(settled);
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
        let listings = waiting.into_iter().map(|(step, settled)| {
            let lead = lead.clone();
            async move {
                let answer = list(&lead, &step, &settled).await;
                (step, settled, answer)
            }
        });
        let done = futures_util::future::join_all(listings).await;
        let mut held_up = false;
        for (step, settled, answer) in done {
            if matches!(answer, Answer::NotNow | Answer::Unclear) {
                // Listed twice, a sample keeps its first result.
                outbox.waiting.borrow_mut().entry(step).or_default().extend(settled);
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
async fn list(lead: &Lead, step: &str, settled: &[Settled]) -> Answer {
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
        let retired = lead.parts.core.state().retired.clone();
        written = Some((part, lead.copies.write(part, &bytes, &retired).await));
    }
    lead.commit(Command::List { step: step.to_owned(), part: written, results }).await
}
