//! Cache of results that an entry has read.
//!
//! The position and content of a listed result never change, so a result that was read once can be
//! returned to any caller at any time without asking the leader. Trainers read twice a second and
//! sometimes from an earlier position, and other callers read whole steps.

use std::collections::BTreeMap;

use crate::config::Config;
use crate::step::MAX_REPLY_BYTES;
use crate::step::SampleResult;
use crate::step::reply_bytes;

/// The sample id and result at a position in the list of a step.
type SampleEntry = (String, SampleResult);

/// The cached results of a step.
struct CachedStep {
    total: u64,
    results: BTreeMap<u64, SampleEntry>,
    bytes: usize,
    /// The value of the use counter at the last use.
    last_use: u64,
}

/// A cache of results, limited by size. The least recently used steps are evicted.
pub struct ResultCache {
    max_bytes: usize,
    bytes: usize,
    uses: u64,
    steps: BTreeMap<String, CachedStep>,
    /// The version of the configuration under which the results were read, and its rules of access.
    version: u64,
    access: StepAccess,
    /// How often the rules of access have changed.
    generation: u64,
}

/// The parts of a configuration that determine which step a caller without a key may mean.
#[derive(Debug, Default, Eq, PartialEq)]
struct StepAccess {
    has_workspaces: bool,
    /// The hosts and prefixes of the routes for steps on which no key is required.
    open_routes: Vec<(String, String)>,
}

/// Consecutive results of a step from a position on.
#[derive(Debug, Eq, PartialEq)]
pub struct CachedResults<'a> {
    /// The number of samples of the step.
    pub total: u64,
    /// Sample ids and results in the order of their positions; at least one.
    pub results: Vec<(&'a str, &'a SampleResult)>,
    /// Whether no further result can be added to the reply, because the step has none or the reply
    /// is full. Otherwise more results may have been listed since; a caller that always reads from
    /// the same position would never get them unless the leader is asked.
    pub full: bool,
}

impl ResultCache {
    /// Creates an empty cache for about `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            uses: 0,
            steps: BTreeMap::new(),
            version: 0,
            access: StepAccess::default(),
            generation: 0,
        }
    }

    /// Returns a number that changes when results that are being read must not be cached any more.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Discards all results if the same call may mean another step, or none, under a new
    /// configuration.
    pub fn follow_config(&mut self, config: &Config) {
        if self.version == config.version {
            return;
        }
        self.version = config.version;
        let open_routes = config.open_step_routes();
        let open_routes = open_routes.map(|route| (route.host.clone(), route.prefix.clone()));
        let access = StepAccess {
            has_workspaces: !config.workspaces.is_empty(),
            open_routes: open_routes.collect(),
        };
        if self.access != access {
            self.access = access;
            self.generation += 1;
            self.steps.clear();
            self.bytes = 0;
        }
    }

    /// Adds results that were read from position `after` on.
    pub fn put(&mut self, step: &str, total: u64, after: u64, results: Vec<SampleEntry>) {
        if results.is_empty() {
            return;
        }
        self.uses += 1;
        let cached = self.steps.entry(step.to_owned()).or_insert_with(|| CachedStep {
            total,
            results: BTreeMap::new(),
            bytes: 0,
            last_use: 0,
        });
        cached.last_use = self.uses;
        for (position, entry) in (after..).zip(results) {
            let bytes = size(&entry);
            if cached.results.insert(position, entry).is_none() {
                cached.bytes += bytes;
                self.bytes += bytes;
            }
        }
        self.evict();
    }

    /// Returns cached results from position `after` on, up to the first one that is not cached or
    /// does not fit into a reply. Returns `None` if the first one is not cached.
    pub fn get(&mut self, step: &str, after: u64) -> Option<CachedResults<'_>> {
        let cached = self.steps.get_mut(step)?;
        let mut results = Vec::new();
        let mut bytes = 0;
        for (position, (found, entry)) in (after..).zip(cached.results.range(after..)) {
            bytes += size(entry);
            if *found != position || (bytes > MAX_REPLY_BYTES && !results.is_empty()) {
                break;
            }
            results.push((entry.0.as_str(), &entry.1));
        }
        let full = bytes > MAX_REPLY_BYTES || after + results.len() as u64 >= cached.total;
        if results.is_empty() {
            return None;
        }
        self.uses += 1;
        cached.last_use = self.uses;
        Some(CachedResults { total: cached.total, results, full })
    }

    /// Evicts the least recently used steps until the size is within the bound.
    fn evict(&mut self) {
        while self.bytes > self.max_bytes {
            let oldest = self.steps.iter().min_by_key(|(_, cached)| cached.last_use);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else { return };
            if let Some(cached) = self.steps.remove(&id) {
                self.bytes -= cached.bytes;
            }
        }
    }
}

fn size((sample, result): &SampleEntry) -> usize {
    let text = match result {
        SampleResult::Completed { text, .. } => text.len(),
        SampleResult::GivenUp => 0,
    };
    reply_bytes(sample, text)
}
