//! Results that an entry has read lately, so that it need not ask for them again.
//!
//! A result never changes its place or its content once it was listed, so what was read once may be
//! given again by anyone, at any time, without asking the leader. Trainers read twice a second and
//! at times from an earlier place, and other callers read whole steps.

use std::collections::BTreeMap;

use crate::step::MAX_REPLY_BYTES;
use crate::step::SampleResult;
use crate::step::reply_bytes;

/// The result of a sample, at some place of its step.
type Placed = (String, SampleResult);

struct Known {
    total: u64,
    results: BTreeMap<u64, Placed>,
    bytes: usize,
    /// The number of the last use.
    used: u64,
}

/// What was read lately, within a bound.
pub struct ResultCache {
    bound: usize,
    bytes: usize,
    uses: u64,
    steps: BTreeMap<String, Known>,
}

/// Results from a place on.
#[derive(Debug, Eq, PartialEq)]
pub struct CachedResults<'a> {
    /// The samples of the step.
    pub total: u64,
    /// Sample and verdict, in the order of their places; one at least.
    pub results: Vec<(&'a str, &'a SampleResult)>,
    /// Whether there can be no more in one reply: the step has none, or they would not fit. Others
    /// may have been listed since; a reader who begins at the same place each time would never
    /// see them if nobody asked.
    pub full: bool,
}

impl ResultCache {
    /// Starts with nothing; keeps about this many bytes.
    pub fn new(bound: usize) -> Self {
        Self { bound, bytes: 0, uses: 0, steps: BTreeMap::new() }
    }

    /// Takes in results that were read from a place on.
    pub fn put(&mut self, step: &str, total: u64, after: u64, results: Vec<Placed>) {
        if results.is_empty() {
            return;
        }
        self.uses += 1;
        let known = self.steps.entry(step.to_owned()).or_insert_with(|| Known {
            total,
            results: BTreeMap::new(),
            bytes: 0,
            used: 0,
        });
        known.used = self.uses;
        for (place, placed) in (after..).zip(results) {
            let bytes = size(&placed);
            if known.results.insert(place, placed).is_none() {
                known.bytes += bytes;
                self.bytes += bytes;
            }
        }
        self.evict();
    }

    /// Gives the results from a place on, as many as are known in a row and fit into one reply;
    /// none if the first is not known.
    pub fn get(&mut self, step: &str, after: u64) -> Option<CachedResults<'_>> {
        let known = self.steps.get_mut(step)?;
        let mut results = Vec::new();
        let mut bytes = 0;
        for (place, (found, placed)) in (after..).zip(known.results.range(after..)) {
            bytes += size(placed);
            if *found != place || (bytes > MAX_REPLY_BYTES && !results.is_empty()) {
                break;
            }
            results.push((placed.0.as_str(), &placed.1));
        }
        let whole = bytes > MAX_REPLY_BYTES || after + results.len() as u64 >= known.total;
        if results.is_empty() {
            return None;
        }
        self.uses += 1;
        known.used = self.uses;
        Some(CachedResults { total: known.total, results, full: whole })
    }

    /// Forgets the steps that were used least lately until the rest fits.
    fn evict(&mut self) {
        while self.bytes > self.bound {
            let oldest = self.steps.iter().min_by_key(|(_, known)| known.used);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else { return };
            if let Some(known) = self.steps.remove(&id) {
                self.bytes -= known.bytes;
            }
        }
    }
}

fn size((sample, verdict): &Placed) -> usize {
    let text = match verdict {
        SampleResult::Completed { text, .. } => text.len(),
        SampleResult::GivenUp => 0,
    };
    reply_bytes(sample, text)
}
