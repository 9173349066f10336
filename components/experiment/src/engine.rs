//! A fake engine at the interface that the agent offers: it batches, caches prefixes, slows down
//! with its load, and crashes, freezes or swaps weights when told to.

use std::collections::VecDeque;

use chicoryford_types::Class;
use chicoryford_types::LoadReport;
use chicoryford_types::RequestId;
use chicoryford_types::Version;

/// Attempts that run at once.
pub const SLOTS: u32 = 16;
/// Attempts that wait; more are refused with "not run".
pub const WAITING: usize = 16;
/// Milliseconds a token takes at an empty engine.
pub const TOKEN_MS: f32 = 8.0;
/// How much longer it takes at a full one.
pub const SLOWDOWN: f32 = 1.0;
/// Milliseconds that a token of an uncached prompt takes.
pub const PREFILL_MS: f32 = 0.2;
/// Prefixes that the cache holds.
const CACHE: usize = 24;
/// Milliseconds between two reports.
const REPORT_MS: u64 = 500;

/// One attempt at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Which entry sent it.
    pub entry: usize,
    /// The request.
    pub id: RequestId,
    /// Which try of it this is.
    pub attempt: u32,
    /// How urgent it is.
    pub class: Class,
    /// The number of its model.
    pub model: usize,
    /// Tokens to produce.
    pub tokens: f32,
    /// Tokens produced.
    pub done: f32,
    /// The prompt's tokens.
    pub prompt: u32,
    /// The prompt's prefix.
    pub prefix: u64,
    /// Milliseconds of prefill that are left.
    pub prefill: f32,
    /// The oldest version that produced any of its tokens.
    pub version: Version,
    /// Whether its connection went silent: its frames no longer arrive.
    pub silent: bool,
}

/// A fake engine and its agent.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// What runs.
    pub running: Vec<Job>,
    /// What waits, the most urgent first.
    pub queue: VecDeque<Job>,
    /// The version of each model.
    pub versions: Vec<Version>,
    /// Until when it is down after a crash.
    pub down: u64,
    /// Until when it makes no progress.
    pub frozen: u64,
    /// Until when it swaps weights.
    pub swapping: u64,
    /// Reports on their way: when they arrive, and what they say.
    pub reports: VecDeque<(u64, LoadReport)>,
    /// How slow it is; one is as quick as it should be.
    pub pace: f32,
    cache: VecDeque<u64>,
    cached: Vec<u64>,
    evicted: Vec<u64>,
    seq: u64,
    next_report: u64,
}

impl Engine {
    /// Makes an engine that serves `models` models.
    pub fn new(models: usize, offset: u64) -> Self {
        let versions = vec![Version(1); models];
        Self { versions, pace: 1.0, next_report: offset, ..Self::default() }
    }

    /// Takes an attempt, or refuses it before it ran.
    pub fn push(&mut self, now: u64, job: Job) -> bool {
        if now < self.down || self.queue.len() >= WAITING {
            return false;
        }
        let behind = self.queue.partition_point(|other| other.class >= job.class);
        self.queue.insert(behind, job);
        true
    }

    /// Cancels an attempt; gives the tokens that were produced in vain.
    pub fn cancel(&mut self, id: RequestId, attempt: u32) -> f32 {
        let same = |job: &Job| job.id == id && job.attempt == attempt;
        self.queue.retain(|job| !same(job));
        let Some(n) = self.running.iter().position(same) else { return 0.0 };
        self.running.swap_remove(n).done
    }

    /// Crashes: everything in it is lost.
    pub fn crash(&mut self, until: u64) -> Vec<Job> {
        self.down = until;
        self.evicted.clear();
        self.cached.clear();
        self.cache.clear();
        self.running.drain(..).chain(self.queue.drain(..)).collect()
    }

    /// Lets `ms` milliseconds pass; gives what finished.
    pub fn tick(&mut self, now: u64, ms: f32) -> Vec<Job> {
        if now < self.down || now < self.frozen || now < self.swapping {
            return Vec::new();
        }
        while self.running.len() < SLOTS as usize {
            let Some(mut job) = self.queue.pop_front() else { break };
            let known = self.touch(job.prefix);
            job.prefill = if known { 0.0 } else { job.prompt as f32 * PREFILL_MS };
            job.version = job.version.min(self.versions[job.model]);
            self.running.push(job);
        }
        let slow = self.pace * (1.0 + SLOWDOWN * self.running.len() as f32 / SLOTS as f32);
        for job in &mut self.running {
            let work = ms / slow;
            let prefill = work.min(job.prefill);
            job.prefill -= prefill;
            job.done += (work - prefill) / TOKEN_MS;
        }
        let (done, left) = self.running.drain(..).partition(|job: &Job| job.done >= job.tokens);
        self.running = left;
        done
    }

    /// Sends a report if one is due; it arrives `lag` milliseconds later.
    pub fn report(&mut self, now: u64, lag: u64, name: &str, models: &[String]) {
        if now < self.next_report || now < self.down || now < self.frozen {
            return;
        }
        self.next_report = now + REPORT_MS;
        self.seq += 1;
        let versions = models.iter().zip(&self.versions);
        let report = LoadReport {
            name: name.into(),
            seq: self.seq,
            age_ms: lag,
            running: self.running.len() as u32,
            waiting: self.queue.len() as u32,
            cached: std::mem::take(&mut self.cached),
            evicted: std::mem::take(&mut self.evicted),
            versions: versions.map(|(m, v)| (m.as_str().into(), *v)).collect(),
            ..LoadReport::default()
        };
        self.reports.push_back((now + lag, report));
    }

    fn touch(&mut self, prefix: u64) -> bool {
        let place = self.cache.iter().position(|held| *held == prefix);
        if let Some(n) = place {
            self.cache.remove(n);
        } else {
            self.cached.push(prefix);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE {
            self.evicted.extend(self.cache.pop_front());
        }
        place.is_some()
    }
}
